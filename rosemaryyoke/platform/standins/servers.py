"""Stand-ins for the platform's store and an engine, and a simple client."""

import socket
import threading
import time
from urllib.parse import parse_qs, urlsplit

import orjson
from attrs import define, field

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.exchanges.server import ConnectionServer
from rosemaryyoke.http1 import Address, RequestMessage, ResponseParser
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.testing.builders import free_port

WATCH_POLL_S = 0.01


def stop_server(server: ConnectionServer) -> None:
    """Stop a server and all its tasks, which would otherwise block process exit."""
    server.disable_keep_alive()
    server.stop()
    server.close_idle()


@define(eq=False)
class StoreStandin:
    """Store of objects by kind and name, with a global revision and a history.

    If ``down`` is set, every connection is closed without a response. The next
    ``writes_to_lose`` writes get no response and are applied after
    ``lost_write_delay_s``. Every call is delayed by ``call_delay_s``.
    """

    objects: dict[str, dict[str, dict]] = field(factory=dict)
    history: list[tuple[int, str, dict, bool]] = field(factory=list)
    revision: int = 1
    oldest_revision: int = 0
    down: bool = False
    writes_to_lose: int = 0
    lost_write_delay_s: float = 0.0
    call_delay_s: float = 0.0
    calls: int = 0
    lock: threading.RLock = field(factory=threading.RLock)
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

    def set(self, kind, name, spec):
        """Write an object unconditionally; an unchanged one keeps its revision."""
        with self.lock:
            existing = self.objects.setdefault(kind, {}).get(name)
            if existing is not None and existing["spec"] == spec:
                return existing
            self.revision += 1
            metadata = {"name": name, "revision": self.revision}
            stored = {"metadata": metadata, "spec": spec, "status": None}
            self.objects[kind][name] = stored
            self.history.append((self.revision, kind, stored, False))
            return stored

    def remove(self, kind, name):
        """Remove an object."""
        with self.lock:
            stored = self.objects[kind].pop(name)
            self.revision += 1
            self.history.append((self.revision, kind, stored, True))

    def forget_history(self):
        """Discard the history, so that watches from earlier positions get 410."""
        with self.lock:
            self.oldest_revision = self.revision

    def answer(self, message: RequestMessage, caller: CallerConnection):
        """Handle a call."""
        self.calls += 1
        time.sleep(self.call_delay_s)
        if self.down:
            raise OSError("store is down")
        parts = urlsplit(message.target.decode())
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        names = parts.path.split("/")[2:]
        if message.method != b"GET" and self.writes_to_lose:
            self.writes_to_lose -= 1
            threading.Timer(
                self.lost_write_delay_s, self.call, (message, names, query)
            ).start()
            raise OSError("response lost")
        status, value = self.call(message, names, query)
        caller.send_response(status, b"", [], orjson.dumps(value))

    def call(self, message, names, query):
        """Return the status and body of a call."""
        if message.method == b"GET" and len(names) == 2:
            stored = self.objects.get(names[0], {}).get(names[1])
            return (404, {}) if stored is None else (200, stored)
        if message.method == b"GET" and "watch" in query:
            return self.watch(names[0], int(query["watch"]), int(query["waitMs"]))
        if message.method == b"GET":
            with self.lock:
                items = list(self.objects.get(names[0], {}).values())
                revision = self.revision
            return 200, {"items": items, "hasMore": False, "storeRevision": revision}
        return self.write(message, names)

    def write(self, message, names):
        """Create an object, or replace it if its revision matches."""
        body = orjson.loads(message.body)
        kind, name = names[0], body["metadata"]["name"]
        with self.lock:
            existing = self.objects.get(kind, {}).get(name)
            if message.method == b"POST" and existing is not None:
                return 409, existing
            wanted = body["metadata"].get("revision")
            if message.method == b"PUT" and existing["metadata"]["revision"] != wanted:
                return 409, existing
            return 200, self.set(kind, name, body["spec"])

    def watch(self, kind, position, wait_ms):
        """Return the changes after a position, waiting until there are any."""
        deadline_s = time.monotonic() + wait_ms / 1000
        while True:
            if self.down:
                raise OSError("store is down")
            with self.lock:
                if position < self.oldest_revision:
                    return 410, {}
                events = [
                    {"object": stored, "deleted": removed}
                    for revision, kind_of, stored, removed in self.history
                    if kind_of == kind and revision > position
                ]
                revision = self.revision
            if events or time.monotonic() >= deadline_s:
                return 200, {"events": events, "storeRevision": revision}
            time.sleep(WATCH_POLL_S)


@define(eq=False)
class EngineStandin:
    """Upstream that responds as its script says, or else with a complete response.

    A script entry is a status, or a function of the engine, the message and the
    connection. Responses with 421 and 503 carry the header for requests that were not
    executed. If ``leaving`` is set, all responses announce that the engine leaves.
    """

    name: str
    script: list = field(factory=list)
    received: list[RequestMessage] = field(factory=list)
    executed: list[bytes] = field(factory=list)
    events: int = 5
    version: int = 1
    leaving: bool = False
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
        """Return the header that announces the engine's leaving, if it leaves."""
        return [(b"Server-Leaving", b"1")] if self.leaving else []


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
    reader = ResponseParser()
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
