"""Strict parsing of HTTP/1.1 responses, based on llhttp.

Source: RFC 9112, "HTTP/1.1", sections 2 to 6.
"""

from enum import StrEnum

import httptools
from attrs import define, field, frozen

from rosemaryyoke.http1.errors import ResponseTooLarge
from rosemaryyoke.http1.messages import MAX_FRAMING_PER_BODY_BYTE, Headers

BODILESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200
MALFORMED = "the response is malformed"
CLOSED = "the parser is closed"
TOO_LARGE = "the response is too large"


@frozen
class ResponseLimits:
    """Maximum sizes of the responses on a connection, in bytes.

    ``framing_bytes`` limits what is no body: heads, interim responses, trailers and
    chunk extensions. ``body_bytes`` limits the bodies held in memory.
    """

    framing_bytes: int = 65_536
    body_bytes: int = 8 * 1024 * 1024


DEFAULT_RESPONSE_LIMITS = ResponseLimits()


class Framing(StrEnum):
    """What determines where the body of a response ends."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"  # the body ends with its connection


@define(eq=False)
class ResponseMessage:
    """A response, possibly still incomplete.

    ``body`` is one buffer with what was received so far and not drained.
    """

    status: int = 0
    reason: bytes = b""
    headers: Headers = field(factory=list)
    body: bytearray = field(factory=bytearray)
    head_complete: bool = False
    complete: bool = False
    keep_alive: bool = False

    @property
    def body_bytes(self) -> int:
        """Return the size of what is held of the body."""
        return len(self.body)

    def drain_body(self) -> bytes:
        """Return the body received since the last call."""
        data = bytes(self.body)
        self.body.clear()
        return data

    @property
    def framing(self) -> Framing:
        """Return what determines where the body ends."""
        if self.status in BODILESS_STATUSES:
            return Framing.NO_BODY
        names = {key.lower() for key, _ in self.headers}
        if b"transfer-encoding" in names:
            return Framing.CHUNKED
        if b"content-length" in names:
            return Framing.LENGTH
        return Framing.CONNECTION


class ResponseParser:
    """Parse the bytes of an upstream connection into responses.

    ``error`` is set when invalid bytes arrive or a limit is exceeded; responses
    completed before that remain valid.
    """

    def __init__(self, limits: ResponseLimits = DEFAULT_RESPONSE_LIMITS) -> None:
        self.limits = limits
        self.responses: list[ResponseMessage] = []
        self.error: str | None = None
        self.fed_bytes = 0
        self.received_body_bytes = 0
        self.earlier_body_bytes = 0
        self.parser = httptools.HttpResponseParser(self)

    @property
    def malformed(self) -> bool:
        """Return whether no more responses can be parsed."""
        return self.error is not None

    @property
    def held_bytes(self) -> int:
        """Return the size of the bodies held in memory."""
        current_bytes = self.responses[-1].body_bytes if self.responses else 0
        return self.earlier_body_bytes + current_bytes

    def feed(self, data: bytes) -> None:
        """Parse bytes."""
        if self.malformed:
            return
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            is_too_large = isinstance(error.__context__, ResponseTooLarge)
            self.error = TOO_LARGE if is_too_large else MALFORMED
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error = MALFORMED
        if not self.malformed and self._exceeds_framing_limit():
            self.error = TOO_LARGE

    def _exceeds_framing_limit(self) -> bool:
        framing_bytes = self.fed_bytes - self.received_body_bytes
        allowance = MAX_FRAMING_PER_BODY_BYTE * self.received_body_bytes
        return framing_bytes > self.limits.framing_bytes + allowance

    def feed_eof(self) -> None:
        """Handle end of file, which completes a response without explicit framing."""
        if not self.responses or self.malformed:
            return
        last = self.responses[-1]
        if not last.head_complete or last.complete:
            return
        if last.framing is Framing.CONNECTION:
            last.complete = True
            last.keep_alive = False

    def close(self) -> None:
        """End the parsing, so that the bodies are freed with the last reference."""
        self.parser = None
        self.error = self.error or CLOSED

    def on_message_begin(self) -> None:
        """Start a new response."""
        if self.responses:
            self.earlier_body_bytes += self.responses[-1].body_bytes
        self.responses.append(ResponseMessage())

    def on_status(self, reason: bytes) -> None:
        """Append part of the reason phrase."""
        self.responses[-1].reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.responses[-1].headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the end of the headers."""
        message = self.responses[-1]
        message.status = self.parser.get_status_code()
        message.keep_alive = self.parser.should_keep_alive()
        message.head_complete = True

    def on_body(self, body: bytes) -> None:
        """Append part of the body; raise ``ResponseTooLarge``."""
        message = self.responses[-1]
        message.body += body
        self.received_body_bytes += len(body)
        if self.held_bytes > self.limits.body_bytes:
            raise ResponseTooLarge(TOO_LARGE)

    def on_message_complete(self) -> None:
        """Complete a response; discard an interim (1xx) response."""
        message = self.responses[-1]
        if message.status < FIRST_FINAL_STATUS:
            self.responses.pop()
        else:
            message.complete = True
