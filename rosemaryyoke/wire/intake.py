"""Read a request and write its response within a reservation of memory."""

import http.client
import mmap
import re
import socket
import time

from rosemaryyoke.memory import Phase, Reservation
from rosemaryyoke.memory.budget import STEP_BYTES
from rosemaryyoke.wire.errors import RequestRefused

READ_BYTES = 65_536
MAX_REQUEST_LINE_BYTES = 65_536
MAX_HEADERS_BYTES = 32 * 1024
# Separators, spaces and line ends of up to 100 fields.
MAX_HEAD_BYTES = MAX_REQUEST_LINE_BYTES + MAX_HEADERS_BYTES + 8 * 1024
# Up to this size a body is within the allowance of its connection.
SMALL_BODY_BYTES = 16 * 1024
# A body is copied once to be sent on, or parsed to about its size.
COPIES = 2
# Characters beyond ASCII make a parsed text up to four times as large as its body.
WIDE_COPIES = 4
# Of a parsed value that is no text: an object and its place in a list.
JSON_ITEM_BYTES = 72
# Never backtracks, and takes a text without its end, so that its time is linear.
JSON_TEXT = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?', re.DOTALL)
MAX_COUNTED_TEXTS = 50_000  # with more, separators within texts are counted, too
JSON_SEPARATORS = (b",", b"[", b"{")
# For the rest of a body that is not kept, so that its sender reads the response.
DISCARD_PAUSE_S = 0.5
MAX_DISCARDED_BYTES = 8 * 1024 * 1024
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_MEMORY_TEXT = "the host has no memory for this request now"
RETRY_AFTER_S = 1.0
REFUSAL_WRITE_S = 0.2  # an evicted caller may not read
MAX_WRITE_STALL_S = 30.0
# Half the rate below which callers count as slow when memory is short.
LOWEST_RATE_BYTES_PER_S = 8 * 1024


class RequestReader:
    """Reads the head, line by line, and then the body if it is wanted."""

    closed = False

    def __init__(self, connection: socket.socket, reservation: Reservation):
        self.connection = connection
        self.reservation = reservation
        self.buffer = bytearray()
        self.head_bytes = 0
        self.unread_bytes = 0
        self.expects_continue = False
        self.ended = False

    def readline(self, limit: int) -> bytes:
        """Return the next line of the head, or its first ``limit`` bytes."""
        searched = 0
        while (end := self.buffer.find(b"\n", searched)) < 0:
            searched = len(self.buffer)
            if searched >= limit or not self._fill():
                break
        size = min(limit, end + 1 if end >= 0 else len(self.buffer))
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise http.client.LineTooLong("head")
        return self._take(size)

    def read(self, size: int = -1) -> bytes:
        """Return nothing: the body is read by ``read_body`` alone."""
        return b""

    def close(self) -> None:
        """Do nothing; the server closes the connection."""

    def flush(self) -> None:
        """Do nothing."""

    def _fill(self) -> bool:
        data = self.connection.recv(READ_BYTES)
        now_s = time.monotonic()
        if self.reservation.evicted:
            raise self._refuse()
        if not data:
            self.ended = True
            return False
        if self.reservation.phase == Phase.IDLE:
            self.reservation.begin_phase(Phase.HEAD, now_s)
        self.reservation.record_progress(len(data), now_s)
        self.buffer += data
        return True

    def _take(self, size: int) -> bytes:
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        return data

    def begin_body(self, length: int, expects_continue: bool) -> None:
        """Set the length of the body that follows the head.

        Raise ``RequestRefused`` if the connection was evicted before.
        """
        if not self.reservation.protect(time.monotonic()):
            raise self._refuse()
        self.unread_bytes = length
        self.expects_continue = expects_continue

    def read_body(self) -> "Body":
        """Read the whole body; raise ``RequestRefused`` if there is no room for it."""
        length, self.expects_continue = self.unread_bytes, self._send_continue()
        if not length:
            return Body(b"", self.reservation)
        self.reservation.begin_phase(Phase.BODY, time.monotonic())
        if not self.reservation.budget.takes(length, time.monotonic()):
            raise self._refuse()
        # Pages of a mapping take memory when they are written, and return it at once.
        small = length <= SMALL_BODY_BYTES
        storage = bytearray(length) if small else mmap.mmap(-1, length)
        try:
            with memoryview(storage) as view:
                self._receive_into(view)
        except BaseException:
            if not small:
                storage.close()
            self.reservation.resize(0)
            self.connection.settimeout(REFUSAL_WRITE_S)
            raise
        return Body(storage, self.reservation)

    def _receive_into(self, view: memoryview) -> None:
        begun = self._take(min(len(view), len(self.buffer)))
        received = len(begun)
        if not self.reservation.add(received):
            raise self._refuse()
        view[:received] = begun
        self.unread_bytes -= received
        while received < len(view):
            size = self.connection.recv_into(view[received : received + READ_BYTES])
            if self.reservation.evicted or size and not self.reservation.add(size):
                raise self._refuse()
            if not size:
                self.ended = True
                raise ConnectionError("the caller ended the connection in the body")
            self.reservation.record_progress(size, time.monotonic())
            received += size
            self.unread_bytes -= size
        if not self.reservation.protect(time.monotonic()):
            raise self._refuse()

    def _refuse(self) -> RequestRefused:
        return RequestRefused("no_memory", NO_MEMORY_TEXT, RETRY_AFTER_S)

    def _send_continue(self) -> bool:
        if self.expects_continue and not self.buffer:
            self.connection.sendall(CONTINUE_RESPONSE)
        return False

    def discard(self) -> None:
        """Drop the rest of a request, within limits.

        A reset of the connection would hide the response from a caller that sends on.
        """
        self.reservation.resize(0)
        self.reservation.begin_phase(Phase.BODY, time.monotonic())
        left = min(self.unread_bytes, MAX_DISCARDED_BYTES) - len(self.buffer)
        self.buffer.clear()
        self.connection.settimeout(DISCARD_PAUSE_S)
        space = bytearray(READ_BYTES)
        while left > 0 and not self.ended and not self.reservation.evicted:
            size = self.connection.recv_into(space)
            if not size:
                return
            self.reservation.record_progress(size, time.monotonic())
            left -= size


class Body:
    """The body of a request, for as long as its reservation."""

    def __init__(self, storage, reservation: Reservation):
        self.storage = storage
        self.reservation = reservation
        self.length = len(storage)

    def take_bytes(self) -> bytes:
        """Return the body and drop the buffer that it was read into."""
        self._reserve(self.length)
        data = self.storage
        if not isinstance(data, bytes):
            with memoryview(self.storage) as view:
                data = bytes(view)
        self._drop()
        return data

    def take_for_parsing(self) -> bytes:
        """Return the body, with memory reserved for the values parsed from it."""
        data = self.take_bytes()
        if self.length > SMALL_BODY_BYTES:
            self._reserve(estimate_parsed_bytes(data))
        return data

    def _reserve(self, size: int) -> None:
        if self.length > SMALL_BODY_BYTES and not self.reservation.add(size):
            raise RequestRefused("no_memory", NO_MEMORY_TEXT, RETRY_AFTER_S)

    def _drop(self) -> None:
        if isinstance(self.storage, mmap.mmap):
            self.storage.close()
            self.reservation.add(-self.length)
        self.storage = b""


def estimate_parsed_bytes(data: bytes) -> int:
    """Return an upper limit of the memory that values parsed from JSON take."""
    wide = not data.isascii() or b"\\u" in data
    copies = WIDE_COPIES if wide else COPIES
    return copies * len(data) + count_items(data) * JSON_ITEM_BYTES


def count_items(data: bytes) -> int:
    """Return how many values a JSON document has at most."""
    at_most = sum(data.count(separator) for separator in JSON_SEPARATORS)
    if at_most * JSON_ITEM_BYTES <= len(data):
        return at_most
    items = end = 0
    for number, text in enumerate(JSON_TEXT.finditer(data)):
        if number >= MAX_COUNTED_TEXTS:
            return at_most
        items += sum(data.count(item, end, text.start()) for item in JSON_SEPARATORS)
        end = text.end()
    return items + sum(data.count(item, end) for item in JSON_SEPARATORS)


def try_add(reservation: Reservation, size: int) -> bool:
    """Hold more bytes if they are free; neither wait nor evict others."""
    needed_bytes = reservation.needed_bytes + size
    beyond = needed_bytes - reservation.budget.allowance_bytes
    if beyond > reservation.granted_bytes:
        wanted = -(-beyond // STEP_BYTES) * STEP_BYTES
        with reservation.budget.freed:
            if not reservation.budget.try_grant(reservation, wanted):
                return False
    reservation.needed_bytes = needed_bytes
    return not reservation.evicted


def send_all(connection: socket.socket, reservation: Reservation, data: bytes) -> None:
    """Send all data; raise ``TimeoutError`` if the caller reads too slowly.

    The time limit of the socket ends a write without any progress.
    """
    limit_s = MAX_WRITE_STALL_S + len(data) / LOWEST_RATE_BYTES_PER_S
    end_s = time.monotonic() + limit_s
    with memoryview(data) as view:
        sent = 0
        while sent < len(view):
            size = connection.send(view[sent : sent + READ_BYTES])
            sent += size
            now_s = time.monotonic()
            reservation.record_progress(size, now_s)
            if sent < len(view) and now_s > end_s:
                raise TimeoutError("the caller reads too slowly")


class ResponseWriter:
    """Writes a response; a caller that does not read it loses its connection."""

    closed = False

    def __init__(self, connection: socket.socket, reservation: Reservation):
        self.connection = connection
        self.reservation = reservation

    def write(self, data: bytes) -> int:
        """Write all; raise ``TimeoutError`` if the caller reads too slowly."""
        if not data:
            return 0
        before = self.reservation.phase
        self.reservation.begin_phase(Phase.WRITING, time.monotonic())
        send_all(self.connection, self.reservation, data)
        self.reservation.begin_phase(before, time.monotonic())
        return len(data)

    def flush(self) -> None:
        """Do nothing; nothing is buffered."""

    def close(self) -> None:
        """Do nothing; the server closes the connection."""
