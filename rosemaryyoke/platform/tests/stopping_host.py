"""A host process that is stopped, and callers that record what they got from it."""

import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import suppress

import orjson
from attrs import define, field

from rosemaryyoke.http1 import Address, ResponseMessage, ResponseParser, send_request
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
    make_route,
    make_settings,
)
from rosemaryyoke.platform.standins.servers import EngineStandin, StoreStandin
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.testing.builders import free_port

PORTS = 6
ROUTE_TIMEOUT_MS = 20_000  # longer than any grace period of these tests
CALL_TIMEOUT_S = 15.0
RUN_HEADER, FAIL_HEADER, PAUSE_HEADER = b"run-s", b"fail-s", b"pause-s"
EVENT_PAUSE_S = 0.25
STREAM_HEADERS = {
    "Model": "m1",
    "Token-Count": "1600,20",
    "Prompt-Prefix": "aa:600,bb:900,cc:100",
}
STREAM, SAFE, UNSAFE = "stream", "safe", "unsafe"
UPSTREAMS = (("e1", "llm"), ("e2", "llm"), ("p1", "records"), ("p2", "records"))
TARGETS = {STREAM: "POST /chat/1", SAFE: "GET /read/1", UNSAFE: "POST /issue/1"}


class SlowUpstream(EngineStandin):
    """Upstream that works on a request for as long as the header ``Run-S`` says.

    Streams send an event at once and others at intervals, of ``Pause-S`` if that is
    there, unless the request has a header ``Quiet``. The first of the upstreams that
    gets a request with a header ``Fail-S`` drops it after that time.
    """

    ended: threading.Event
    failed: set[bytes] = set()  # the requests that one of all upstreams has dropped

    def __attrs_post_init__(self):
        self.ended = threading.Event()
        super().__attrs_post_init__()

    def stop(self):
        """Stop listening, and end the work on all requests."""
        self.ended.set()
        super().stop()

    def run(self, message, caller, status=200, events=None, finish=True):
        """Execute a request, and answer at the end of its time."""
        run_s = float(find_header(message.headers, RUN_HEADER) or 0)
        request = find_header(message.headers, b"request-id")
        self.executed.append(request)
        fail_s = find_header(message.headers, FAIL_HEADER)
        if fail_s is not None and request not in self.failed:
            self.failed.add(request)
            self.ended.wait(float(fail_s))
            raise OSError("connection closed without an answer")
        end_s = time.monotonic() + run_s
        if find_header(message.headers, b"model") is None:
            self.ended.wait(run_s)
            self.reply(message, caller, status)
            return
        if find_header(message.headers, b"quiet") is not None:
            self.ended.wait(run_s)
        pause_s = float(find_header(message.headers, PAUSE_HEADER) or EVENT_PAUSE_S)
        head = caller.begin_stream(200, b"OK", self.headers(message))
        number = int(find_header(message.headers, b"last-event-id") or 0)
        while True:
            number += 1
            caller.write_events(head, b"id: %d\ndata: x\n\n" % number)
            head, left_s = b"", end_s - time.monotonic()
            if left_s <= 0 or self.ended.is_set():
                break
            self.ended.wait(min(pause_s, left_s))
        caller.end_stream(b"")


@define(eq=False)
class Caller:
    """A caller's connection, and the answers that it got until the host closed it."""

    address: Address
    reader: ResponseParser = field(factory=ResponseParser)
    sent_s: float = 0.0
    ended_s: float | None = None
    ending: str = "open"
    connection: socket.socket = field(init=False)

    def __attrs_post_init__(self):
        address = (self.address.ip, self.address.port)
        self.connection = socket.create_connection(address, 2)
        self.connection.settimeout(CALL_TIMEOUT_S)

    def send(self, data: bytes) -> "Caller":
        """Send bytes."""
        self.sent_s = time.monotonic()
        self.connection.sendall(data)
        return self

    def read(self, count: int = 1) -> list[ResponseMessage]:
        """Read until there are some complete answers, or the connection has ended."""
        while sum(answer.complete for answer in self.answers) < count:
            try:
                data = self.connection.recv(65_536)
            except TimeoutError:
                self.ending = "timeout"
                break
            except OSError:
                self.ending = "reset"
                break
            if not data:
                self.ending = "closed"
                break
            self.reader.feed(data)
        self.ended_s = time.monotonic()
        return self.answers

    @property
    def answers(self) -> list[ResponseMessage]:
        """Return the answers, of which the last may be incomplete."""
        return self.reader.responses

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


def encode(kind, request, run_s, body=b"", deadline_s=None, **changes):
    """Encode a caller's request that its upstream works on for ``run_s``."""
    headers = {
        "Host": "a.example",
        "Request-Id": request,
        "Authorization": "Bearer k1",
        "Run-S": run_s,
        "Content-Length": len(body),
        **(STREAM_HEADERS if kind == STREAM else {}),
        **({} if deadline_s is None else {"Deadline-Ms": round(deadline_s * 1000)}),
        **changes,
    }
    lines = [f"{TARGETS[kind]} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_long_configuration():
    """Return a configuration whose routes outlast a stop."""
    long = {"timeoutMs": ROUTE_TIMEOUT_MS}
    plain = {"service": "records", "resumable": False, **long}
    routes = [
        make_route(**long),
        make_route("issue", kind="unsafe", maxAttempts=1, **plain),
        make_route("read", kind="safe", maxAttempts=2, **plain),
    ]
    return make_configuration(routes=routes)


@define(eq=False)
class StoppingHost:
    """A store, upstreams, and the process of a host."""

    folder: object
    grace_s: float
    store: StoreStandin = field(factory=StoreStandin)
    upstreams: list[SlowUpstream] = field(factory=list)
    popen: subprocess.Popen | None = None
    stop_s: float = 0.0
    address: Address = Address("127.0.0.1", 0)

    def __enter__(self) -> "StoppingHost":
        self.store.set("config", "main", make_long_configuration())
        for name, service in UPSTREAMS:
            upstream = SlowUpstream(name)
            self.upstreams.append(upstream)
            entry = make_registration(str(upstream.address), service, slots=64)
            self.store.set("servers", name, entry)
        port = free_port(PORTS)
        document = make_settings(port=port, store=str(self.store.address))
        document["bounds"]["graceS"] = self.grace_s
        path = self.folder / "settings.json"
        path.write_bytes(orjson.dumps(document))
        self.address = Address("127.0.0.1", port)
        command = [sys.executable, "-m", "rosemaryyoke", "route"]
        log = open(self.folder / "host.log", "wb")
        with log:
            self.popen = subprocess.Popen(
                [*command, "--settings", str(path)], stdout=log, stderr=log
            )
        wait_for(self.is_ready, 20.0)
        return self

    def __exit__(self, *_) -> None:
        if self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()
        for part in (self.store, *self.upstreams):
            part.stop()

    def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        readiness = Address(self.address.ip, self.address.port + 1)
        reply = send_request(readiness, "GET", "/readiness")
        return reply.is_ok() and reply.ok_value.ok

    def signal(self, number) -> None:
        """Send a signal to the process."""
        with suppress(ProcessLookupError):
            self.popen.send_signal(number)

    def begin_stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        self.stop_s = time.monotonic()
        self.signal(signal.SIGTERM)
        threading.Thread(target=self._kill_late, daemon=True).start()

    def _kill_late(self) -> None:
        with suppress(subprocess.TimeoutExpired):
            self.popen.wait(max(0, self.stop_s + self.grace_s - time.monotonic()))
        if self.popen.poll() is None:
            self.popen.kill()

    def wait_until(self, after_s) -> None:
        """Wait until some time after the stop began."""
        time.sleep(max(0.0, self.stop_s + after_s - time.monotonic()))

    def ran(self) -> set[str]:
        """Return the identifiers of the requests that upstreams executed."""
        return {
            request.decode()
            for upstream in self.upstreams
            for request in upstream.executed
        }
