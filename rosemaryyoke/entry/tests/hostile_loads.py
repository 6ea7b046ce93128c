"""Hostile loads against ``rosemaryyoke serve``, and what its process then holds."""

import os
import socket
import threading
import time
from contextlib import ExitStack, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Callable

from attrs import define, field

from rosemaryyoke.testing.builders import Process, System, api_key, long_prompt
from rosemaryyoke.wire import json_request, send

KIB = 1024
MB = 1_000_000
BODY_BYTES = 4 * 1024 * 1024
LOAD_REPORT = b"{}"
OVERSIZED_BYTES = 39 * 1024 * 1024
MISSING_BYTES = 7
PIECE_BYTES = 65_536
SMALL_PIECE_BYTES = 4_096
SLOW_PIECE_BYTES = 8_192
SLOW_READ_BYTES = 512
SMALL_CHUNKS = b"2\r\nab\r\n" * 50_000
LARGE_CHUNK = b"10000\r\n" + b"c" * PIECE_BYTES + b"\r\n"
SHORT_FIELDS = 1_900
LONG_FIELDS = 99
LONG_FIELD_BYTES = 60_000
PIPELINED = 4_000
SEND_TIMEOUT_S = 0.3
SLOW_ROUNDS = 20
SLOW_PAUSE_S = 0.05
KEY = f"Authorization: Bearer {api_key('tonos')}\r\n".encode()

Load = Callable[[socket.socket, bytes], None]


@define
class Target:
    """A path and whether its requests carry a known API key."""

    method: str
    path: str
    known_key: bool = False

    def head(self, *fields: bytes) -> bytes:
        """Return the start of a request's head, without the empty line."""
        line = f"{self.method} {self.path} HTTP/1.1\r\nHost: host\r\n".encode()
        key = KEY if self.known_key else b"Authorization: Bearer stranger\r\n"
        return line + key + b"".join(item + b"\r\n" for item in fields)


TARGETS = {
    "chat": Target("POST", "/v1/chat/completions", True),
    "chat-unknown-key": Target("POST", "/v1/chat/completions"),
    "service": Target("POST", "/services/records/x", True),
    "unknown-service": Target("POST", "/services/nothing/x", True),
    "unknown-path": Target("POST", "/nothing"),
    "healthz": Target("GET", "/healthz"),
    "readyz": Target("GET", "/readyz"),
    "metrics": Target("GET", "/metrics"),
    "offer": Target("POST", "/rules/offer"),
}


def send_some(connection: socket.socket, data: bytes) -> None:
    """Send what the server accepts within ``SEND_TIMEOUT_S``, also if it closes."""
    connection.settimeout(SEND_TIMEOUT_S)
    with suppress(OSError):
        connection.sendall(data)


def with_length(target: Target, length: int) -> bytes:
    """Return a complete head that announces a body."""
    return target.head(b"Content-Length: %d" % length) + b"\r\n"


def short_body(connection: socket.socket, target: Target) -> None:
    """Send a body but for its last bytes."""
    body = b"x" * (BODY_BYTES - MISSING_BYTES)
    send_some(connection, with_length(target, BODY_BYTES) + body)


def whole_body(connection: socket.socket, target: Target) -> None:
    """Send a whole body of legal size."""
    send_some(connection, with_length(target, BODY_BYTES) + b"x" * BODY_BYTES)


def short_body_in_pieces(connection: socket.socket, target: Target) -> None:
    """Send a body in small pieces, but for its last bytes."""
    send_some(connection, with_length(target, BODY_BYTES))
    with suppress(OSError):
        for _ in range(BODY_BYTES // SMALL_PIECE_BYTES - 1):
            connection.sendall(b"x" * SMALL_PIECE_BYTES)


def oversized_body(connection: socket.socket, target: Target) -> None:
    """Send much of a body over the limit."""
    body = b"x" * (BODY_BYTES * 2)
    send_some(connection, with_length(target, OVERSIZED_BYTES) + body)


def begin_chunked(connection: socket.socket, target: Target) -> None:
    """Send the head of a chunked request."""
    send_some(connection, target.head(b"Transfer-Encoding: chunked") + b"\r\n")


def small_chunks(connection: socket.socket, target: Target) -> None:
    """Send a body in chunks of 2 bytes, without its end."""
    begin_chunked(connection, target)
    send_some(connection, SMALL_CHUNKS)


def large_chunks(connection: socket.socket, target: Target) -> None:
    """Send a body over the limit in chunks of 64 KiB."""
    begin_chunked(connection, target)
    send_some(connection, LARGE_CHUNK * (BODY_BYTES * 2 // PIECE_BYTES))


def trailers(connection: socket.socket, target: Target) -> None:
    """Send many trailer fields after a chunked body."""
    begin_chunked(connection, target)
    send_some(connection, b"0\r\n" + b"A: b\r\n" * 100_000)


def short_fields(connection: socket.socket, target: Target) -> None:
    """Send a request of very many short header fields."""
    fields = [b"A%d: b" % number for number in range(SHORT_FIELDS)]
    send_some(connection, target.head(*fields) + b"\r\n")


def long_fields(connection: socket.socket, target: Target) -> None:
    """Send a head of few, long fields, without its end."""
    value = b"v" * LONG_FIELD_BYTES
    fields = [b"A%d: %b" % (number, value) for number in range(LONG_FIELDS - 3)]
    send_some(connection, target.head(*fields))


def half_head(connection: socket.socket, target: Target) -> None:
    """Stop halfway through a head."""
    send_some(connection, target.head()[:-5])


def pipelined(connection: socket.socket, target: Target) -> None:
    """Send many complete requests and read no response."""
    request = target.head(b"Content-Length: 2") + b"\r\n{}"
    send_some(connection, request * PIPELINED)


LOADS = {
    load.__name__: load
    for load in (
        short_body,
        short_body_in_pieces,
        whole_body,
        oversized_body,
        small_chunks,
        large_chunks,
        trailers,
        short_fields,
        long_fields,
        half_head,
        pipelined,
    )
}


def send_slowly(connections: list[socket.socket], target: Target) -> None:
    """Send bodies in many small pieces with pauses, on all connections in turn."""
    for connection in connections:
        send_some(connection, with_length(target, BODY_BYTES))
    for _ in range(SLOW_ROUNDS):
        for connection in connections:
            send_some(connection, b"x" * SLOW_PIECE_BYTES)
        time.sleep(SLOW_PAUSE_S)


def read_slowly(connections: list[socket.socket], duration_s: float) -> None:
    """Read a little from all connections in turn, with pauses, for a while."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for connection in connections:
            with suppress(OSError):
                connection.recv(SLOW_READ_BYTES, socket.MSG_DONTWAIT)
        time.sleep(SLOW_PAUSE_S)


def ask_for_stream(connection: socket.socket) -> None:
    """Ask for a long stream."""
    body = (
        b'{"model":"m","stream":true,"max_tokens":8192,"messages":'
        b'[{"role":"user","content":"%b"}]}' % os.urandom(8).hex().encode()
    )
    head = TARGETS["chat"].head(b"Content-Length: %d" % len(body))
    send_some(connection, head + b"\r\n" + body)


class LargeResponses(BaseHTTPRequestHandler):
    """A service whose responses are as large as a body may be."""

    def do_GET(self) -> None:
        """Answer with a large body, or a report of load."""
        body = LOAD_REPORT if self.path == "/load" else b"r" * BODY_BYTES
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        with suppress(OSError):
            self.wfile.write(body)

    def log_message(self, format: str, *args) -> None:
        """Log nothing."""


def serve_large_responses() -> ThreadingHTTPServer:
    """Start a service with large responses."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), LargeResponses)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@define(eq=False)
class Clients:
    """Hostile connections that stay open, whatever the server does with them."""

    port: int
    count: int
    receive_buffer_bytes: int = 0
    connections: list[socket.socket] = field(factory=list)
    stack: ExitStack = field(factory=ExitStack)

    def __enter__(self) -> "Clients":
        for _ in range(self.count):
            connection = socket.socket()
            if self.receive_buffer_bytes:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes
                )
            connection.settimeout(SEND_TIMEOUT_S)
            with suppress(OSError):
                connection.connect(("127.0.0.1", self.port))
            self.connections.append(self.stack.enter_context(connection))
        return self

    def __exit__(self, *_) -> None:
        self.stack.close()


def reset_peak(process: Process) -> None:
    """Let the peak of resident memory start at the present use."""
    Path(f"/proc/{process.popen.pid}/clear_refs").write_text("5")


def peak_mb(process: Process) -> float:
    """Return the peak of resident memory since the reset."""
    for line in Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB / MB
    raise AssertionError("the process has ended")


def unread_mb(*ports: int) -> float:
    """Return what the system holds for the ports and the process has not read."""
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state, queues, *_ = line.split()
        if state != "0A" and int(local.split(":")[1], 16) in ports:
            unread += int(queues.split(":")[1], 16)
    return unread / MB


def descriptors(process: Process) -> int:
    """Return how many descriptors the process has open."""
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))


def ask_ordinary(system: System, tries: int = 20, pause_s: float = 0.25) -> str:
    """Send an ordinary request as callers do; return "ok" or the last refusal.

    Refusals with 503 are tried again, as they say that the request has not run.
    """
    url = f"http://{system.address('host0')}/v1/chat/completions"
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": long_prompt("a")}],
        "max_tokens": 2,
    }
    headers = {"Authorization": f"Bearer {api_key('cedar')}"}
    last = ""
    for _ in range(tries):
        request = json_request(
            "POST", url, body, headers=headers, timeout_s=5.0, fresh_connection=True
        )
        answer = send(request)
        if answer.is_ok() and answer.ok_value.ok:
            return "ok"
        if answer.is_err():
            return f"no answer: {answer.err_value}"
        last = f"{answer.ok_value.status} {answer.ok_value.body[:200]!r}"
        if answer.ok_value.status != 503:
            return last
        time.sleep(pause_s)
    return last
