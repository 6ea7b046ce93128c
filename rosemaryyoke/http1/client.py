"""A blocking HTTP client that reuses one connection per address."""

import socket
import time

from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.http1.errors import RequestError
from rosemaryyoke.http1.lenient_json import decode_json
from rosemaryyoke.http1.messages import Headers, encode_head
from rosemaryyoke.http1.responses import (
    DEFAULT_RESPONSE_LIMITS,
    ResponseLimits,
    ResponseMessage,
    ResponseParser,
)
from rosemaryyoke.http1.sockets import (
    READ_BYTES,
    Address,
    close,
    connect,
    is_reusable,
    wait_readable,
)

CONNECT_TIMEOUT_S = 0.5
TCP_USER_TIMEOUT_S = 1.0
SUCCESS_STATUSES = range(200, 300)


@frozen
class Response:
    """A complete response."""

    status: int
    body: bytes
    headers: Headers = field(factory=list)

    @property
    def ok(self) -> bool:
        """Return whether the status is 2xx."""
        return self.status in SUCCESS_STATUSES

    def json(self) -> object:
        """Decode the body as JSON; raise ``ValueError`` if it is invalid.

        Members and elements that can't be decoded are left out.
        """
        return decode_json(self.body)


@define(eq=False)
class HttpClient:
    """Sends requests to one address, one at a time; not thread-safe.

    ``limits`` are the sizes beyond which a response counts as failed.
    """

    address: Address
    limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS
    connection: socket.socket | None = field(default=None)

    def request(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        timeout_s: float = 1.0,
        headers: Headers = (),
    ) -> Result[Response, RequestError]:
        """Send a request and return its response."""
        deadline_s = time.monotonic() + timeout_s
        try:
            self._ensure_connected(min(CONNECT_TIMEOUT_S, timeout_s))
        except OSError as error:
            return Err(RequestError(f"no connection: {error}", sent=False))
        try:
            self.connection.settimeout(timeout_s)
            self.connection.sendall(self._encode(method, target, body, headers))
            received = self._receive(deadline_s)
        except OSError as error:
            self.close()
            return Err(RequestError(str(error), sent=True))
        if isinstance(received, Err):
            self.close()
            return Err(RequestError(received.err_value, sent=True))
        message = received.ok_value
        if not message.keep_alive:
            self.close()
        return Ok(Response(message.status, bytes(message.body), message.headers))

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            close(self.connection)
            self.connection = None

    def _ensure_connected(self, timeout_s: float) -> None:
        if self.connection is not None and not is_reusable(self.connection):
            self.close()
        if self.connection is None:
            self.connection = connect(self.address, timeout_s, TCP_USER_TIMEOUT_S)

    def _encode(
        self, method: str, target: str, body: bytes | None, extra: Headers
    ) -> bytes:
        headers = [(b"Host", str(self.address).encode()), *extra]
        if body is not None:
            headers.append((b"Content-Type", b"application/json"))
            headers.append((b"Content-Length", b"%d" % len(body)))
        first_line = f"{method} {target} HTTP/1.1".encode()
        return encode_head(first_line, headers) + (body or b"")

    def _receive(self, deadline_s: float) -> Result[ResponseMessage, str]:
        reader = ResponseParser(self.limits)
        try:
            return self._read_response(reader, deadline_s)
        finally:
            reader.close()

    def _read_response(
        self, reader: ResponseParser, deadline_s: float
    ) -> Result[ResponseMessage, str]:
        while not (reader.responses and reader.responses[0].complete):
            if reader.error is not None:
                return Err(reader.error)
            if not wait_readable(self.connection, deadline_s - time.monotonic()):
                return Err("timed out")
            data = self.connection.recv(READ_BYTES)
            if data:
                reader.feed(data)
                continue
            reader.feed_eof()
            if not (reader.responses and reader.responses[0].complete):
                return Err("the connection was closed before the response was complete")
        if len(reader.responses) > 1 or reader.malformed:
            self.close()
        return Ok(reader.responses[0])


def send_request(
    address: Address,
    method: str,
    target: str,
    body: bytes | None = None,
    timeout_s: float = 1.0,
    headers: Headers = (),
    limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS,
) -> Result[Response, RequestError]:
    """Send a request on a new connection."""
    client = HttpClient(address, limits)
    try:
        return client.request(method, target, body, timeout_s, headers)
    finally:
        client.close()
