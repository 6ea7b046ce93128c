"""Guards against cut streams at graceful stops and against slow starts of hosts.

Hosts stop and start under load one by one, and all at once without the platform;
engines that leave must get no new work.
"""

import random
import signal
import threading
import time

import pytest

from rosemaryyoke.client.client import _StreamState
from rosemaryyoke.standins import expected_text
from rosemaryyoke.testing.builders import System
from rosemaryyoke.testing.chaos import PLATFORM_WELL
from rosemaryyoke.testing.timing import check_time

FAST_ENGINE = ("--token-ms", "5", "--prefill-ms", "0.2")
CALLERS = 8
START_TARGET_S = 1.0
NO_NEW_WORK_S = 3.0


@pytest.fixture()
def system():
    with System(engines=2, services=1, hosts=3, engine_options=FAST_ENGINE) as running:
        yield running


def chat_once(client, address, tokens=20, prompt="x"):
    """Send one chat request to one host; return the text or the failure."""
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
        "temperature": 0,
    }
    state = _StreamState()
    outcome = client._chat_once(address, body, state, lambda text: None)
    return outcome.map(lambda _: "".join(state.parts))


class Load:
    """Concurrent callers that use /v1/entry-hosts answers within their lifetime."""

    def __init__(self, system):
        self.system = system
        self.stopping = threading.Event()
        self.failures = []
        self.done = 0
        self.threads = [
            threading.Thread(target=self.run, args=(n,)) for n in range(CALLERS)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        generator = random.Random(number)
        client = self.system.client("cedar" if number % 2 else "tonos")
        while not self.stopping.is_set():
            addresses = client.finder.addresses()
            if addresses.is_err():
                continue
            address = generator.choice(addresses.ok_value)
            tokens = generator.randint(1, 60)
            prompt = f"prompt {generator.randint(0, 99)} " * 20
            outcome = chat_once(client, address, tokens, prompt)
            if outcome.is_err():
                self.failures.append(outcome.err_value)
            elif outcome.ok_value != expected_text(f"user: {prompt}\n", tokens):
                self.failures.append(outcome.ok_value)
            self.done += 1


def first_good_answer_s(system, name):
    """Return the seconds from a host's restart to its first successful response."""
    started_at = time.monotonic()
    system.restart(name)
    client = system.client(host=name)
    while chat_once(client, system.address(name), 1).is_err():
        assert time.monotonic() - started_at < 10
        time.sleep(0.005)
    return time.monotonic() - started_at


def test_graceful_stop_of_every_host_cuts_nothing(system):
    with Load(system) as load:
        for name in system.host_names:
            system.processes[name].signal(signal.SIGTERM)
            assert system.processes[name].wait(30) == 0
            system.restart(name)
            system.wait_for(name)
            time.sleep(0.5)
    print(f"{load.done} calls over {len(system.host_names)} stops")
    assert load.failures == []
    assert load.done > 100


def admitted_after(system, name, at):
    times = system.ask(name, "/control/admitted")["admitted_at"]
    return [admitted for admitted in times if admitted > at]


def test_listed_leaving_engine_gets_no_new_work(system):
    with Load(system) as load:
        time.sleep(0.5)
        system.list_upstream("engine0", "leaving")
        said_at = time.time()
        time.sleep(NO_NEW_WORK_S + 1.5)
    assert admitted_after(system, "engine0", said_at - 1)
    assert admitted_after(system, "engine0", said_at + NO_NEW_WORK_S) == []
    assert load.failures == []


def test_engine_that_says_it_leaves_gets_no_new_work(system):
    with Load(system) as load:
        time.sleep(0.5)
        system.control("engine0", "leave", {})
        time.sleep(NO_NEW_WORK_S)
        refused = system.ask("engine0", "/control/refused")["refused"]
        time.sleep(1.5)
    assert system.ask("engine0", "/control/refused")["refused"] == refused
    assert load.failures == []


def test_restarted_host_serves_at_once(system):
    times = []
    for _ in range(3):
        system.processes["host1"].kill()
        times.append(first_good_answer_s(system, "host1"))
    check_time("restart to first good answer, median", sorted(times)[1], START_TARGET_S)


def test_restarted_host_serves_at_once_without_platform(system):
    system.control("platform", "fault", {**PLATFORM_WELL, "down": True})
    system.processes["host1"].kill()
    elapsed_s = first_good_answer_s(system, "host1")
    check_time("restart without the platform", elapsed_s, START_TARGET_S)


def test_herd_without_platform_refuses_then_serves(system):
    system.control("platform", "fault", {**PLATFORM_WELL, "down": True})
    for name in system.host_names:
        system.processes[name].kill()
    for name in system.host_names:
        system.restart(name)
    time.sleep(2.0)
    client = system.client()
    refused = chat_once(client, system.address("host0")).err_value
    assert (refused.code, refused.not_run) == ("no_rules", True)
    before = system.ask("platform", "/control/counts")
    system.control("platform", "fault", PLATFORM_WELL)
    started_at = time.monotonic()
    for name in system.host_names:
        while chat_once(client, system.address(name), 1).is_err():
            assert time.monotonic() - started_at < 10
    elapsed_s = time.monotonic() - started_at
    after = system.ask("platform", "/control/counts")
    calls = sum(after.values()) - sum(before.values())
    print(f"{calls} platform calls")
    check_time("service after the platform's return", elapsed_s, START_TARGET_S)
    assert calls < 15 * len(system.host_names)
