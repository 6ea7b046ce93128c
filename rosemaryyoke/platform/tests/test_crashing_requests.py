"""Requests that crash each upstream that runs them, whatever their shared parts."""

import itertools
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Callable

import pytest
from attrs import define, field

from rosemaryyoke.http1.messages import encode_head, find_header
from rosemaryyoke.http1.sockets import close
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
    reset_on_close,
    start_host,
    wait_for,
)

UPSTREAMS = 8  # of each service
CRASHES = 3
STABLE_S = 3.0
REPEATS = 20
MAX_REPEATS = 3
SENDERS = 4
RUN_S = 0.03
BAD, SOUND = b"bad", b"sound"
PLAIN = {"service": "records", "resumable": False, "timeoutMs": 1500}
ROUTES = [
    make_route(),
    make_route("once", resumable=False),
    make_route("issue", kind="unsafe", maxAttempts=1, **PLAIN),
    make_route("read", kind="safe", maxAttempts=3, **PLAIN),
    make_route("open", kind="safe", maxAttempts=2, public=True, **PLAIN),
]


def crash_during_run(engine, message, caller):
    """Close the connection while the request runs, without a head."""
    time.sleep(RUN_S)
    raise OSError("crashed")


def crash_at_once(engine, message, caller):
    """Close the connection as soon as the request is read."""
    raise OSError("crashed")


def reset_during_run(engine, message, caller):
    """Reset the connection while the request runs, without a head."""
    reset_on_close(caller.socket)
    crash_during_run(engine, message, caller)


def send_part_of_body(engine, message, caller):
    """Send the head and a part of the body, then close the connection."""
    headers = [*engine.headers(message), (b"Content-Length", b"9")]
    caller.write(encode_head(b"HTTP/1.1 200 OK", headers) + b"some")
    raise OSError("crashed")


CRASH_FORMS = {
    "closed before the head": crash_during_run,
    "reset before the head": reset_during_run,
    "within the body": send_part_of_body,
    "at once": crash_at_once,
}


@define(eq=False)
class CrashingFleet:
    """Two hosts, and upstreams that crash under some requests and are back at once.

    ``crashes`` decides by the body of a request, ``reached`` counts what arrived by
    method, target and body.
    """

    store: StoreStandin = field(factory=StoreStandin)
    upstreams: list = field(factory=list)
    hosts: list = field(factory=list)
    crash: Callable = crash_during_run
    crashes: Callable[[bytes], bool] = lambda body: body.startswith(BAD)
    reached: dict = field(factory=dict)
    running: dict = field(factory=dict)
    crashed: int = 0
    numbers: itertools.count = field(factory=itertools.count)
    lock: threading.Lock = field(factory=threading.Lock)

    def start(self):
        """Start all parts, and wait until the hosts know each other."""
        self.store.set("config", "main", make_configuration(routes=ROUTES))
        for service, number in itertools.product(("llm", "records"), range(UPSTREAMS)):
            upstream = EngineStandin(f"{service}{number}", script=Script(self))
            entry = make_registration(str(upstream.address), service)
            self.store.set("servers", upstream.name, entry)
            self.upstreams.append(upstream)
        self.hosts = [start_host(self.store)]
        self.start_next_host()

    def start_next_host(self):
        """Start one more host, and wait until all know each other."""
        self.hosts.append(start_host(self.store, [self.hosts[0].settings.peers]))
        others = len(self.hosts) - 1
        for host in self.hosts:
            wait_for(host.is_ready)
            wait_for(lambda: len(host.table.live_peers(time.monotonic())) == others)

    def stop(self):
        """Stop all parts."""
        for host in self.hosts:
            host.kernel.stop()
        for part in (self.store, *self.upstreams):
            part.stop()

    def run(self, upstream, message, caller):
        """Run a request, or crash."""
        crashes = self.crashes(message.body)
        key = message.target, message.body
        with self.lock:
            self.reached[key] = self.reached.get(key, 0) + 1
            self.crashed += crashes
            self.running.setdefault(upstream.name, set()).add(caller)
        try:
            if crashes:
                self.crash(upstream, message, caller)
            time.sleep(RUN_S)
            upstream.run(message, caller)
        finally:
            with self.lock:
                self.running[upstream.name].discard(caller)
                if crashes:
                    self.break_off(upstream)

    def break_off(self, upstream):
        """Break off all that an upstream runs."""
        for caller in self.running[upstream.name]:
            caller.socket.shutdown(socket.SHUT_RDWR)
        self.running[upstream.name].clear()

    def send(self, body=BAD, host=0, path="/read/1", parts=None, key="k1"):
        """Send a request and return its response."""
        reader = send_client_request(
            self.hosts[host].settings.callers,
            path,
            headers=stream_headers(parts) if parts else (),
            body=body,
            **{
                "Request-Id": f"r{next(self.numbers)}",
                "Authorization": f"Bearer {key}",
            },
        )
        return reader.responses[0] if reader.responses else None

    def send_many(self, count, *bodies, hosts=(0, 1), **options):
        """Send requests from several clients; return their statuses."""
        bodies = bodies or (BAD,)
        with ThreadPoolExecutor(SENDERS) as clients:
            futures = [
                clients.submit(
                    self.send,
                    bodies[number % len(bodies)],
                    hosts[number % len(hosts)],
                    **options,
                )
                for number in range(count)
            ]
        answers = [future.result() for future in futures]
        return [answer.status if answer else None for answer in answers]

    def crash_upstreams(self, hosts=(0, 1), **options):
        """Send one request again and again until enough upstreams have crashed."""
        for number in range(2 * CRASHES):
            if self.crashed >= CRASHES:
                return
            self.send(host=hosts[number % len(hosts)], **options)

    def count_sends(self, action, body=BAD, path="/read/1"):
        """Return how often a request reaches upstreams during an action."""
        key = path.encode(), body
        before = self.reached.get(key, 0)
        action()
        return self.reached.get(key, 0) - before


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
    fleet.send_many(4 * UPSTREAMS, SOUND)  # leaves connections that are kept open
    yield fleet
    fleet.stop()


# Guards against a plain request that goes on to crash upstreams after the third.
@pytest.mark.parametrize("form", CRASH_FORMS)
def test_plain_request_that_crashed_upstreams_reaches_no_more(fleet, form):
    fleet.crash = CRASH_FORMS[form]
    fleet.crash_upstreams()
    time.sleep(STABLE_S)
    assert fleet.count_sends(lambda: fleet.send_many(REPEATS)) <= MAX_REPEATS


# Guards against a crash that passes for a stale connection as it happens at once.
def test_request_that_crashed_upstreams_at_once_for_good_reaches_no_more(fleet):
    def stop_for_good(upstream, message, caller):
        close(upstream.server.listener)
        crash_at_once(upstream, message, caller)

    fleet.crash = stop_for_good
    fleet.send(), fleet.send(host=1), fleet.send()
    time.sleep(STABLE_S)
    known = [len(host.fleet.quarantine.evidence.crashes) for host in fleet.hosts]
    assert min(known) >= CRASHES
    assert fleet.count_sends(lambda: fleet.send_many(UPSTREAMS)) <= MAX_REPEATS


# Guards against the same on routes whose requests run once, and on public ones.
@pytest.mark.parametrize("path", ["/issue/1", "/open/1?x=1"])
def test_request_of_another_route_that_crashed_upstreams_reaches_no_more(fleet, path):
    fleet.crash_upstreams(path=path)
    time.sleep(STABLE_S)
    sends = fleet.count_sends(lambda: fleet.send_many(REPEATS, path=path), path=path)
    assert sends <= MAX_REPEATS


# Guards against a prompt that crashes engines though no part of it is to blame.
@pytest.mark.parametrize("path", ["/chat/1", "/once/1"])
@pytest.mark.parametrize("events", [0, 1])
def test_prompt_that_crashed_engines_reaches_no_more(fleet, path, events):
    fleet.crash = abort_after(events)
    options = {"path": path, "parts": "aa:600,bb:100"}
    fleet.crash_upstreams(**options)
    time.sleep(STABLE_S)
    sends = fleet.count_sends(lambda: fleet.send_many(REPEATS, **options), path=path)
    assert sends <= MAX_REPEATS
    others = {"path": path, "parts": "aa:600,cc:100"}
    assert fleet.send_many(REPEATS, SOUND, **others) == [200] * REPEATS


# Guards against a host that goes on to crash upstreams because only others saw it.
def test_request_that_crashed_upstreams_of_another_host_reaches_no_more(fleet):
    fleet.crash_upstreams(hosts=[0])
    time.sleep(STABLE_S)
    sends = fleet.count_sends(lambda: fleet.send_many(REPEATS // 2, hosts=[1]))
    assert sends <= MAX_REPEATS


# Guards against a host that has forgotten the request since it started again.
def test_request_that_crashed_upstreams_reaches_no_more_through_a_new_host(fleet):
    fleet.crash_upstreams()
    time.sleep(STABLE_S)
    fleet.start_next_host()
    time.sleep(STABLE_S)
    sends = fleet.count_sends(lambda: fleet.send_many(REPEATS // 2, hosts=[2]))
    assert sends <= MAX_REPEATS


# Guards against a service's only upstream that one request crashes again and again.
def test_request_that_crashes_the_only_upstream_reaches_no_more(fleet):
    for upstream in fleet.upstreams[UPSTREAMS + 1 :]:
        fleet.store.remove("servers", upstream.name)
    for host in fleet.hosts:
        wait_for(lambda: len(host.fleet.states_of_service("records")) == 1)
    for number in range(2 * UPSTREAMS):
        fleet.send(host=number % 2)
        fleet.send(SOUND, host=number % 2)
    time.sleep(STABLE_S)
    assert fleet.count_sends(lambda: fleet.send_many(REPEATS)) <= MAX_REPEATS
    assert fleet.send_many(REPEATS, SOUND) == [200] * REPEATS


# Guards against several such requests at once, of which each needs its own evidence.
def test_many_requests_that_crash_upstreams_reach_no_more(fleet):
    bodies = [BAD + b"%d" % number for number in range(10)]
    fleet.send_many(8 * len(bodies), *bodies)
    time.sleep(STABLE_S)
    before = dict(fleet.reached)
    fleet.send_many(8 * len(bodies), *bodies)
    sends = [
        fleet.reached[b"/read/1", body] - before[b"/read/1", body] for body in bodies
    ]
    assert max(sends) <= MAX_REPEATS


# Guards against a rejected request that may have run, or whose caller waits.
def test_crashing_request_is_rejected_at_once_as_not_run(fleet):
    fleet.crash_upstreams()
    time.sleep(STABLE_S)
    before, started_s = fleet.crashed, time.monotonic()
    answer = fleet.send()
    assert time.monotonic() - started_s < 0.5
    assert answer.status == 503 and fleet.crashed == before
    assert find_header(answer.headers, b"retry-after") is not None


# Guards against the rejection of sound requests that resemble a crashing one.
def test_other_body_path_or_account_is_served(fleet):
    fleet.crash_upstreams()
    time.sleep(STABLE_S)
    assert fleet.send_many(REPEATS, SOUND) == [200] * REPEATS
    fleet.crashes = lambda body: False
    assert fleet.send_many(REPEATS, path="/read/2") == [200] * REPEATS
    assert fleet.send_many(REPEATS, key="k2") == [200] * REPEATS


# Guards against the rejection of a sound request that is polled beside a bad one.
def test_sound_request_that_is_polled_beside_a_crashing_one_is_served(fleet):
    stopping, statuses = threading.Event(), []

    def poll(client):
        while not stopping.is_set():
            statuses.append(fleet.send(SOUND, host=client % 2).status)

    with ThreadPoolExecutor(SENDERS) as clients:
        polls = [clients.submit(poll, client) for client in range(SENDERS)]
        fleet.crash_upstreams()
        fleet.send_many(REPEATS)
        time.sleep(STABLE_S)
        until_stable = len(statuses)
        fleet.send_many(REPEATS)
        time.sleep(STABLE_S)
        stopping.set()
        for future in polls:
            future.result()
    assert 503 not in statuses and len(statuses) > until_stable + REPEATS
    assert set(statuses[until_stable:]) == {200}


# Guards against the rejection of repeated requests that are not the cause of crashes.
def test_repeated_request_is_served_while_a_quarter_of_all_runs_crash(fleet):
    numbers = itertools.count()
    fleet.crashes = lambda body: next(numbers) % 4 == 0
    for number in range(REPEATS):
        assert fleet.send(SOUND, host=number % 2).status == 200
    time.sleep(STABLE_S)
    fleet.crashes = lambda body: False
    assert fleet.send_many(REPEATS, SOUND) == [200] * REPEATS
