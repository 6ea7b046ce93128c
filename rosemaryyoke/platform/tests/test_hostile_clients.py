"""A host's process withstands clients that try to exhaust its memory.

The bounds come from the memory that the settings give the host, and its connections.
"""

import subprocess
import sys
import time

import orjson
import pytest
from attrs import define

from rosemaryyoke.exchanges.settings import DEFAULT_METRICS_PORT
from rosemaryyoke.http1 import Address, send_request
from rosemaryyoke.platform.standins.documents import (
    MODEL,
    make_configuration,
    make_registration,
    make_settings,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
    send_client_request,
)
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.testing.builders import free_port, worker_number
from rosemaryyoke.testing.hostile_clients import (
    LOAD_FORMS,
    READER_FORMS,
    HostileClients,
    Request,
    open_descriptors,
    peak_memory_bytes,
)

pytestmark = pytest.mark.hostile_clients

HTTP_OK = 200
MB = 1_000_000
MEMORY_MB = 80  # of the machine; a host without load takes 37 to 45
BODY_LIMIT = 1024 * 1024
CLIENTS = 48  # whose bodies together exceed the machine's memory
OWN_DESCRIPTORS = 160  # that the host opens itself
LARGER_MEMORY_MB = 150
CROWDS = (60, 600)  # clients; a host of that memory takes about 400 callers
SLOTS = 400  # of each upstream, so that the upstreams' capacity refuses nothing
LOAD_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 8.0  # for a request that is sent again after it was refused
RETRY_PAUSE_S = 0.2
RESPONSE_S = 3.0
LARGE_RESPONSE_BYTES = 1024 * 1024
LARGE_EVENT = b"data: %s\n\n" % (b"x" * 8_192)
LARGE_EVENTS = 2_000
BODY_FORM_NAMES = ("body_in_one_piece", "body_in_tiny_chunks")
COSTLY_FORM_NAMES = (
    "body_in_tiny_chunks",
    "many_header_fields",
    "many_trailers",
    "pipelined_unread",
)
KEY = "Authorization: Bearer k1"
ROUTE_FIELDS = ("Host: a.example", "Request-Id: h1", "Deadline-Ms: 20000", KEY)
STREAM_FIELDS = (
    *ROUTE_FIELDS,
    f"Model: {MODEL}",
    "Token-Count: 160,20",
    "Prompt-Prefix: aa:60,bb:90,cc:10",
)


class LargeUpstream(EngineStandin):
    """An upstream with a large response and a stream that lasts."""

    def answer(self, message, caller):
        """Answer by the target, and do not keep the requests."""
        if message.target == b"/read/large":
            self.send_large(message, caller)
        elif message.target == b"/chat/long":
            self.send_long_stream(message, caller)
        else:
            super().answer(message, caller)
            self.received.clear()

    def send_large(self, message, caller):
        """Send a large response."""
        body = b"x" * LARGE_RESPONSE_BYTES
        caller.send_response(200, b"OK", self.headers(message), body)

    def send_long_stream(self, message, caller):
        """Send events until the connection is closed or they have come to an end."""
        head = caller.begin_stream(200, b"OK", self.headers(message))
        for number in range(1, LARGE_EVENTS):
            caller.write_events(head, b"id: %d\n%s" % (number, LARGE_EVENT))
            head = b""
        caller.end_stream(head)


@define(eq=False)
class Host:
    """The process of a host."""

    process: subprocess.Popen
    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    metrics: Address

    @property
    def address_of(self):
        """Return the address of each port, by the names of the targets below."""
        return {
            "route": self.callers,
            "stream": self.callers,
            "no_route": self.callers,
            "no_key": self.callers,
            "readiness": self.readiness,
            "directory": self.directory,
            "metrics": self.metrics,
            "peers": self.peers,
            "catalog": self.peers,
            "forwarded": self.peers,
        }

    def is_ready(self):
        """Return whether the host reports that it is ready."""
        assert self.process.poll() is None, "the host has ended"
        queries = ((self.readiness, "/readiness"), (self.metrics, "/metrics"))
        replies = [send_request(address, "GET", path) for address, path in queries]
        return all(reply.is_ok() and reply.ok_value.ok for reply in replies)


@pytest.fixture(scope="module")
def upstreams():
    """Start a store with a configuration, and upstreams of both kinds."""
    document = make_configuration()
    document["limits"]["maxBodyBytes"] = BODY_LIMIT
    document["limits"]["maxHeaderBytes"] = 16_384
    document["limits"]["idleTimeoutMs"] = 15_000
    document["limits"]["headerTimeoutMs"] = 3_000
    for route in document["routes"]:
        route["timeoutMs"] = 20_000
    document["services"][0]["engine"]["slots"] = SLOTS
    store = StoreStandin()
    store.set("config", "main", document)
    engine, plain = LargeUpstream("e1"), LargeUpstream("p1")
    for upstream, service in ((engine, "llm"), (plain, "records")):
        address = str(upstream.address)
        entry = make_registration(address, service, slots=SLOTS)
        store.set("servers", upstream.name, entry)
    yield store
    for part in (store, engine, plain):
        part.stop()


def start_process(store, folder, network, memory_mb=MEMORY_MB):
    """Start the process of a host with the memory of a small machine."""
    # An address of its own, since the port of the metrics is not in the settings file.
    ip = f"127.0.{network}.{20 + worker_number()}"
    port = free_port(6)
    name = f"front-{port}"
    settings = make_settings(name, ip, port, str(store.address))
    settings["limits"] = {"memoryMb": memory_mb}
    path = folder / f"{name}.json"
    path.write_bytes(orjson.dumps(settings))
    command = [sys.executable, "-m", "rosemaryyoke", "route", "--settings", str(path)]
    with open(folder / f"{name}.log", "wb") as log:
        process = subprocess.Popen(command, stdout=log, stderr=log)
    listen = settings["listen"]
    return Host(
        process,
        Address.parse(listen["front"]),
        Address.parse(listen["readiness"]),
        Address.parse(listen["directory"]),
        Address.parse(listen["control"]),
        Address(ip, DEFAULT_METRICS_PORT),
    )


@pytest.fixture(scope="module")
def processes(upstreams, tmp_path_factory):
    """Return hosts one after another; the next one starts while one is tested."""
    folder = tmp_path_factory.mktemp("hosts")
    started = []

    def start_next():
        started.append(start_process(upstreams, folder, len(started) % 2))

    def take():
        start_next()
        return started[-2]

    start_next()
    yield take
    stop_process(started[-1])


def stop_process(host):
    """End a host's process."""
    host.process.kill()
    host.process.wait()


def ready(host):
    """Yield a host's process once it is ready, and end it."""
    try:
        wait_for(host.is_ready, 15.0)
        yield host
    finally:
        stop_process(host)


@pytest.fixture()
def host(processes):
    """Return a host's process that is ready, and end it."""
    yield from ready(processes())


@pytest.fixture()
def larger_host(upstreams, tmp_path):
    """Return a host's process on a larger machine that is ready, and end it."""
    yield from ready(start_process(upstreams, tmp_path, 2, LARGER_MEMORY_MB))


GET_FIELDS = ("Host: a.example",)
FORWARDED = "Rosemaryyoke-Forwarded: host=front-0&configuration=1&runs=0"
TARGETS = {
    "route": Request("POST", "/read/1", ROUTE_FIELDS),
    "stream": Request("POST", "/chat/1", STREAM_FIELDS),
    "no_route": Request("POST", "/nowhere", ROUTE_FIELDS),
    "no_key": Request("POST", "/read/1"),
    "readiness": Request("GET", "/readiness", GET_FIELDS),
    "directory": Request("GET", "/lookup?zone=z1", GET_FIELDS),
    "metrics": Request("GET", "/metrics", GET_FIELDS),
    "peers": Request("GET", "/state", GET_FIELDS),
    "catalog": Request("GET", "/catalog", GET_FIELDS),
    "forwarded": Request("POST", "/read/1", (*ROUTE_FIELDS, FORWARDED)),
}
# One target of each port or kind of request, for all forms of load.
PORTS = (
    "route",
    "no_route",
    "readiness",
    "directory",
    "metrics",
    "peers",
    "forwarded",
)
BODY_FORMS = tuple(form for form in LOAD_FORMS if form.name in BODY_FORM_NAMES)
COSTLY_FORMS = tuple(form for form in LOAD_FORMS if form.name in COSTLY_FORM_NAMES)
LARGE_TARGETS = {
    "route": Request("POST", "/read/large", ROUTE_FIELDS),
    "stream": Request("POST", "/chat/long", STREAM_FIELDS),
}


def send_ordinary_request(address, port):
    """Make the ordinary use of a port; return the status, or None without answer."""
    if port in ("route", "stream", "no_route", "no_key"):
        try:
            reader = send_client_request(address, "/read/1", body=b"ordinary")
        except OSError:
            return None
        complete = reader.responses and reader.responses[0].complete
        return reader.responses[0].status if complete else None
    target = "/state" if port == "forwarded" else TARGETS[port].target
    reply = send_request(address, "GET", target, timeout_s=2.0)
    return reply.ok_value.status if reply.is_ok() else None


def assert_answered(address, port):
    """Assert that an ordinary request is answered, if need be after some refusals."""
    end_s = time.monotonic() + ANSWER_TIMEOUT_S
    while (status := send_ordinary_request(address, port)) != HTTP_OK:
        assert time.monotonic() < end_s, f"not answered, status {status}"
        time.sleep(RETRY_PAUSE_S)


def check(
    host, form, port, request, count=CLIENTS, memory_mb=MEMORY_MB, response_s=0.0
):
    """Check a host while clients with a form of load stay connected to a port.

    ``response_s`` is for responses to fill the buffers of the connections.
    """
    address = host.address_of[port]
    with HostileClients(address, form, request, BODY_LIMIT, count) as clients:
        clients.wait_in_place(LOAD_TIMEOUT_S)
        time.sleep(response_s)
        descriptors = open_descriptors(host.process.pid)
        assert host.process.poll() is None, "the host has ended"
        peak_mb = peak_memory_bytes(host.process.pid) / MB
        print(f"peak={peak_mb:.1f} MB descriptors={descriptors}")
        assert_answered(address, port)
        peak_mb = peak_memory_bytes(host.process.pid) / MB
        print(f"peak={peak_mb:.1f} MB sent={clients.sent_bytes / MB:.1f} MB")
        assert peak_mb < memory_mb
        # Of each client its connection and one to an upstream for it.
        assert descriptors < 2 * count + OWN_DESCRIPTORS


# Guards against a host that is ended for its memory, or answers no one, under requests
# that are large, endless or slow.
@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("form", LOAD_FORMS, ids=lambda form: form.name)
def test_host_withstands_requests(host, form, port):
    check(host, form, port, TARGETS[port])


# Guards against a host that stores the bodies on one of the other paths of a port.
@pytest.mark.parametrize("port", sorted(TARGETS.keys() - set(PORTS)))
@pytest.mark.parametrize("form", BODY_FORMS, ids=lambda form: form.name)
def test_host_withstands_bodies_on_other_paths(host, form, port):
    check(host, form, port, TARGETS[port])


# Guards against a host that keeps the responses and event streams that clients do not
# read, or read slowly.
@pytest.mark.parametrize("port", LARGE_TARGETS)
@pytest.mark.parametrize("form", READER_FORMS, ids=lambda form: form.name)
def test_host_withstands_unread_responses(host, form, port):
    check(host, form, port, LARGE_TARGETS[port], response_s=RESPONSE_S)


# Guards against clients that take the processor or the slots from ordinary callers by
# requests that are costly to parse, or many on each connection.
@pytest.mark.parametrize("count", CROWDS)
@pytest.mark.parametrize("form", COSTLY_FORMS, ids=lambda form: form.name)
def test_host_answers_beside_costly_requests(larger_host, form, count):
    check(larger_host, form, "route", TARGETS["route"], count, LARGER_MEMORY_MB)
