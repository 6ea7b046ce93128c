"""Upstreams that work as the platform's do, and callers that ask as its callers do."""

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

EVENT_S = 0.02
LOAD_S = 0.4
CONNECT_TIMEOUT_S = 0.5
UNACKNOWLEDGED_S = 5.0


@define
class RunFacts:
    """What an upstream sees of a request that it runs."""

    request: str
    upstream: str
    account: str
    key_shown: bool
    first_event: int
    streams: bool


@define
class OrderFacts:
    """What an engine sees of an order that it carries out."""

    upstream: str
    holder: str
    fencing: int
    version: int


@define(eq=False)
class WorkingUpstream(EngineStandin):
    """Runs what is meant for it, takes orders, and tells its owner of both."""

    on_run: Callable[[RunFacts], None] = lambda facts: None
    on_order: Callable[[OrderFacts], None] = lambda facts: None
    on_loaded: Callable[[], None] = lambda: None
    make_event: Callable[[str, int], bytes] = lambda request, number: b""
    make_body: Callable[[str, str], bytes] = lambda request, name: b""
    orders: int = 0
    loading: bool = False
    order_lock: threading.Lock = field(factory=threading.Lock)

    def answer(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Answer a check, a question, an order or a request."""
        name = find_header(message.headers, names.INSTANCE.lower())
        not_run = [(names.NOT_RUN, b"1")]
        if message.target == b"/health":
            caller.send_response(200, b"", [], b"")
        elif message.target == b"/report":
            self.report(caller)
        elif name is not None and name.decode() != self.name:
            self.reply(message, caller, 421, not_run)
        elif message.target == b"/order":
            status = self.take_order(orjson.loads(message.body))
            caller.send_response(status, b"", [], b"{}")
        elif self.loading:
            self.reply(message, caller, 503, not_run)
        elif not self.has_weights(message):
            self.reply(message, caller, 421, not_run)
        else:
            self.work(message, caller)

    def has_weights(self, message: RequestMessage) -> bool:
        """Tell whether the weights that a request expects are loaded."""
        expected = find_header(message.headers, names.WEIGHTS.lower())
        return expected is None or int(expected) == self.version

    def report(self, caller: CallerConnection) -> None:
        """Answer with the state."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        value = {"models": models, "busy": self.loading, "seq": self.orders}
        caller.send_response(200, b"", [], orjson.dumps(value))

    def take_order(self, order: dict) -> int:
        """Begin to load weights, unless others load or other orders came before."""
        with self.order_lock:
            if self.loading or order.get("expect", self.orders) != self.orders:
                return 409
            if order["version"] == self.version:
                return 200
            self.orders += 1
            self.loading = True
        facts = OrderFacts(
            self.name, order["holder"], order["fencingToken"], order["version"]
        )
        self.on_order(facts)
        threading.Thread(target=self.load, args=(facts.version,), daemon=True).start()
        return 202

    def load(self, version: int) -> None:
        """Load weights."""
        time.sleep(LOAD_S)
        self.version = version
        self.loading = False
        self.on_loaded()

    def work(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Run a request to its end, under the name that it began with."""
        name, headers = self.name, message.headers
        request = find_header(headers, names.REQUEST_ID.lower()).decode()
        streams = find_header(headers, names.MODEL.lower()) is not None
        after = int(find_header(headers, names.LAST_EVENT.lower()) or 0)
        account = find_header(headers, names.ACCOUNT.lower()) or b""
        shown = find_header(headers, names.KEY.lower()) is not None
        self.on_run(
            RunFacts(request, name, account.decode(), shown, after + 1, streams)
        )
        sealed = [(names.REQUEST_ID, request.encode()), (names.SEAL, name.encode())]
        if not streams:
            time.sleep(EVENT_S)
            caller.send_response(200, b"", sealed, self.make_body(request, name))
            return
        sealed.append((names.WEIGHTS_SERVED, b"%d" % self.version))
        head = caller.begin_stream(200, b"OK", sealed)
        for number in range(after + 1, self.events + 1):
            time.sleep(EVENT_S)
            caller.write_events(head, self.make_event(request, number))
            head = b""
        caller.end_stream(head)


def request_bytes(
    request: str, path: str, method: str, key: str, deadline_s: float, streams: bool
) -> bytes:
    """Return a caller's request."""
    headers = [
        (b"Host", b"a.example"),
        (names.REQUEST_ID, request.encode()),
        (names.DEADLINE, b"%d" % (deadline_s * 1_000)),
        (names.KEY, b"Bearer " + key.encode()),
        (b"Content-Length", b"0"),
    ]
    if streams:
        headers += [(k.encode(), v.encode()) for k, v in stream_headers()]
    return encode_head(f"{method} {path} HTTP/1.1".encode(), headers)


def exchange_bytes(
    address: Address, data: bytes, timeout_s: float
) -> Result[ResponseMessage, str]:
    """Send a request on a connection of its own; return what came of the answer."""
    try:
        connection = connect(address, CONNECT_TIMEOUT_S, UNACKNOWLEDGED_S)
    except OSError as error:
        return Err(str(error))
    reader = ResponseParser()
    until_s = time.monotonic() + timeout_s
    try:
        connection.sendall(data)
        while not (reader.responses and reader.responses[0].complete):
            if not wait_readable(connection, until_s - time.monotonic()):
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
    return Ok(reader.responses[0]) if reader.responses else Err("no answer")


def answer_names(message: ResponseMessage) -> tuple[str, str]:
    """Return the request and the upstream that an answer names, or empty texts."""
    values = (
        find_header(message.headers, name.lower())
        for name in (names.REQUEST_ID, names.SEAL)
    )
    request, seal = ((value or b"").decode("latin-1") for value in values)
    return request, seal


def wanted_weights(version: int) -> tuple[str, str, dict]:
    """Return the kind, name and document that name a model's weights."""
    return names.WEIGHTS_KIND, MODEL, {"model": MODEL, "version": version}
