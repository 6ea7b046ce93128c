"""Strict parsing of HTTP/1.1 messages, based on llhttp.

Source: RFC 9112, "HTTP/1.1", sections 2 to 6.
"""

from collections import deque

import httptools
from attrs import define, field, frozen

from rosemaryyoke.http1.errors import MalformedMessage, MessageTooLarge

Header = tuple[bytes, bytes]
Headers = list[Header]

# What a header takes besides its bytes: 144 for a tuple, two objects of bytes and a
# place in the list, and 112 for another tuple and a line while the head is encoded.
FIELD_COST_BYTES = 256
END_OF_FIELDS = b"\r\n\r\n"
# A chunk of one byte takes five bytes of framing.
MAX_FRAMING_PER_BODY_BYTE = 8
# Parsing a chunk or field takes 0.35 us of processor and more, a byte in a large chunk
# 1.6 ns. Parts of 64 bytes take four times as much for a byte, parts of two 30 times.
CHEAP_PART_BYTES = 64
# Messages of so few parts are cheap whatever their size.
CHEAP_PARTS = 256
# What is parsed at a time of a request whose parts are small, or not known yet.
COSTLY_PIECE_BYTES = 4 * 1024
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, given its lower-case name, or ``None``."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the end-to-end headers, without the hop-by-hop ones."""
    connection_options = find_header(headers, b"connection")
    excluded_names = HOP_BY_HOP_HEADERS
    if connection_options is not None:
        excluded_names = excluded_names | {
            item.strip().lower() for item in connection_options.split(b",")
        }
    return [(key, value) for key, value in headers if key.lower() not in excluded_names]


def encode_head(first_line: bytes, headers: Headers) -> bytes:
    """Encode the start line and headers of a message."""
    lines = [first_line]
    lines.extend(key + b": " + value for key, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


@define
class RequestMessage:
    """A parsed request; the body is complete once the parser queues it.

    If the body is not stored, its bytes are dropped; ``body_bytes`` counts them.
    """

    target: bytes = b""
    method: bytes = b""
    headers: Headers = field(factory=list)
    body: bytes = b""
    body_bytes: int = 0
    keep_alive: bool = True
    stores_body: bool = True

    @property
    def has_lost_body(self) -> bool:
        """Return whether the request had a body that was not stored."""
        return not self.stores_body and self.body_bytes > 0


@frozen
class MessageLimits:
    """Maximum sizes of a message's head and body, in bytes."""

    head_bytes: int = 16_384
    body_bytes: int = 8 * 1024 * 1024


class RequestParser:
    """Parse the bytes of a connection into requests, one at a time.

    Bytes behind a complete request stay unparsed until the request is taken out of
    ``requests`` and ``feed`` is called again. ``feed`` also returns behind each head
    whose body is to come, so that the caller can decide about the body; it then calls
    ``feed`` again, with further bytes or none. Of a request that is costly to parse,
    ``feed`` takes one piece at a time.
    """

    def __init__(self, limits: MessageLimits):
        self.limits = limits
        self.requests: deque[RequestMessage] = deque()
        self.message: RequestMessage | None = None
        self.in_body = False
        self.expects_continue = False
        self.head_bytes = 0
        self.fields = 0
        self.body_bytes = 0
        self.parts = 0  # fields, chunks and trailers
        self.fed_bytes = 0
        self.body_length: int | None = None
        self.buffer = bytearray()  # the body so far
        self.rest: bytes | memoryview = b""
        self.last_bytes = b""
        self.parser = httptools.HttpRequestParser(self)

    @property
    def has_partial_request(self) -> bool:
        """Return whether part of a request has been received."""
        return self.message is not None or self.fed_bytes > 0 or bool(self.rest)

    @property
    def is_costly(self) -> bool:
        """Return whether the request so far has very many small parts."""
        if self.message is None or self.parts <= CHEAP_PARTS:
            return False
        return self.parts > CHEAP_PARTS + self._content_bytes // CHEAP_PART_BYTES

    @property
    def _content_bytes(self) -> int:
        return self.head_bytes + self.body_bytes

    @property
    def held_bytes(self) -> int:
        """Return the memory taken by the request so far and the unparsed bytes."""
        stored = len(self.buffer) + len(self.buffer) // 8
        if self.requests:
            stored = len(self.requests[-1].body)
        head_bytes = self.head_bytes + FIELD_COST_BYTES * self.fields
        return stored + head_bytes + len(self.rest)

    def clear(self) -> None:
        """Free what is held; no more can be parsed."""
        self.message = None
        self.requests.clear()
        self.buffer = bytearray()
        self.rest = b""
        self.parser = None

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise ``MalformedMessage`` or ``MessageTooLarge``."""
        if self.rest:
            data = bytes(self.rest) + data
            self.rest = b""
        view, start = memoryview(data), 0
        while start < len(data) and not self.requests:
            was_in_body = self.in_body
            end = self._piece_end(data, start)
            self._parse(view[start:end])
            start = end
            if self.in_body and not was_in_body or self.is_costly:
                break
        if start < len(data):
            self.rest = data[start:]

    def _piece_end(self, data: bytes, start: int) -> int:
        """Return where the piece ends that holds no byte of a further request.

        Heads and chunked bodies end with an empty line.
        """
        if self.in_body and self.body_length is not None:
            return min(len(data), start + self.body_length - self.body_bytes)
        limit = len(data)
        if self._content_bytes < CHEAP_PART_BYTES * (CHEAP_PARTS + self.parts):
            limit = min(limit, start + COSTLY_PIECE_BYTES)
        kept = len(END_OF_FIELDS) - 1
        seam = self.last_bytes + data[start : start + kept]
        found = seam.find(END_OF_FIELDS) if self.last_bytes else -1
        if found >= 0:
            end = start + found + len(END_OF_FIELDS) - len(self.last_bytes)
        else:
            found = data.find(END_OF_FIELDS, start, limit)
            end = limit if found < 0 else found + len(END_OF_FIELDS)
        self.last_bytes = (self.last_bytes + data[max(start, end - kept) : end])[-kept:]
        return end

    def _parse(self, data: memoryview) -> None:
        self.fed_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, MessageTooLarge):
                raise error.__context__ from None
            raise MalformedMessage(str(error)) from error
        except httptools.HttpParserError as error:
            raise MalformedMessage(str(error)) from error
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessage("an upgrade is not offered") from error
        if not self.in_body and self.fed_bytes > self.limits.head_bytes:
            if not self.requests:
                raise MessageTooLarge(431, "the head is too large")
        if self.in_body and self._exceeds_framing_limit():
            raise MessageTooLarge(413, "the framing of the body is too large")

    def _exceeds_framing_limit(self) -> bool:
        allowance = self.limits.head_bytes + MAX_FRAMING_PER_BODY_BYTE * self.body_bytes
        framing_bytes = self.fed_bytes - self.head_bytes - self.body_bytes
        return framing_bytes > self.limits.head_bytes + allowance

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.message = RequestMessage()
        self.in_body = False
        self.head_bytes = 0
        self.fields = 0
        self.body_bytes = 0
        self.parts = 0
        self.body_length = None

    def on_url(self, url: bytes) -> None:
        """Append part of the request target."""
        self._add_head_bytes(len(url))
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped."""
        self._add_head_bytes(len(name) + len(value))
        self.parts += 1
        if self.in_body:
            return
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True
            return
        self.fields += 1
        self.message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the end of the headers."""
        self.in_body = True
        self.last_bytes = b""
        self.message.method = self.parser.get_method()
        self.message.keep_alive = self.parser.should_keep_alive()
        length = find_header(self.message.headers, b"content-length")
        if length is None:
            return
        self.body_length = int(length)
        if self.body_length > self.limits.body_bytes:
            raise MessageTooLarge(413, "the body is too large")

    def on_body(self, body: bytes) -> None:
        """Append part of the body, or drop it."""
        self.body_bytes += len(body)
        self.parts += 1
        if self.body_bytes > self.limits.body_bytes:
            raise MessageTooLarge(413, "the body is too large")
        self.message.body_bytes = self.body_bytes
        if self.message.stores_body:
            self.buffer += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self.message.body = bytes(self.buffer)
        self.buffer = bytearray()
        self.requests.append(self.message)
        self.message = None
        self.in_body = False
        self.expects_continue = False
        self.fed_bytes = 0
        self.last_bytes = b""

    def _add_head_bytes(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > self.limits.head_bytes:
            raise MessageTooLarge(431, "the head is too large")
