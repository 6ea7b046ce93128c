"""Clients that try to exhaust a server's memory and descriptors.

Each client is one raw connection that sends the pieces of a form of load as fast as
the server takes them. ``HostileClients`` drives all of them from one thread.
"""

import itertools
import selectors
import socket
import threading
import time
from pathlib import Path
from typing import Callable, Iterable, Iterator

from attrs import define, field, frozen

from rosemaryyoke.http1 import Address

KIB = 1024
BODY_SHORTFALL_BYTES = 16  # that are missing at the end of an incomplete body
SMALL_PIECE_BYTES = 512
SLOW_PIECE_BYTES = 24 * KIB
LARGE_CHUNK_BYTES = 64 * KIB
OVERSIZE_FACTOR = 10  # of a body far over the limit
TWO_BYTE_CHUNKS = 64 * 1024  # per client; old servers held about 45 bytes for each
FIELDS_PER_REQUEST = 1_900
FIELD_REQUESTS = 50  # requests of many fields per client
TRAILER_FIELDS = 100_000
PIPELINED_REQUESTS = 4_000
SMALL_RECEIVE_BYTES = 4 * KIB  # of a client that does not read
LARGE_READ_BYTES = 64 * KIB
READ_PAUSE_S = 0.02  # between two small reads
SLOW_PAUSE_S = 0.02
STALLED_S = 0.4  # without progress of any client, the load is in place
RECONNECTIONS = 2  # per client, after the server closed its connection
POLL_S = 0.05


@frozen
class Request:
    """The request line and header fields that a form of load is made of."""

    method: str
    target: str
    headers: tuple[str, ...] = ("Host: a.example",)

    def head(self, *fields: str) -> bytes:
        """Return the encoded head with further fields."""
        first_line = f"{self.method} {self.target} HTTP/1.1"
        return "\r\n".join([first_line, *self.headers, *fields, "", ""]).encode()


@frozen
class LoadForm:
    """What one client sends, and how.

    ``pieces`` takes the request and the limit of a body in bytes. After each piece the
    client pauses for ``pause_s``. A client that is not ``reading`` leaves responses in
    its socket; otherwise it reads them and connects again if it was closed.
    """

    name: str
    pieces: Callable[[Request, int], Iterable[bytes]]
    pause_s: float = 0.0
    reading: bool = True
    read_bytes: int = LARGE_READ_BYTES

    @property
    def reads_slowly(self) -> bool:
        """Return whether a client pauses after each read."""
        return self.reading and self.read_bytes < LARGE_READ_BYTES


def body_in_one_piece(request: Request, limit: int) -> Iterator[bytes]:
    """Send a body of legal size without its last bytes, at once."""
    body = b"x" * (limit - BODY_SHORTFALL_BYTES)
    yield request.head(f"Content-Length: {limit}") + body


def body_in_small_pieces(request: Request, limit: int) -> Iterator[bytes]:
    """Send a body of legal size without its last bytes, in small pieces."""
    yield request.head(f"Content-Length: {limit}")
    piece = b"x" * SMALL_PIECE_BYTES
    yield from itertools.repeat(piece, limit // SMALL_PIECE_BYTES - 1)


def complete_body(request: Request, limit: int) -> Iterator[bytes]:
    """Send a whole body of legal size at once."""
    yield request.head(f"Content-Length: {limit}") + b"x" * limit


def complete_body_in_small_pieces(request: Request, limit: int) -> Iterator[bytes]:
    """Send a whole body of legal size in small pieces."""
    yield request.head(f"Content-Length: {limit}")
    yield from itertools.repeat(b"x" * SMALL_PIECE_BYTES, limit // SMALL_PIECE_BYTES)


def body_sent_slowly(request: Request, limit: int) -> Iterator[bytes]:
    """Send a body of legal size without its last bytes, with pauses between pieces."""
    yield request.head(f"Content-Length: {limit}")
    piece = b"x" * SLOW_PIECE_BYTES
    yield from itertools.repeat(piece, limit // SLOW_PIECE_BYTES - 1)


def body_in_tiny_chunks(request: Request, limit: int) -> Iterator[bytes]:
    """Send a body in chunks of two bytes, without the last chunk."""
    yield request.head("Transfer-Encoding: chunked")
    per_piece = 1_024
    piece = b"2\r\nxx\r\n" * per_piece
    yield from itertools.repeat(piece, TWO_BYTE_CHUNKS // per_piece)


def oversized_body_with_length(request: Request, limit: int) -> Iterator[bytes]:
    """Send a body far over the limit that states its length."""
    size = OVERSIZE_FACTOR * limit
    yield request.head(f"Content-Length: {size}")
    yield from itertools.repeat(b"x" * LARGE_CHUNK_BYTES, size // LARGE_CHUNK_BYTES)


def oversized_body_in_chunks(request: Request, limit: int) -> Iterator[bytes]:
    """Send a body far over the limit in large chunks."""
    yield request.head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, b"x" * LARGE_CHUNK_BYTES)
    yield from itertools.repeat(chunk, OVERSIZE_FACTOR * limit // LARGE_CHUNK_BYTES)


def many_header_fields(request: Request, limit: int) -> Iterator[bytes]:
    """Send requests of very many short fields, the last without its end."""
    fields = [f"f{number:x}:" for number in range(FIELDS_PER_REQUEST)]
    whole = request.head(*fields)
    yield from itertools.repeat(whole, FIELD_REQUESTS - 1)
    yield whole[:-2]


def many_trailers(request: Request, limit: int) -> Iterator[bytes]:
    """Send a chunked body and then very many short trailer fields without end."""
    yield request.head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    per_piece = 1_000
    piece = b"t: 1\r\n" * per_piece
    yield from itertools.repeat(piece, TRAILER_FIELDS // per_piece)


def pipelined_requests(request: Request, limit: int) -> Iterator[bytes]:
    """Send many whole requests on one connection."""
    per_piece = 100
    piece = request.head("Content-Length: 0") * per_piece
    yield from itertools.repeat(piece, PIPELINED_REQUESTS // per_piece)


def one_request(request: Request, limit: int) -> Iterator[bytes]:
    """Send one whole request."""
    yield request.head("Content-Length: 0")


def half_a_head(request: Request, limit: int) -> Iterator[bytes]:
    """Stop within the head."""
    whole = request.head("Content-Length: 0")
    yield whole[: len(whole) // 2]


def half_a_body(request: Request, limit: int) -> Iterator[bytes]:
    """Stop in the middle of the body."""
    yield request.head(f"Content-Length: {limit}") + b"x" * (limit // 2)


LOAD_FORMS = (
    LoadForm("body_in_one_piece", body_in_one_piece),
    LoadForm("body_in_small_pieces", body_in_small_pieces),
    LoadForm("body_in_tiny_chunks", body_in_tiny_chunks),
    LoadForm("oversized_body_with_length", oversized_body_with_length),
    LoadForm("oversized_body_in_chunks", oversized_body_in_chunks),
    LoadForm("many_header_fields", many_header_fields),
    LoadForm("many_trailers", many_trailers),
    LoadForm("pipelined_unread", pipelined_requests, reading=False),
    LoadForm("slow_sender", body_sent_slowly, pause_s=SLOW_PAUSE_S),
    LoadForm("half_a_head", half_a_head),
    LoadForm("half_a_body", half_a_body),
    LoadForm("complete_body", complete_body),
    LoadForm("complete_body_in_small_pieces", complete_body_in_small_pieces),
)
# For requests whose responses are larger than the buffers of a connection.
READER_FORMS = (
    LoadForm("slow_reader", one_request, read_bytes=1, pause_s=READ_PAUSE_S),
    # Faster than the limit for a stalled write, so that the connection stays open.
    LoadForm("steady_slow_reader", one_request, read_bytes=512, pause_s=READ_PAUSE_S),
    LoadForm("half_a_response", one_request, reading=False),
)


@define(eq=False)
class Client:
    """One connection, what it has still to send, and when it may go on."""

    pieces: Iterator[bytes]
    connection: socket.socket | None = None
    unsent: memoryview = memoryview(b"")
    sent_all: bool = False
    next_send_s: float = 0.0
    next_read_s: float = 0.0
    attempts: int = 0


@define(eq=False)
class HostileClients:
    """A number of clients with one form of load against one address."""

    address: Address
    form: LoadForm
    request: Request
    body_limit: int
    count: int
    clients: list[Client] = field(factory=list)
    progress_s: float = 0.0
    sent_bytes: int = 0
    closed_by_server: int = 0
    stopped: threading.Event = field(factory=threading.Event)
    thread: threading.Thread | None = None

    def __enter__(self) -> "HostileClients":
        self.clients = [Client(iter(())) for _ in range(self.count)]
        self.progress_s = time.monotonic()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        return self

    def __exit__(self, *_) -> None:
        self.stopped.set()
        self.thread.join()
        for client in self.clients:
            self.disconnect(client)

    def wait_in_place(self, timeout_s: float) -> None:
        """Wait until all have begun and none makes progress, for a limited time."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            begun = all(client.attempts for client in self.clients)
            if begun and time.monotonic() - self.progress_s > STALLED_S:
                return
            time.sleep(POLL_S)

    def open_connections(self) -> int:
        """Return how many clients are connected."""
        return sum(client.connection is not None for client in self.clients)

    def run(self) -> None:
        """Drive the clients until they are stopped."""
        while not self.stopped.is_set():
            selector = selectors.DefaultSelector()
            for client in self.clients:
                if client.connection is None and client.attempts <= RECONNECTIONS:
                    self.connect(client)
                self.register(selector, client)
            for key, events in selector.select(POLL_S):
                if events & selectors.EVENT_WRITE:
                    self.send(key.data)
                if events & selectors.EVENT_READ and key.data.connection is not None:
                    self.read(key.data)
            selector.close()

    def register(self, selector, client: Client) -> None:
        """Register what a client waits for."""
        if client.connection is None:
            return
        now_s, events = time.monotonic(), 0
        if not client.sent_all and now_s >= client.next_send_s:
            events |= selectors.EVENT_WRITE
        if self.form.reading and now_s >= client.next_read_s:
            events |= selectors.EVENT_READ
        if events:
            selector.register(client.connection, events, client)

    def connect(self, client: Client) -> None:
        """Open a connection and start the form of load on it."""
        client.attempts += 1
        client.pieces = iter(self.form.pieces(self.request, self.body_limit))
        client.unsent, client.sent_all = memoryview(b""), False
        connection = socket.socket()
        if not self.form.reading or self.form.reads_slowly:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BYTES
            )
        connection.settimeout(1.0)
        try:
            connection.connect((self.address.ip, self.address.port))
        except OSError:
            connection.close()
            return
        connection.setblocking(False)
        client.connection = connection
        self.progress_s = time.monotonic()

    def send(self, client: Client) -> None:
        """Send on until the server takes no more, or for one piece with a pause."""
        try:
            while True:
                if not client.unsent:
                    piece = next(client.pieces, None)
                    if piece is None:
                        client.sent_all = True
                        return
                    client.unsent = memoryview(piece)
                size = client.connection.send(client.unsent)
                client.unsent = client.unsent[size:]
                self.sent_bytes += size
                self.progress_s = time.monotonic()
                if self.form.pause_s:
                    client.next_send_s = time.monotonic() + self.form.pause_s
                    return
        except BlockingIOError:
            return
        except OSError:
            self.disconnect(client)
            self.closed_by_server += 1

    def read(self, client: Client) -> None:
        """Read what the server sent."""
        try:
            data = client.connection.recv(self.form.read_bytes)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.disconnect(client)
            self.closed_by_server += 1
        elif self.form.reads_slowly:
            client.next_read_s = time.monotonic() + self.form.pause_s

    def disconnect(self, client: Client) -> None:
        """Close a client's connection."""
        if client.connection is not None:
            client.connection.close()
            client.connection = None


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident memory that a process has had, as Linux counts it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * KIB
    raise ValueError(f"process {pid} has no resident memory")


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
