"""Simulated upstreams of the platform, and a client that sends callers' requests."""

import threading
import time
from typing import Callable

import orjson
from attrs import define, field
from result import Err, Ok, Result

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1 import Address, RequestMessage, ResponseMessage, ResponseParser
from rosemaryyoke.http1.messages import encode_head, find_header
from rosemaryyoke.http1.sockets import READ_BYTES, close, connect, wait_readable
from rosemaryyoke.platform import names
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.platform.standins.servers import EngineStandin, stream_headers

EVENT_INTERVAL_S = 0.02
WEIGHTS_LOAD_S = 0.4
CONNECT_TIMEOUT_S = 0.5
UNACKNOWLEDGED_TIMEOUT_S = 5.0


@define
class RunRecord:
    """A request executed by an upstream, as the upstream received it."""

    request: str
    upstream: str
    account: str
    has_authorization: bool
    first_event: int
    streaming: bool


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
    """

    on_run: Callable[[RunRecord], None] = lambda record: None
    on_order: Callable[[OrderRecord], None] = lambda record: None
    on_loaded: Callable[[], None] = lambda: None
    make_event: Callable[[str, int], bytes] = lambda request, number: b""
    make_body: Callable[[str, str], bytes] = lambda request, name: b""
    orders: int = 0
    loading: bool = False
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
        elif self.loading:
            self.reply(message, caller, 503, not_run)
        elif not self.has_weights(message):
            self.reply(message, caller, 421, not_run)
        elif self.script:
            self.script.pop(0)(self, message, caller)
        else:
            self.run_request(message, caller)

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
                request, name, account.decode(), has_authorization, after + 1, streams
            )
        )
        sealed = [
            (names.REQUEST_ID, request.encode()),
            (names.RESPONSE_SEAL, name.encode()),
            *self.notice_headers(),
        ]
        if not streams:
            time.sleep(EVENT_INTERVAL_S)
            caller.send_response(200, b"", sealed, self.make_body(request, name))
            return
        sealed.append((names.SERVED_WEIGHTS, b"%d" % self.version))
        head = caller.begin_stream(200, b"OK", sealed)
        for number in range(after + 1, self.events + 1):
            time.sleep(EVENT_INTERVAL_S)
            caller.write_events(head, self.make_event(request, number))
            head = b""
        caller.end_stream(head)


def encode_request(
    request: str, path: str, method: str, key: str, deadline_s: float, streams: bool
) -> bytes:
    """Encode a caller's request."""
    headers = [
        (b"Host", b"a.example"),
        (names.REQUEST_ID, request.encode()),
        (names.DEADLINE, b"%d" % (deadline_s * 1_000)),
        (names.AUTHORIZATION, b"Bearer " + key.encode()),
        (b"Content-Length", b"0"),
    ]
    if streams:
        headers += [(k.encode(), v.encode()) for k, v in stream_headers()]
    return encode_head(f"{method} {path} HTTP/1.1".encode(), headers)


def exchange_request(
    address: Address, data: bytes, timeout_s: float
) -> Result[ResponseMessage, str]:
    """Send a request on a new connection and return the response, even if partial."""
    try:
        connection = connect(address, CONNECT_TIMEOUT_S, UNACKNOWLEDGED_TIMEOUT_S)
    except OSError as error:
        return Err(str(error))
    reader = ResponseParser()
    deadline_s = time.monotonic() + timeout_s
    try:
        connection.sendall(data)
        while not (reader.responses and reader.responses[0].complete):
            if not wait_readable(connection, deadline_s - time.monotonic()):
                break
            piece = connection.recv(READ_BYTES)
            if not piece:
                reader.feed_eof()
                break
            reader.feed(piece)
    except OSError:
        pass
    finally:
        close(connection)
    return Ok(reader.responses[0]) if reader.responses else Err("no response")


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
