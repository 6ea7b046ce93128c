"""Turns are given to one connection at a time."""

import threading

from rosemaryyoke.exchanges.turns import TurnQueue
from rosemaryyoke.memory import MemoryBudget
from rosemaryyoke.platform.tests.deployment import wait_for


def wait_in_thread(queue, owner, log):
    """Start a thread that notes the turn that it gets, and return it."""

    def work():
        with queue.turn(owner) as granted:
            log.append((owner, granted))

    thread = threading.Thread(target=work)
    thread.start()
    return thread


def test_turns_come_in_the_order_of_their_requests():
    queue, budget, log = TurnQueue(), MemoryBudget(), []
    owners = [budget.reserve() for _ in range(5)]
    with queue.turn(budget.reserve()) as granted:
        assert granted
        threads = []
        for number, owner in enumerate(owners, 1):
            threads.append(wait_in_thread(queue, owner, log))
            wait_for(lambda: len(queue.waiting) == number)
        assert not log
    for thread in threads:
        thread.join()
    assert log == [(owner, True) for owner in owners]
    assert not queue.busy and not queue.waiting


def test_one_connection_works_at_a_time():
    queue, budget, active, most = TurnQueue(), MemoryBudget(), [], []

    def work():
        owner = budget.reserve()
        for _ in range(200):
            with queue.turn(owner):
                active.append(owner)
                most.append(len(active))
                active.remove(owner)

    threads = [threading.Thread(target=work) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(most) == 1_600 and set(most) == {1}


def test_evicted_connection_leaves_the_queue():
    queue, budget, log = TurnQueue(), MemoryBudget(), []
    first, second = budget.reserve(), budget.reserve()
    with queue.turn(budget.reserve()):
        threads = [wait_in_thread(queue, first, log)]
        wait_for(lambda: first in queue.waiting)
        threads.append(wait_in_thread(queue, second, log))
        wait_for(lambda: second in queue.waiting)
        first.evicted = True
        queue.leave(first)
        wait_for(lambda: log == [(first, False)])
        with queue.turn(first) as granted:
            assert not granted
    for thread in threads:
        thread.join()
    assert log == [(first, False), (second, True)]


def test_turn_is_passed_on_after_an_error():
    queue, budget = TurnQueue(), MemoryBudget()
    try:
        with queue.turn(budget.reserve()):
            raise ValueError
    except ValueError:
        pass
    with queue.turn(budget.reserve()) as granted:
        assert granted
