"""Tests that signals delivered to any thread wake the main thread."""

import signal
import threading
import time

import pytest

from rosemaryyoke.core.signals import CHECK_PERIOD_S, SignalWaiter

WAIT_S = 5.0


@pytest.fixture()
def waiter():
    numbers = (signal.SIGUSR1, signal.SIGUSR2)
    before = [signal.getsignal(number) for number in numbers]
    running = SignalWaiter(*numbers)
    yield running
    running.close()
    for number, handler in zip(numbers, before):
        signal.signal(number, handler)


def signal_other_thread(*numbers):
    """Deliver signals to a thread other than the main one after a short delay."""

    def take():
        time.sleep(0.1)
        for number in numbers:
            signal.pthread_kill(threading.get_ident(), number)

    thread = threading.Thread(target=take)
    thread.start()
    return thread


def test_signal_on_other_thread_wakes_waiter(waiter):
    thread = signal_other_thread(signal.SIGUSR1)
    began_s = time.monotonic()
    assert waiter.wait(WAIT_S) == [signal.SIGUSR1]
    assert time.monotonic() - began_s < WAIT_S / 2
    thread.join()


def test_signals_are_returned_in_order(waiter):
    thread = signal_other_thread(signal.SIGUSR2, signal.SIGUSR1)
    thread.join()
    assert waiter.wait(WAIT_S) == [signal.SIGUSR2, signal.SIGUSR1]


def test_signal_before_wait_is_returned(waiter):
    signal.raise_signal(signal.SIGUSR1)
    assert waiter.wait(WAIT_S) == [signal.SIGUSR1]


def test_wait_times_out_without_signal(waiter):
    assert waiter.wait(0.01) == []


# Guards against grace periods that are counted from when a busy thread looked.
def test_time_before_a_signal_is_known(waiter):
    assert waiter.wait(0.3) == []
    began_s = time.monotonic()
    signal.raise_signal(signal.SIGUSR1)
    raised_s = time.monotonic()
    time.sleep(0.5)
    assert waiter.wait(WAIT_S) == [signal.SIGUSR1]
    assert waiter.quiet_until_s <= raised_s
    assert waiter.quiet_until_s > began_s - 0.3


def test_time_before_a_signal_goes_on_while_there_is_none(waiter):
    created_s = waiter.quiet_until_s
    assert waiter.wait(3 * CHECK_PERIOD_S) == []
    assert waiter.quiet_until_s > created_s
