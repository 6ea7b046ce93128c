"""Simulated upstreams of the platform, and a client that sends callers' requests."""

import socket
import threading
import time
from typing import Callable, Iterator, NoReturn

import orjson
from attrs import define, field, frozen

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1 import (
    Address,
    Headers,
    RequestMessage,
    ResponseMessage,
    ResponseParser,
)
from rosemaryyoke.http1.messages import encode_head, find_header
from rosemaryyoke.http1.sockets import (
    READ_BYTES,
    close,
    connect,
    is_reusable,
    wait_readable,
)
from rosemaryyoke.platform import names
from rosemaryyoke.platform.standins.answer_forms import AnswerForm, AnswerWriter
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.platform.standins.limited_slots import LimitedSlots
from rosemaryyoke.platform.standins.servers import EngineStandin, stream_headers

EVENT_INTERVAL_S = 0.02
WEIGHTS_LOAD_S = 0.4
CONNECT_TIMEOUT_S = 0.5
UNACKNOWLEDGED_TIMEOUT_S = 5.0

# How a client's exchange ended.
COMPLETE = "complete"
CLOSED = "closed"
RESET = "reset"
ABANDONED = "abandoned"
NOT_CONNECTED = "not connected"


@define
class RunRecord:
    """A request executed by an upstream, as the upstream received it."""

    request: str
    upstream: str
    account: str
    has_authorization: bool
    first_event: int
    streaming: bool
    software: str


@define
class OrderRecord:
    """An order executed by an engine, as the engine received it."""

    upstream: str
    holder: str
    fencing: int
    version: int


@define(eq=False)
class SimulatedUpstream(EngineStandin):
    """Upstream that executes requests and orders addressed to it and reports them.

    A request that it would run takes the next step of the script, if there is one.
    While ``busy`` it refuses requests as not executed, and asks for ``quiet_s`` of
    pause if that is set. ``form`` is how it answers. No response begins before
    ``first_event_after_s``, and no stream goes on before ``next_event_after_s``; both
    are times of the monotonic clock. It crashes as it begins to answer a prompt with
    one of ``crashing_parts`` that is not the last part, or any request with one of
    ``crashing_targets``. A request takes ``run_s`` longer than usual, and one of
    ``limited_slots`` if these are set.
    """

    on_run: Callable[[RunRecord], None] = lambda record: None
    on_order: Callable[[OrderRecord], None] = lambda record: None
    on_loaded: Callable[[], None] = lambda: None
    make_event: Callable[[str, int], bytes] = lambda request, number: b""
    make_body: Callable[[str, str], bytes] = lambda request, name: b""
    orders: int = 0
    software: str = "v1"
    loading: bool = False
    busy: bool = False
    quiet_s: float = 0.0
    form: AnswerForm = AnswerForm.FRAMED
    crashing_parts: set[str] = field(factory=set)
    crashing_targets: set[str] = field(factory=set)
    on_crash: Callable[[str, str], None] = lambda name, part: None
    run_s: float = 0.0
    limited_slots: LimitedSlots | None = None
    first_event_after_s: float = 0.0
    next_event_after_s: float = 0.0
    order_lock: threading.Lock = field(factory=threading.Lock)

    def answer(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Handle a health check, a state report, an order or a request."""
        name = find_header(message.headers, names.EXPECTED_INSTANCE.lower())
        not_run = [(names.NOT_EXECUTED, b"1")]
        if message.target == b"/health":
            status = 503 if self.leaving else 200
            caller.send_response(status, b"", self.notice_headers(), b"")
        elif message.target == b"/report":
            self.answer_report(caller)
        elif name is not None and name.decode() != self.name:
            self.reply(message, caller, 421, not_run)
        elif message.target == b"/order":
            status = self.accept_order(orjson.loads(message.body))
            caller.send_response(status, b"", self.notice_headers(), b"{}")
        elif self.loading or self.busy:
            self.reply(message, caller, 503, [*not_run, *self.quiet_headers()])
        elif not self.has_weights(message):
            self.reply(message, caller, 421, not_run)
        elif self.script:
            self.script.pop(0)(self, message, caller)
        elif self.limited_slots is not None:
            self.run_in_slot(self.limited_slots, message, caller)
        else:
            self.run_request(message, caller)

    def run_in_slot(
        self, slots: LimitedSlots, message: RequestMessage, caller: CallerConnection
    ) -> None:
        """Execute a request if there is a slot for it; refuse it otherwise."""
        if not slots.acquire():
            self.reply(message, caller, 503, [(names.NOT_EXECUTED, b"1")])
            return
        try:
            self.run_request(message, caller)
        finally:
            slots.release()

    def quiet_headers(self) -> Headers:
        """Return the header that asks for a pause, if the upstream wants one."""
        if not (self.busy and self.quiet_s):
            return []
        return [(b"Retry-After", b"%.3f" % self.quiet_s)]

    def has_weights(self, message: RequestMessage) -> bool:
        """Return whether the weights that a request expects are loaded."""
        expected = find_header(message.headers, names.EXPECTED_WEIGHTS.lower())
        return expected is None or int(expected) == self.version

    def answer_report(self, caller: CallerConnection) -> None:
        """Respond with the current state."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        value = {"models": models, "busy": self.loading, "seq": self.orders}
        headers = self.notice_headers()
        caller.send_response(200, b"", headers, orjson.dumps(value))

    def accept_order(self, order: dict) -> int:
        """Start loading weights.

        The order is rejected while other weights are loading, or if the number of
        earlier orders is not the expected one.
        """
        with self.order_lock:
            if self.loading or order.get("expect", self.orders) != self.orders:
                return 409
            if order["version"] == self.version:
                return 200
            self.orders += 1
            self.loading = True
        record = OrderRecord(
            self.name, order["holder"], order["fencingToken"], order["version"]
        )
        self.on_order(record)
        threading.Thread(
            target=self.load_weights, args=(record.version,), daemon=True
        ).start()
        return 202

    def load_weights(self, version: int) -> None:
        """Switch to new weights after the loading time."""
        time.sleep(WEIGHTS_LOAD_S)
        self.version = version
        self.loading = False
        self.on_loaded()

    def run_request(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Execute a request, keeping the name that the upstream had at its start."""
        name, headers = self.name, message.headers
        request = find_header(headers, names.REQUEST_ID.lower()).decode()
        streams = find_header(headers, names.MODEL.lower()) is not None
        after = int(find_header(headers, names.LAST_EVENT_ID.lower()) or 0)
        account = find_header(headers, names.ACCOUNT.lower()) or b""
        has_authorization = (
            find_header(headers, names.AUTHORIZATION.lower()) is not None
        )
        self.on_run(
            RunRecord(
                request,
                name,
                account.decode(),
                has_authorization,
                after + 1,
                streams,
                self.software,
            )
        )
        sealed = [
            (names.REQUEST_ID, request.encode()),
            (names.RESPONSE_SEAL, name.encode()),
            *self.notice_headers(),
        ]
        target = message.target.decode()
        if target in self.crashing_targets:
            time.sleep(EVENT_INTERVAL_S)
            self.on_crash(self.name, target)
            raise OSError("the engine crashed")
        time.sleep(self.run_s)
        if not streams:
            self.wait_event(first=True)
            body = self.make_body(request, name)
            AnswerWriter(caller, sealed, self.form).write_body(body)
            return
        sealed.append((names.SERVED_WEIGHTS, b"%d" % self.version))
        part = self.find_crashing_part(message)
        if part is not None:
            self.crash(caller, sealed, part)
        events = self.generate_events(request, after + 1)
        AnswerWriter(caller, sealed, self.form).write_stream(events)

    def find_crashing_part(self, message: RequestMessage) -> str | None:
        """Return a shared part of a prompt that crashes engines, if it has one."""
        prompt = find_header(message.headers, names.PROMPT_PARTS.lower()) or b""
        items = prompt.decode().split(",")[:-1]
        shared = [item.partition(":")[0] for item in items]
        return next((part for part in shared if part in self.crashing_parts), None)

    def crash(self, caller: CallerConnection, headers: Headers, part: str) -> NoReturn:
        """Begin an answer, then end this and all other connections."""
        time.sleep(EVENT_INTERVAL_S)
        caller.write(encode_head(b"HTTP/1.1 200 OK", headers))
        self.on_crash(self.name, part)
        raise OSError("the engine crashed")

    def generate_events(self, request: str, first: int) -> Iterator[bytes]:
        """Yield the events of a request from a number on, each when it is due."""
        for number in range(first, self.events + 1):
            self.wait_event(first=number == first)
            yield self.make_event(request, number)

    def wait_event(self, first: bool) -> None:
        """Wait until the next event may be sent."""
        time.sleep(EVENT_INTERVAL_S)
        resumes_s = self.first_event_after_s if first else self.next_event_after_s
        time.sleep(max(0.0, resumes_s - time.monotonic()))


def encode_request(
    request: str,
    path: str,
    method: str,
    key: str,
    deadline_s: float,
    streams: bool,
    parts: str = "aa:600,bb:900,cc:100",
) -> bytes:
    """Encode a caller's request; ``parts`` are those of the prompt of a stream."""
    headers = [
        (b"Host", b"a.example"),
        (names.REQUEST_ID, request.encode()),
        (names.DEADLINE, b"%d" % (deadline_s * 1_000)),
        (names.AUTHORIZATION, b"Bearer " + key.encode()),
        (b"Content-Length", b"0"),
    ]
    if streams:
        headers += [(k.encode(), v.encode()) for k, v in stream_headers(parts)]
    return encode_head(f"{method} {path} HTTP/1.1".encode(), headers)


@frozen
class ClientExchange:
    """The response that a client received, if any, and how the exchange ended."""

    message: ResponseMessage | None
    ending: str


@define(eq=False)
class Client:
    """A client that keeps its connection open from one request to the next."""

    address: Address
    connection: socket.socket | None = None

    def exchange(self, data: bytes, timeout_s: float) -> ClientExchange:
        """Send a request and return the response, even if partial."""
        if self.connection is not None and not is_reusable(self.connection):
            self.close()
        try:
            if self.connection is None:
                self.connection = connect(
                    self.address, CONNECT_TIMEOUT_S, UNACKNOWLEDGED_TIMEOUT_S
                )
        except OSError:
            return ClientExchange(None, NOT_CONNECTED)
        reader = ResponseParser()
        ending = exchange_bytes(self.connection, data, reader, timeout_s)
        message = reader.responses[0] if reader.responses else None
        if ending != COMPLETE or not message.keep_alive:
            self.close()
        return ClientExchange(message, ending)

    def close(self) -> None:
        """Close the connection, if one is open."""
        if self.connection is not None:
            close(self.connection)
        self.connection = None


def exchange_bytes(
    connection: socket.socket, data: bytes, reader: ResponseParser, timeout_s: float
) -> str:
    """Send a request, read until its response ends, and return how it ended."""
    deadline_s = time.monotonic() + timeout_s
    try:
        connection.sendall(data)
        while not (reader.responses and reader.responses[0].complete):
            if not wait_readable(connection, deadline_s - time.monotonic()):
                return ABANDONED
            piece = connection.recv(READ_BYTES)
            if not piece:
                reader.feed_eof()
                break
            reader.feed(piece)
    except OSError:
        return RESET
    complete = bool(reader.responses) and reader.responses[0].complete
    return COMPLETE if complete else CLOSED


def read_answer_identity(message: ResponseMessage) -> tuple[str, str]:
    """Return the request ID and upstream named in a response, or empty strings."""
    values = (
        find_header(message.headers, name.lower())
        for name in (names.REQUEST_ID, names.RESPONSE_SEAL)
    )
    request, seal = ((value or b"").decode("latin-1") for value in values)
    return request, seal


def make_wanted_weights(version: int) -> tuple[str, str, dict]:
    """Return the kind, name and document of a model's wanted weights."""
    return names.WEIGHTS_KIND, MODEL, {"model": MODEL, "version": version}


def make_targets(weights: dict[str, int]) -> dict:
    """Return the fields of a route that is split between services by weight."""
    items = [{"service": name, "weight": value} for name, value in weights.items()]
    return {"trafficSplit": items}


def target_services(route: dict) -> set[str]:
    """Return the services to which a route goes."""
    return {item["service"] for item in route.get("trafficSplit", [route])}
