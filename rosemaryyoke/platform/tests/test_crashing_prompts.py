"""Prompts with a part that crashes each engine that begins to answer on it."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Callable

import pytest
from attrs import define, field

from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
    make_route,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.deployment import (
    abort_after,
    send_chunked,
    send_close_delimited,
    start_host,
    wait_for,
)

ENGINES = 8
CRASHES = 5
STABLE_S = 3.0
REQUESTS = 30
MAX_REQUESTS = 3
SENDERS = 4
EVENT = b"id: 1\ndata: x\n\n"

CRASH_FORMS = {
    "before the head": abort_after(0),
    "after the head": send_close_delimited(b""),
    "within an event": send_close_delimited(EVENT + b"id: 2\nda"),
    "after an event": abort_after(1),
    "within a chunked event": send_chunked(EVENT + b"id: 2\nda"),
    "reset": send_close_delimited(b"id: 1\nda", reset=True),
}


@define(eq=False)
class CrashingFleet:
    """Two hosts, and engines that crash under parts of prompts.

    ``crashes`` decides by the names of a prompt's parts whether a run crashes.
    """

    store: StoreStandin = field(factory=StoreStandin)
    engines: list = field(factory=list)
    hosts: list = field(factory=list)
    form: str = "after the head"
    crashes: Callable[[list[str]], bool] = lambda parts: "bad" in parts[:-1]
    reached: dict = field(factory=dict)
    crashed: int = 0
    numbers: itertools.count = field(factory=itertools.count)
    lock: threading.Lock = field(factory=threading.Lock)

    def start(self):
        """Start the engines and the hosts, and wait until they know each other."""
        routes = [make_route(), make_route("once", resumable=False)]
        self.store.set("config", "main", make_configuration(routes=routes))
        for number in range(ENGINES):
            engine = EngineStandin(f"e{number}", script=Script(self))
            self.store.set(
                "servers", engine.name, make_registration(str(engine.address))
            )
            self.engines.append(engine)
        self.hosts.append(start_host(self.store))
        seeds = [self.hosts[0].settings.peers]
        self.hosts.append(start_host(self.store, seeds))
        for host in self.hosts:
            wait_for(host.is_ready)
            wait_for(lambda: len(host.table.live_peers(time.monotonic())) == 1)

    def stop(self):
        """Stop all parts."""
        for host in self.hosts:
            host.kernel.stop()
        for part in (self.store, *self.engines):
            part.stop()

    def run(self, engine, message, caller):
        """Run a request at an engine, or crash."""
        prompt = find_header(message.headers, b"prompt-prefix").decode()
        parts = [item.partition(":")[0] for item in prompt.split(",")]
        crashes = self.crashes(parts)
        with self.lock:
            for part in parts:
                self.reached[part] = self.reached.get(part, 0) + 1
            self.crashed += crashes
        if crashes:
            CRASH_FORMS[self.form](engine, message, caller)
        else:
            engine.run(message, caller)

    def send(self, *shared, host=0, path="/chat/1"):
        """Send a request with shared parts and a last part of its own."""
        number = next(self.numbers)
        names = [*shared, f"last{number}"]
        parts = ",".join(f"{name}:100" for name in names)
        reader = send_client_request(
            self.hosts[host].settings.callers,
            path,
            headers=stream_headers(parts),
            **{"Request-Id": f"r{number}"},
        )
        return reader.responses[0] if reader.responses else None

    def send_many(self, count, *shared, hosts=(0, 1), path="/chat/1"):
        """Send requests from several clients; return their statuses."""
        with ThreadPoolExecutor(SENDERS) as clients:
            futures = [
                clients.submit(
                    self.send, *shared, host=hosts[n % len(hosts)], path=path
                )
                for n in range(count)
            ]
        return [answer.result().status for answer in futures]

    def crash_engines(self, *shared, hosts=(0, 1), path="/chat/1"):
        """Send requests one after another until enough engines have crashed."""
        for number in itertools.count():
            if self.crashed >= CRASHES or number > 2 * CRASHES:
                return
            self.send(*shared, host=hosts[number % len(hosts)], path=path)

    def count_sends(self, part, action):
        """Return how many requests with a part reach engines during an action."""
        before = self.reached.get(part, 0)
        action()
        return self.reached.get(part, 0) - before


@define(eq=False)
class Script:
    """A script whose every step is decided by the fleet."""

    fleet: CrashingFleet

    def pop(self, _):
        """Return the step for the next request."""
        return self.fleet.run


@pytest.fixture()
def fleet():
    fleet = CrashingFleet()
    fleet.start()
    yield fleet
    fleet.stop()


# Guards against requests that crash engines after their part has crashed five.
@pytest.mark.parametrize("form", CRASH_FORMS)
def test_part_that_crashed_engines_reaches_no_more(fleet, form):
    fleet.form = form
    fleet.crash_engines("common", "bad")
    time.sleep(STABLE_S)
    sends = fleet.count_sends("bad", lambda: fleet.send_many(REQUESTS, "common", "bad"))
    assert sends <= MAX_REQUESTS


# Guards against a host that goes on to crash engines because only others saw crashes.
def test_part_that_crashed_engines_of_another_host_reaches_no_more(fleet):
    fleet.crash_engines("common", "bad", hosts=[0])
    time.sleep(STABLE_S)
    sends = fleet.count_sends(
        "bad", lambda: fleet.send_many(REQUESTS // 2, "common", "bad", hosts=[1])
    )
    assert sends <= MAX_REQUESTS


# Guards against requests that crash engines through another account, route or position.
def test_crashing_part_is_stopped_whatever_else_the_prompt_holds(fleet):
    fleet.crash_engines("common", "bad")
    time.sleep(STABLE_S)

    def send_others():
        for number in range(REQUESTS // 3):
            fleet.send("bad", f"other{number}", path="/once/1")
            fleet.send(f"first{number}", "bad", f"third{number}")

    assert fleet.count_sends("bad", send_others) <= MAX_REQUESTS


# Guards against a rejected request that may have run, or whose caller waits.
def test_request_with_a_crashing_part_is_rejected_at_once_as_not_run(fleet):
    fleet.crash_engines("common", "bad")
    time.sleep(STABLE_S)
    before, started_s = fleet.reached["bad"], time.monotonic()
    answer = fleet.send("common", "bad")
    assert time.monotonic() - started_s < 0.5
    assert answer.status == 503 and fleet.reached["bad"] == before
    assert find_header(answer.headers, b"retry-after") is not None


# Guards against the rejection of sound requests that share parts with crashing ones.
def test_sound_requests_with_the_same_first_part_are_served(fleet):
    stopping = threading.Event()

    def send_bad():
        while not stopping.is_set():
            fleet.send("common", "bad")
            stopping.wait(0.1)

    with ThreadPoolExecutor(1) as background:
        future = background.submit(send_bad)
        time.sleep(2 * STABLE_S)
        before = fleet.reached["bad"]
        statuses = fleet.send_many(REQUESTS, "common", "sound")
        stopping.set()
        future.result()
    assert statuses == [200] * REQUESTS
    assert fleet.reached["bad"] - before <= MAX_REQUESTS


# Guards against blaming shared parts for crashes that only last parts explain.
def test_shared_parts_of_prompts_whose_last_parts_crash_are_served(fleet):
    fleet.crashes = lambda parts: int(parts[-1].removeprefix("last")) % 4 == 0
    fleet.send_many(REQUESTS, "common", "sound")
    time.sleep(STABLE_S)
    fleet.crashes = lambda parts: False
    assert fleet.send_many(REQUESTS, "common", "sound") == [200] * REQUESTS


# Guards against blaming parts for a wave of crashes that has no part in common.
def test_wave_of_crashes_leaves_all_parts_usable(fleet):
    fleet.send_many(REQUESTS, "common", "sound")
    fleet.crashes = lambda parts: True
    fleet.send_many(SENDERS, "common", "sound")
    fleet.crashes = lambda parts: False
    fleet.send_many(REQUESTS, "common", "sound")
    time.sleep(STABLE_S)
    assert fleet.send_many(REQUESTS, "common", "sound") == [200] * REQUESTS
