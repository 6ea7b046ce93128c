"""Strict parsing of HTTP/1.1 responses, based on llhttp.

Source: RFC 9112, "HTTP/1.1", sections 2 to 6.
"""

from enum import StrEnum

import httptools
from attrs import define, field

from rosemaryyoke.http1.messages import Headers

BODILESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200


class Framing(StrEnum):
    """What determines where the body of a response ends."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"  # the body ends with its connection


@define(eq=False)
class ResponseMessage:
    """A response, possibly still incomplete."""

    status: int = 0
    reason: bytes = b""
    headers: Headers = field(factory=list)
    body_chunks: list[bytes] = field(factory=list)
    head_complete: bool = False
    complete: bool = False
    keep_alive: bool = False

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return b"".join(self.body_chunks)

    def drain_body(self) -> bytes:
        """Return the body received since the last call."""
        data = b"".join(self.body_chunks)
        self.body_chunks.clear()
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

    ``malformed`` is set when invalid bytes arrive; responses completed before them
    remain valid.
    """

    def __init__(self) -> None:
        self.responses: list[ResponseMessage] = []
        self.malformed = False
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes."""
        if self.malformed:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.malformed = True

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

    def on_message_begin(self) -> None:
        """Start a new response."""
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
        """Append part of the body."""
        self.responses[-1].body_chunks.append(body)

    def on_message_complete(self) -> None:
        """Complete a response; discard an interim (1xx) response."""
        message = self.responses[-1]
        if message.status < FIRST_FINAL_STATUS:
            self.responses.pop()
        else:
            message.complete = True
