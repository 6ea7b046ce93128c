"""Stand-ins for the platform's store and an engine, and a simple client."""

import socket
import threading
import time

import orjson
from attrs import define, field

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.exchanges.server import ConnectionServer
from rosemaryyoke.http1 import (
    Address,
    RequestMessage,
    ResponseLimits,
    ResponseParser,
)
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.names import STORE_ERA
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.platform.standins.store_model import StoreModel
from rosemaryyoke.testing.builders import free_port

# Callers keep whole streams, which a host only passes on.
CALLER_LIMITS = ResponseLimits(body_bytes=256 * 1024 * 1024)


def stop_server(server: ConnectionServer) -> None:
    """Stop a server and all its tasks, which would otherwise block process exit."""
    server.disable_keep_alive()
    server.stop()
    server.close_idle()


@define(eq=False)
class StoreStandin(StoreModel):
    """Server of a store of objects, whose responses state its era.

    If ``down`` is set, every connection is closed without a response. The next
    ``writes_to_lose`` writes get no response and are applied after
    ``lost_write_delay_s``. Every call is delayed by ``call_delay_s``.
    """

    writes_to_lose: int = 0
    lost_write_delay_s: float = 0.0
    call_delay_s: float = 0.0
    calls: int = 0
    address: Address = field(init=False)
    server: ConnectionServer = field(init=False)

    def __attrs_post_init__(self):
        self.address = Address("127.0.0.1", free_port())
        self.server = ConnectionServer(self.address, self.answer, 64, "store")
        self.server.start()

    def stop(self):
        """Stop listening and close the connections."""
        self.down = True
        stop_server(self.server)

    def answer(self, message: RequestMessage, caller: CallerConnection):
        """Handle a call."""
        self.calls += 1
        time.sleep(self.call_delay_s)
        if self.down:
            raise OSError("store is down")
        method, target = message.method.decode(), message.target.decode()
        if method != "GET" and self.writes_to_lose:
            self.writes_to_lose -= 1
            call = (method, target, message.body)
            threading.Timer(self.lost_write_delay_s, self.call, call).start()
            raise OSError("response lost")
        answer = self.call(method, target, message.body)
        headers = [(STORE_ERA, b"%d" % answer.era)]
        caller.send_response(answer.status, b"", headers, orjson.dumps(answer.value))


@define(eq=False)
class EngineStandin:
    """Upstream that responds as its script says, or else with a complete response.

    A script entry is a status, or a function of the engine, the message and the
    connection. Responses with 421 and 503 carry the header for requests that were not
    executed. If ``leaving`` is set, all responses announce that the engine leaves, and
    if ``limit`` is, the rate of requests that it takes. ``brittle`` is how many
    refusals a second it says that it bears.
    """

    name: str
    script: list = field(factory=list)
    received: list[RequestMessage] = field(factory=list)
    executed: list[bytes] = field(factory=list)
    events: int = 5
    version: int = 1
    leaving: bool = False
    limit: bytes | None = None
    brittle: bytes | None = None
    address: Address = field(init=False)
    server: ConnectionServer = field(init=False)

    def __attrs_post_init__(self):
        self.address = Address("127.0.0.1", free_port())
        self.server = ConnectionServer(self.address, self.answer, 64, self.name)
        self.server.start()

    def stop(self):
        """Stop listening and close the connections."""
        stop_server(self.server)

    def answer(self, message: RequestMessage, caller: CallerConnection):
        """Handle a request according to the script; reports need no step of it."""
        if message.target == b"/report":
            models = [{"name": MODEL, "version": self.version, "adapters": []}]
            value = {"models": models, "busy": False, "seq": 0}
            caller.send_response(200, b"", [], orjson.dumps(value))
            return
        self.received.append(message)
        step = self.script.pop(0) if self.script else 200
        if callable(step):
            step(self, message, caller)
        elif step in (421, 503):
            self.reply(message, caller, step, [(b"Not-Executed", b"1")])
        else:
            self.run(message, caller, step)

    def run(self, message, caller, status=200, events=None, finish=True):
        """Execute a request, streaming the response if the request names a model."""
        self.executed.append(find_header(message.headers, b"request-id"))
        if find_header(message.headers, b"model") is None:
            self.reply(message, caller, status)
            return
        head = caller.begin_stream(200, b"OK", self.headers(message))
        after = int(find_header(message.headers, b"last-event-id") or 0)
        last = self.events if events is None else events
        for number in range(after + 1, last + 1):
            caller.write_events(head, b"id: %d\ndata: x\n\n" % number)
            head = b""
        if not finish:
            raise OSError("engine aborted the stream")
        caller.end_stream(head)

    def reply(self, message, caller, status, headers=()):
        """Send a short, complete response."""
        body = b"body of " + self.name.encode()
        caller.send_response(status, b"", [*self.headers(message), *headers], body)

    def headers(self, message):
        """Return the headers common to all responses."""
        request_id = find_header(message.headers, b"request-id")
        return [
            (b"Request-Id", request_id),
            (b"Response-Seal", b"sealed"),
            (b"Weight-Versions", b"%d" % self.version),
            *self.notice_headers(),
        ]

    def notice_headers(self):
        """Return the headers of what the engine announces, if there are any."""
        headers = [(b"Server-Leaving", b"1")] if self.leaving else []
        if self.limit is not None:
            headers.append((b"Server-Limit", self.limit))
        if self.brittle is not None:
            headers.append((b"Server-Brittle", self.brittle))
        return headers


def refuse_and_pause(pause_s, headers=((b"Not-Executed", b"1"),)):
    """Return a step that refuses a request with 503 and asks for a pause.

    ``pause_s`` is a number of seconds, or the bytes to send instead.
    """
    value = pause_s if isinstance(pause_s, bytes) else b"%g" % pause_s

    def step(engine, message, caller):
        engine.reply(message, caller, 503, [*headers, (b"Retry-After", value)])

    return step


def send_client_request(
    address, path="/chat/1", method="POST", headers=(), body=b"", **changes
):
    """Send a caller's request and return the reader of its response."""
    values = {
        "Host": "a.example",
        "Request-Id": "r1",
        "Deadline-Ms": "2000",
        "Authorization": "Bearer k1",
        **changes,
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in values.items())]
    lines += [f"{key}: {value}" for key, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    with socket.create_connection((address.ip, address.port), 2) as connection:
        connection.settimeout(5)
        connection.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        return read_answer(connection)


def read_answer(connection):
    """Read a response until it is complete or cut off, and return the reader."""
    reader = ResponseParser(CALLER_LIMITS)
    while not (reader.responses and reader.responses[0].complete):
        try:
            data = connection.recv(65_536)
        except ConnectionError:
            break
        if not data:
            break
        reader.feed(data)
    return reader


def stream_headers(parts="aa:600,bb:900,cc:100"):
    """Return the headers of a streaming request to a model."""
    return [("Model", MODEL), ("Token-Count", "1600,20"), ("Prompt-Prefix", parts)]
