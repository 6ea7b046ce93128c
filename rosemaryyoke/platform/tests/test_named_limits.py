"""Upstreams that name, in their answers, the rate of requests that they take."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from attrs import define, field

from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.deployment import start_host, wait_for

HOSTS = 3
WINDOW_S = 4.0
TOLD_S = 1.0  # all hosts have had an answer by then
SECONDS = 7.0
REQUESTS_PER_S = 25.0


@define(eq=False)
class LimitedFleet:
    """Hosts and engines that share a limit or have one each."""

    limits: tuple
    store: StoreStandin = field(factory=StoreStandin)
    engines: list = field(factory=list)
    hosts: list = field(factory=list)
    arrivals: dict = field(factory=dict)
    numbers: itertools.count = field(factory=itertools.count)
    failing: threading.Event = field(factory=threading.Event)

    def start(self):
        """Start the engines and the hosts, and wait until they know each other."""
        self.store.set("config", "main", make_configuration())
        for number, limit in enumerate(self.limits):
            engine = EngineStandin(f"e{number}", script=Script(self))
            engine.limit = limit
            self.arrivals[engine.name] = []
            self.store.set(
                "servers", engine.name, make_registration(str(engine.address))
            )
            self.engines.append(engine)
        seeds = []
        for _ in range(HOSTS):
            self.hosts.append(start_host(self.store, seeds))
            seeds = [self.hosts[0].settings.peers]
        for host in self.hosts:
            wait_for(host.is_ready)
            wait_for(lambda: len(host.table.live_peers(time.monotonic())) == HOSTS - 1)
            wait_for(lambda: host.fleet.hosts == HOSTS)

    def stop(self):
        """Stop all parts."""
        for host in self.hosts:
            host.kernel.stop()
        for part in (self.store, *self.engines):
            part.stop()

    def record(self, engine, message, caller):
        """Record the time of a request and run it, or break the answer off."""
        self.arrivals[engine.name].append(time.monotonic())
        if self.failing.is_set():
            raise OSError("broken off")
        engine.run(message, caller)

    def send(self, number, host=None):
        """Send a request of which no other shares a part; return the answer."""
        parts = f"first{number}:100,last{number}:100"
        chosen = self.hosts[number % HOSTS if host is None else host]
        reader = send_client_request(
            chosen.settings.callers,
            headers=stream_headers(parts),
            **{"Request-Id": f"r{number}"},
        )
        return reader.responses[0] if reader.responses else None

    def send_steadily(self, seconds=SECONDS, rate=REQUESTS_PER_S):
        """Send requests at a rate to all hosts; return the answers."""
        with ThreadPoolExecutor(16) as clients:
            futures = []
            for number in range(round(seconds * rate)):
                futures.append(clients.submit(self.send, next(self.numbers)))
                time.sleep(1 / rate)
        return [future.result() for future in futures]

    def most_in_window(self, engine, since_s=0.0):
        """Return the most requests that an engine got within a window."""
        times_s = [at_s for at_s in self.arrivals[engine.name] if at_s >= since_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times_s)
                for start_s in times_s
            ),
            default=0,
        )


@define(eq=False)
class Script:
    """A script whose every step records the request."""

    fleet: LimitedFleet

    def pop(self, _):
        """Return the step for the next request."""
        return self.fleet.record


def allowed(limit):
    """Return how many requests an engine may get within a window."""
    return 1.5 * WINDOW_S * limit + 5


@pytest.fixture()
def start():
    """Return a function that starts hosts and engines with limits."""
    fleets = []

    def start_fleet(*limits):
        fleets.append(LimitedFleet(limits))
        fleets[-1].start()
        return fleets[-1]

    yield start_fleet
    for fleet in fleets:
        fleet.stop()


# Guards against hosts that together send an upstream more than the limit that it named.
@pytest.mark.parametrize("limit", [b"0", b"0.25", b"2", b"2.5", b"10"])
def test_limited_engine_gets_no_more_than_it_named(start, limit):
    fleet = start(limit, None)
    since_s = time.monotonic() + TOLD_S
    answers = fleet.send_steadily()
    limited, free = fleet.engines
    assert fleet.most_in_window(limited, since_s) <= allowed(float(limit))
    assert [answer.status for answer in answers] == [200] * len(answers)


# Guards against requests that wait, or exceed the limits, when all upstreams have one.
def test_requests_beyond_all_limits_are_rejected_at_once(start):
    fleet = start(b"2.5", b"2.5")
    since_s = time.monotonic() + TOLD_S
    answers = fleet.send_steadily()
    for engine in fleet.engines:
        assert fleet.most_in_window(engine, since_s) <= allowed(2.5)
        assert fleet.most_in_window(engine, since_s) >= WINDOW_S
    rejected = [answer for answer in answers if answer.status == 503]
    assert len(rejected) > len(answers) / 2
    for answer in rejected:
        assert 0.0 < float(find_header(answer.headers, b"retry-after")) < 10.0


def test_engine_gets_its_work_again_when_it_names_no_limit(start):
    fleet = start(b"2", b"2")
    fleet.send_steadily(2.0)
    for engine in fleet.engines:
        engine.limit = None
    fleet.send_steadily(4.0)
    since_s = time.monotonic()
    answers = fleet.send_steadily(1.0)
    assert [answer.status for answer in answers] == [200] * len(answers)
    assert all(fleet.most_in_window(engine, since_s) > 3 for engine in fleet.engines)


@pytest.mark.parametrize("limit", [b"nan", b"-1", b"", b"soon"])
def test_limit_that_is_no_number_limits_nothing(start, limit):
    fleet = start(limit)
    answers = fleet.send_steadily(1.0)
    assert [answer.status for answer in answers] == [200] * len(answers)


# Guards against limits that a second engine or repeats of a request get round.
def test_repeats_of_requests_count_against_the_limit(start):
    fleet = start(b"2", b"2", b"2")
    fleet.send_steadily(TOLD_S)
    fleet.failing.set()
    since_s = time.monotonic()
    fleet.send_steadily(SECONDS - TOLD_S)
    for engine in fleet.engines:
        assert fleet.most_in_window(engine, since_s) <= allowed(2)
