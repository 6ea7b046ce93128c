"""The HTTP API of a host in this process, in front of one scripted upstream."""

import json
import re
import socket
import struct
import threading
import time
from contextlib import suppress

from attrs import define, field, frozen
from result import Ok

from rosemaryyoke.calls.claim_entries import ClaimEntry
from rosemaryyoke.calls.retry import RetryBudget
from rosemaryyoke.calls.services import ServiceCalls
from rosemaryyoke.core import EventRecorder, Kernel, Metrics
from rosemaryyoke.entry.app import HttpApi
from rosemaryyoke.placement import Choice
from rosemaryyoke.placement.service import PlacementDecision
from rosemaryyoke.quarantine import Quarantine
from rosemaryyoke.rules.model import (
    ENGINE_KIND,
    SERVICE_KIND,
    Account,
    Model,
    PlainService,
    Route,
    RuleSet,
    UnsafeCall,
    Upstream,
    digest_key,
)
from rosemaryyoke.streams import Relay
from rosemaryyoke.streams.tests.builders import StubPlacement, StubQuarantineService
from rosemaryyoke.testing.builders import SHARED_KEY, api_key, free_port
from rosemaryyoke.upstreams.engine import HttpEngineAdapter
from rosemaryyoke.wire import HttpServer

ACCOUNT = "cedar"
INSTANCES = 4
MAX_CONNECTIONS = 16
CALL_TIMEOUT_S = 10.0
PIECE_INTERVAL_S = 0.001  # so that the host receives pieces one by one
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)", re.IGNORECASE)


@frozen
class ReceivedRequest:
    """A request as an upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


@frozen
class Answer:
    """The pieces that an upstream sends, and whether it then resets the connection."""

    pieces: tuple[bytes, ...]
    reset: bool = False


def read_request(connection):
    """Read a request from a connection."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += receive(connection)
    head, _, body = data.partition(b"\r\n\r\n")
    length = CONTENT_LENGTH.search(head)
    while length and len(body) < int(length[1]):
        body += receive(connection)
    first_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first_line.split(" ")
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return ReceivedRequest(method, target, headers, body)


def receive(connection):
    """Return what a connection delivers next; raise ``ConnectionError`` at its end."""
    data = connection.recv(65_536)
    if not data:
        raise ConnectionError("closed")
    return data


@define(eq=False)
class ScriptedUpstream:
    """A server that answers each request with the next step of its script.

    A step is a function of the request that returns an ``Answer``. After the script,
    ``then`` is the step. Each connection ends with its answer.
    """

    script: list = field(factory=list)
    then: object = None
    received: list[ReceivedRequest] = field(factory=list)
    listener: socket.socket = field(init=False)

    def __attrs_post_init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        threading.Thread(target=self.serve, daemon=True).start()

    @property
    def address(self):
        """Return the address that the server listens at."""
        return "127.0.0.1:%d" % self.listener.getsockname()[1]

    def follow(self, *script, then):
        """Replace the script."""
        self.received.clear()
        self.script, self.then = list(script), then

    def serve(self):
        """Answer connections until the listener is closed."""
        with suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
                threading.Thread(
                    target=self.answer, args=(connection,), daemon=True
                ).start()

    def answer(self, connection):
        """Answer the request of a connection, then close it."""
        with connection, suppress(OSError):
            request = read_request(connection)
            self.received.append(request)
            step = self.script.pop(0) if self.script else self.then
            answer = step(request)
            for piece in answer.pieces:
                connection.sendall(piece)
                if len(answer.pieces) > 1:
                    time.sleep(PIECE_INTERVAL_S)
            if answer.reset:
                linger = (socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                connection.setsockopt(*linger)

    def close(self):
        """Stop listening."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


@define
class StubUpstreams:
    """Upstream directory without a view of health."""

    engine_adapter: HttpEngineAdapter = field(factory=HttpEngineAdapter)

    def kv_store_address(self):
        """Return that there is no KV cache store."""
        return ""

    def usable(self, upstreams, excluded):
        """Return the upstreams that are not excluded."""
        return [item for item in upstreams if item.name not in excluded]

    def record_failure(self, name):
        """Do nothing."""

    def record_refusal(self, name):
        """Do nothing."""


@define
class StubRevisions:
    """Rules that are in force from the start."""

    rules: RuleSet
    known: threading.Event = field(factory=threading.Event)

    def __attrs_post_init__(self):
        self.known.set()


class StubLimits:
    """Limits that admit all requests."""

    def admit(self, limit, account, tokens):
        """Admit a request."""
        return Ok(None)

    def release(self, account):
        """Do nothing."""


@define
class StubClaims:
    """Claims of keys, each of which is new; remembers the states recorded."""

    states: list[str] = field(factory=list)

    def claim(self, key):
        """Return a claim that holds the key."""
        return Ok(("token", ClaimEntry("token", "", 0.0)))

    def record_outcome(self, key, token, state, response):
        """Store the state."""
        self.states.append(state)


@define
class EnginesInOrder(StubPlacement):
    """Placement that chooses engines in their order, all at one address."""

    address: str = ""

    def place(self, rules, route, account, text, excluded, required_weights):
        """Return the first engine that is not excluded."""
        decision = StubPlacement.place(
            self, rules, route, account, text, excluded, required_weights
        )
        return decision.map(self.at_address)

    def at_address(self, decision):
        """Return a decision for the same engine at this placement's address."""
        name = decision.upstream.name
        upstream = Upstream(name, ENGINE_KIND, self.address, "d", "m")
        return PlacementDecision(upstream, decision.weights, [], Choice(name))


def make_rules(address):
    """Return rules with a model and a service, whose upstreams share an address."""
    digest = bytes.fromhex(digest_key(api_key(ACCOUNT)))
    instances = [
        Upstream(f"r{number}", SERVICE_KIND, address, "d", "records")
        for number in range(INSTANCES)
    ]
    return RuleSet(
        (
            Account(ACCOUNT, digest),
            Model("m", "v1"),
            Route("m"),
            PlainService("records", (UnsafeCall("POST", "/"),)),
            *instances,
        )
    )


@frozen
class ApiSettings:
    """Settings that the API reads."""

    shared_key: str = SHARED_KEY
    name: str = "host0"


@define(eq=False)
class ApiHost:
    """The HTTP API of a host, and the upstream that stands for all of its own."""

    upstream: ScriptedUpstream = field(factory=ScriptedUpstream)
    kernel: Kernel = field(factory=Kernel)
    claims: StubClaims = field(factory=StubClaims)
    port: int = field(factory=free_port)
    server: HttpServer = field(init=False)

    def __attrs_post_init__(self):
        engines = [f"e{number}" for number in range(INSTANCES)]
        kernel = self.kernel
        kernel.add("directory", StubUpstreams())
        placement = EnginesInOrder(engines, address=self.upstream.address)
        kernel.add("placement", placement)
        kernel.add("revisions", StubRevisions(make_rules(self.upstream.address)))
        kernel.add("recorder", EventRecorder("test"))
        kernel.add("metrics", Metrics())
        kernel.add("quarantine", StubQuarantineService())
        kernel.add("claims", self.claims)
        kernel.add("limits", StubLimits())
        for name in ("members", "orders"):
            kernel.add(name, None)
        kernel.add("relay", Relay(kernel, SHARED_KEY))
        kernel.add("service_calls", ServiceCalls(kernel))
        api = HttpApi(kernel, ApiSettings())
        for part in (kernel.get("relay"), kernel.get("service_calls"), api):
            part.start()
        self.server = HttpServer(
            "127.0.0.1", self.port, api.application(), MAX_CONNECTIONS
        )
        self.server.start()

    def close(self):
        """Stop the server and the upstream."""
        self.server.stop(1.0)
        self.kernel.get("directory").engine_adapter.pump.stop()
        self.upstream.close()

    def follow(self, *script, then):
        """Set the upstream's script; forget evidence and retries of earlier calls."""
        self.upstream.follow(*script, then=then)
        relay, calls = self.kernel.get("relay"), self.kernel.get("service_calls")
        relay.quarantine = calls.quarantine = Quarantine()
        relay.retry_budget, calls.budget = RetryBudget(), RetryBudget()
        self.claims.states.clear()

    def call(self, method, target, body=b"", **headers):
        """Send a request; return all bytes of the response."""
        fields = {
            "Host": "a.example",
            "Authorization": f"Bearer {api_key(ACCOUNT)}",
            "Content-Length": str(len(body)),
            **headers,
        }
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        address = ("127.0.0.1", self.port)
        with socket.create_connection(address, CALL_TIMEOUT_S) as connection:
            connection.sendall(head + body)
            response = b""
            with suppress(ConnectionResetError):
                while data := connection.recv(65_536):
                    response += data
        return response
