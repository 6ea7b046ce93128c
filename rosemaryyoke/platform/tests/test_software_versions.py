"""Streams that are resumed while upstreams of several software versions serve."""

import itertools
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from attrs import define, field

from rosemaryyoke.http1 import ResponseParser
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

OLD, NEW = "v1", "v2"
VERSIONS = (OLD, OLD, NEW, NEW, NEW)  # of the engines
EVENTS = 5
CUT_AFTER = 2  # events
STREAMS = 24
TAKE_UPS = 20
SENDERS = 4
TOLD_S = 0.3
LEARNED_S = 1.0


@define(eq=False)
class MixedFleet:
    """Two hosts, and engines whose events name their software versions.

    ``breaks_off`` says whether an engine ends a stream early that it begins, and
    ``refuses`` whether it refuses one that is taken up.
    """

    store: StoreStandin = field(factory=StoreStandin)
    engines: dict = field(factory=dict)
    hosts: list = field(factory=list)
    breaks_off: bool = False
    refuses: bool = True
    begun_at: dict = field(factory=dict)
    numbers: itertools.count = field(factory=itertools.count)
    lock: threading.Lock = field(factory=threading.Lock)

    def start(self, versions=VERSIONS):
        """Start the engines and the hosts, and wait until they know each other."""
        self.store.set("config", "main", make_configuration())
        for version in versions:
            self.add_engine(version)
        self.start_hosts(2)

    def start_hosts(self, count):
        """Start hosts, and wait until they know each other."""
        self.hosts.append(start_host(self.store))
        for _ in range(count - 1):
            self.add_host()

    def add_engine(self, version):
        """Start an engine and register it."""
        engine = EngineStandin(f"e{len(self.engines)}", script=Script(self))
        self.engines[engine] = version
        entry = make_registration(str(engine.address), **{"version": 1})
        self.store.set("servers", engine.name, {**entry, "version": version})

    def remove_engines(self, version):
        """Remove the engines of a version from the store."""
        for engine in [item for item in self.engines if self.engines[item] == version]:
            self.store.remove("servers", engine.name)

    def registered(self):
        """Return how many engines are registered."""
        return len(self.store.objects.get("servers", {}))

    def add_host(self):
        """Start one more host, and wait until all know each other."""
        self.hosts.append(start_host(self.store, [self.hosts[0].settings.peers]))
        others = len(self.hosts) - 1
        for host in self.hosts:
            wait_for(host.is_ready)
            wait_for(lambda: len(host.table.live_peers(time.monotonic())) == others)
            wait_for(lambda: len(host.catalog.upstreams) == self.registered())

    def stop(self):
        """Stop all parts."""
        for host in self.hosts:
            host.kernel.stop()
        for part in (self.store, *self.engines):
            part.stop()

    def run(self, engine, message, caller):
        """Send events, or refuse a stream that this engine began."""
        begun = find_header(message.headers, b"resumes")
        request = begun or find_header(message.headers, b"request-id")
        after = int(find_header(message.headers, b"last-event-id") or 0)
        with self.lock:
            first = self.begun_at.setdefault(request, engine)
        if self.refuses and after and first is engine:
            engine.reply(message, caller, 503, [(b"Not-Executed", b"1")])
            return
        last = CUT_AFTER if self.breaks_off and not after else EVENTS
        head = caller.begin_stream(200, b"OK", engine.headers(message))
        for number in range(after + 1, last + 1):
            data = self.engines[engine].encode()
            caller.write_events(head, b"id: %d\ndata: %s\n\n" % (number, data))
            head = b""
        if last < EVENTS:
            raise OSError("broken off")
        caller.end_stream(head)

    def send(self, host=0, **headers):
        """Send a request for a stream of its own prompt; return its response."""
        number = next(self.numbers)
        reader = send_client_request(
            self.hosts[host].settings.callers,
            headers=stream_headers(f"a{number}:600,b{number}:900,c{number}:100"),
            **{"Request-Id": f"r{number}", **headers},
        )
        return reader.responses[0] if reader.responses else None

    def begin(self, host=0):
        """Begin a stream, leave it, and return its request and the events until then.

        The host finds its caller gone when the upstream goes on.
        """
        number = next(self.numbers)
        values = {
            "Host": "a.example",
            "Request-Id": f"r{number}",
            "Deadline-Ms": "2000",
            "Authorization": "Bearer k1",
            "Content-Length": "0",
        }
        lines = [f"{key}: {value}" for key, value in values.items()]
        parts = f"a{number}:600,b{number}:900,c{number}:100"
        lines += [f"{key}: {value}" for key, value in stream_headers(parts)]
        address = self.hosts[host].settings.callers
        reader = ResponseParser()
        with socket.create_connection((address.ip, address.port), 2) as connection:
            connection.settimeout(5)
            head = "\r\n".join(["POST /chat/1 HTTP/1.1", *lines, "", ""])
            connection.sendall(head.encode())
            body = b""
            while body.count(b"\n\n") < CUT_AFTER:
                reader.feed(connection.recv(65_536))
                if reader.responses and reader.responses[0].head_complete:
                    body += reader.responses[0].drain_body()
        return f"r{number}", versions_of(body)[:CUT_AFTER]

    def take_up(self, begun, host):
        """Take a stream up, and return its status and the versions of its events."""
        request, versions = begun
        headers = {"Last-Event-Id": str(CUT_AFTER), "Resumes": request}
        answer = self.send(host, **headers)
        if answer is None or answer.status != 200:
            return (answer.status if answer else None), versions
        return 200, versions + versions_of(answer.body)


@define(eq=False)
class Script:
    """A script whose every step is decided by the fleet."""

    fleet: MixedFleet

    def pop(self, _):
        """Return the step for the next request."""
        return self.fleet.run


def versions_of(body):
    """Return the versions that the events of a stream name."""
    lines = body.decode().splitlines()
    return [line.removeprefix("data: ") for line in lines if line.startswith("data")]


def assert_whole(results):
    """Check that streams went on to their ends, each at one version."""
    assert [status for status, _ in results] == [200] * len(results)
    assert all(len(versions) == EVENTS for _, versions in results)
    assert count_mixed(results) == 0


def count_mixed(results):
    """Return how many streams hold events of several versions."""
    return sum(len(set(versions)) > 1 for _, versions in results)


@pytest.fixture()
def fleet():
    fleet = MixedFleet()
    fleet.start()
    yield fleet
    fleet.stop()


@pytest.fixture()
def old_fleet():
    fleet = MixedFleet()
    fleet.start((OLD, OLD))
    yield fleet
    fleet.stop()


# Guards against an answer that goes on at an upstream with another software version.
def test_stream_goes_on_at_its_software_version_within_one_answer(fleet):
    fleet.breaks_off = True
    with ThreadPoolExecutor(SENDERS) as clients:
        answers = list(clients.map(fleet.send, [n % 2 for n in range(STREAMS)]))
    assert_whole([(answer.status, versions_of(answer.body)) for answer in answers])


# Guards against streams that callers resume at another version, at any host.
@pytest.mark.parametrize("host", [0, 1])
def test_stream_that_is_taken_up_goes_on_at_its_software_version(fleet, host):
    begun = [fleet.begin() for _ in range(TAKE_UPS)]
    time.sleep(TOLD_S)
    assert_whole([fleet.take_up(item, host) for item in begun])


# Guards against versions that no one knows since the host with the stream has stopped.
def test_stream_of_a_host_that_has_stopped_goes_on_at_its_version(fleet):
    fleet.add_host()
    begun = [fleet.begin(host=2) for _ in range(TAKE_UPS)]
    time.sleep(TOLD_S)
    fleet.hosts.pop().kernel.stop()
    assert_whole([fleet.take_up(item, n % 2) for n, item in enumerate(begun)])


# Guards against a host that has just started and goes on at any version.
def test_stream_that_is_taken_up_at_a_new_host_goes_on_at_its_version(fleet):
    begun = [fleet.begin() for _ in range(TAKE_UPS)]
    time.sleep(TOLD_S)
    fleet.add_host()
    assert_whole([fleet.take_up(item, 2) for item in begun])


# Guards against streams that go on elsewhere as no upstream of their version is left.
def test_stream_whose_version_is_gone_is_rejected_at_once(fleet):
    begun = [fleet.begin() for _ in range(TAKE_UPS)]
    time.sleep(TOLD_S)
    fleet.remove_engines(OLD)
    wait_for(lambda: all(len(host.catalog.upstreams) == 3 for host in fleet.hosts))
    started_s = time.monotonic()
    results = [fleet.take_up(item, n % 2) for n, item in enumerate(begun)]
    assert time.monotonic() - started_s < 0.2 * TAKE_UPS
    old = [result for result in results if result[1][0] == OLD]
    assert old and all(status == 503 for status, _ in old)
    assert_whole([result for result in results if result[1][0] == NEW])


# Guards against a stream that began before a release and goes on at the new version.
def test_stream_that_began_before_a_release_goes_on_at_its_version(old_fleet):
    begun = [old_fleet.begin() for _ in range(TAKE_UPS)]
    for _ in range(3):
        old_fleet.add_engine(NEW)
    for host in old_fleet.hosts:
        wait_for(lambda: len(host.catalog.upstreams) == 5)
    time.sleep(TOLD_S)
    assert_whole([old_fleet.take_up(item, n % 2) for n, item in enumerate(begun)])


# Guards against streams that are rejected although only one version serves.
def test_stream_goes_on_while_one_version_serves(old_fleet):
    old_fleet.refuses = False
    begun = [old_fleet.begin() for _ in range(TAKE_UPS)]
    old_fleet.add_host()
    old_fleet.hosts[0].kernel.stop()
    results = [old_fleet.take_up(item, 1 + n % 2) for n, item in enumerate(begun)]
    assert_whole(results)


# Guards against mixed streams of which no host knows how they began.
def test_stream_that_no_host_knows_is_rejected_while_two_versions_serve(fleet):
    time.sleep(LEARNED_S)
    headers = {"Last-Event-Id": "2", "Resumes": "unknown"}
    started_s = time.monotonic()
    assert fleet.send(**headers).status == 503
    assert time.monotonic() - started_s < 1.0
