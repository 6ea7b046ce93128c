"""The caller's side of an exchange: its connection and the answers written to it."""

import select
import socket
import time

import orjson
from attrs import define, field

from rosemaryyoke.http1 import Headers
from rosemaryyoke.http1.messages import LAST_CHUNK, encode_chunk, encode_head
from rosemaryyoke.http1.sockets import HANGUP_EVENTS, MS_PER_S

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
WRITE_TIMEOUT_S = 20.0


class CallerDisconnected(Exception):
    """The caller closed its connection or takes no more of its answer."""


@define(eq=False)
class CallerConnection:
    """A caller's connection; one answer is written at a time."""

    socket: socket.socket
    peer: str = ""
    keep_alive: bool = True
    streaming: bool = False
    response_sent: bool = False
    request_id: bytes = b""
    write_deadline_s: float = field(default=0.0)

    def begin_request(self, keep_alive: bool) -> None:
        """Forget the answer before."""
        self.keep_alive = keep_alive
        self.streaming = False
        self.response_sent = False

    def send_response(
        self, status: int, reason: bytes, headers: Headers, body: bytes
    ) -> None:
        """Write a whole answer."""
        first_line = b"HTTP/1.1 %d %s" % (
            status,
            reason or REASON_PHRASES.get(status, b"-"),
        )
        framing = [(b"Content-Length", b"%d" % len(body)), self._connection_header()]
        self.response_sent = True
        self.write(encode_head(first_line, [*headers, *framing]) + body)

    def send_error(
        self, status: int, code: str, message: str, retry_after_s: float | None = None
    ) -> None:
        """Write an error of this host's own."""
        error = {"code": code, "message": message}
        headers = [(b"Content-Type", b"application/json")]
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % retry_after_s))
        if self.request_id:
            headers.append((b"Request-Id", self.request_id))
        self.send_response(status, b"", headers, orjson.dumps({"error": error}))

    def begin_stream(self, status: int, reason: bytes, headers: Headers) -> bytes:
        """Return the head of a streamed answer; what is written next begins with it."""
        first_line = b"HTTP/1.1 %d %s" % (status, reason)
        framing = [(b"Transfer-Encoding", b"chunked"), self._connection_header()]
        return encode_head(first_line, [*headers, *framing])

    def write_events(self, head: bytes, events: bytes) -> None:
        """Write a streamed answer's head, if any, and a part of its body."""
        self.streaming = True
        self.write(head + encode_chunk(events))

    def end_stream(self, head: bytes) -> None:
        """Write the end of a streamed answer."""
        self.response_sent = True
        self.write(head + LAST_CHUNK)

    def write(self, data: bytes) -> None:
        """Write bytes, waiting for a slow caller; raise ``CallerGone``."""
        deadline_s = self.write_deadline_s or time.monotonic() + WRITE_TIMEOUT_S
        remaining = memoryview(data)
        while remaining:
            try:
                remaining = remaining[
                    self.socket.send(remaining, socket.MSG_DONTWAIT) :
                ]
            except BlockingIOError:
                self._wait_writable(deadline_s)
            except OSError as error:
                raise CallerDisconnected(str(error)) from error

    def _wait_writable(self, deadline_s: float) -> None:
        poller = select.poll()
        poller.register(self.socket, select.POLLOUT | select.POLLRDHUP)
        wait_s = max(0.0, deadline_s - time.monotonic())
        events = poller.poll(wait_s * MS_PER_S)
        if not events or events[0][1] & HANGUP_EVENTS:
            raise CallerDisconnected("the caller takes no more")

    def _connection_header(self) -> tuple[bytes, bytes]:
        return (b"Connection", b"keep-alive" if self.keep_alive else b"close")
