"""A server with one task per connection, on a bounded thread pool."""

import math
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.core.pools import make_pool
from rosemaryyoke.exchanges.caller import (
    WRITE_STALL_S,
    CallerConnection,
    CallerDisconnected,
    ResponseAborted,
    never_closes,
)
from rosemaryyoke.exchanges.refusal_log import RefusalLog
from rosemaryyoke.exchanges.turns import TurnQueue
from rosemaryyoke.http1 import (
    Address,
    MalformedMessage,
    MessageLimits,
    MessageTooLarge,
    RequestMessage,
    RequestParser,
)
from rosemaryyoke.http1.messages import COSTLY_PIECE_BYTES
from rosemaryyoke.http1.sockets import (
    close,
    listen,
    set_tcp_options,
    wait_readable,
)
from rosemaryyoke.memory import MemoryBudget, Phase, Reservation
from rosemaryyoke.memory.budget import RETRY_AFTER_S

BACKLOG = 512
# Holds the largest head with its separators. As many tasks may hold a read at once as
# there are connections, so it is smaller than that of connections to upstreams.
REQUEST_READ_BYTES = 32 * 1024
SMALL_BODY_BYTES = 8 * 1024  # fits in the allowance of a connection, with its head
# If there is nothing to close for a new connection, the next ones do not look either.
SLOT_SEARCH_PAUSE_S = 0.02
# For so long after a connection was refused, others do not serve requests sent ahead.
SHORT_OF_SLOTS_S = 1.0
TCP_USER_TIMEOUT_S = 10.0
LINGER_TIMEOUT_S = 0.5
ACCEPT_RETRY_S = 0.05
IDLE_POLL_S = 0.02
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
OUT_OF_MEMORY_TEXT = "this host has no memory for the request"

Handler = Callable[[RequestMessage, CallerConnection], None]
BodyDecision = Callable[[RequestMessage, CallerConnection], bool]


class OutOfMemory(Exception):
    """The host has no memory for a request; the message is the reason."""


def store_every_body(message: RequestMessage, caller: CallerConnection) -> bool:
    """Store the bodies of all requests."""
    return True


def store_no_body(message: RequestMessage, caller: CallerConnection) -> bool:
    """Drop the bodies of all requests, for ports that take none."""
    return False


def reject_leaving(message: RequestMessage, caller: CallerConnection) -> None:
    """Reject a request because the server shuts down."""
    caller.send_error(503, "leaving", "this host is leaving")


@define
class RequestLimits:
    """Size limits and timeouts for callers' requests."""

    message: MessageLimits = MessageLimits()
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@define(eq=False)
class ConnectionServer:
    """Accepts connections and serves each in its own task.

    ``needs_body`` decides from the head whether a body is stored or dropped.
    ``socket_buffer_bytes`` limits what the system buffers for each connection and
    direction, if it is not 0. The servers of a process share ``costly_turns``.
    """

    address: Address
    handler: Handler
    max_connections: int
    name: str = "callers"
    limits: Callable[[], RequestLimits] = RequestLimits
    keep_alive_disabled: bool = False
    stopped: bool = False
    rejects_from_s: float = math.inf
    rejection_handler: Handler = reject_leaving
    open_connections: int = 0
    requests_in_progress: int = 0
    accepted_connections: int = 0
    idle_sockets: set[socket.socket] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)
    listener: socket.socket | None = None
    needs_body: BodyDecision = store_every_body
    budget: MemoryBudget = field(factory=MemoryBudget)
    write_stall_s: float = WRITE_STALL_S
    socket_buffer_bytes: int = 0
    costly_turns: TurnQueue = field(factory=TurnQueue)
    reservations: set[Reservation] = field(factory=set)
    next_slot_search_s: float = 0.0
    short_until_s: float = 0.0
    refusal_log: RefusalLog = field(factory=RefusalLog)
    pool: ThreadPoolExecutor = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.pool = make_pool(self.name, self.max_connections)

    def start(self) -> None:
        """Listen, and accept connections in a new thread."""
        self.listener = listen(self.address, BACKLOG)
        if self.socket_buffer_bytes:  # accepted connections inherit it
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                self.listener.setsockopt(
                    socket.SOL_SOCKET, option, self.socket_buffer_bytes
                )
        thread = threading.Thread(
            target=self.accept, name=f"{self.name}-accept", daemon=True
        )
        thread.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self.stopped = True
        if self.listener is not None:
            # A close does not end an accept call that waits, which keeps the port.
            with suppress(OSError):
                self.listener.shutdown(socket.SHUT_RDWR)
            close(self.listener)

    def disable_keep_alive(self) -> None:
        """Close every connection once the requests sent on it are answered."""
        self.keep_alive_disabled = True

    def reject_new_requests(self, from_s: float = -math.inf) -> None:
        """Reject every request received from now or from a later time on."""
        self.rejects_from_s = from_s

    @property
    def rejecting_requests(self) -> bool:
        """Return whether requests are rejected."""
        return time.monotonic() >= self.rejects_from_s

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        with self.lock:
            idle_sockets = list(self.idle_sockets)
        for connection in idle_sockets:
            try:
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def wait_idle(self, deadline_s: float) -> bool:
        """Wait until no request is in progress; return whether that is so."""
        while self.requests_in_progress and time.monotonic() < deadline_s:
            time.sleep(IDLE_POLL_S)
        return self.requests_in_progress == 0

    def wait_closed(self, deadline_s: float) -> bool:
        """Close what is idle until no connection is open; return whether that is so.

        A request that is read meanwhile still gets its answer.
        """
        while self.open_connections and time.monotonic() < deadline_s:
            self.close_idle()
            time.sleep(IDLE_POLL_S)
        return self.open_connections == 0

    def accept(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, peer = self.listener.accept()
            except OSError as error:
                if self.stopped:
                    return
                # Such as a lack of descriptors, which lasts for a while.
                logging.warning("accept failed server=%s error=%s", self.name, error)
                time.sleep(ACCEPT_RETRY_S)
                continue
            self.accepted_connections += 1
            with self.lock:
                full = self.open_connections >= self.max_connections
                if not full:
                    self.open_connections += 1
            if full and self._free_slot():
                with self.lock:  # the task that ends will count down
                    self.open_connections += 1
                full = False
            if full:
                self._reject_connection(connection)
                continue
            self._start_task(connection, peer[0])

    def _start_task(self, connection: socket.socket, peer: str) -> None:
        try:
            self.pool.submit(self._serve_connection, connection, peer)
        except RuntimeError as error:  # no thread can be started
            with self.lock:
                self.open_connections -= 1
            logging.warning("no task for a connection server=%s: %s", self.name, error)
            close(connection)

    def _free_slot(self) -> bool:
        """Close a connection that makes no progress or is idle, if there is one."""
        now_s = time.monotonic()
        if now_s < self.next_slot_search_s:
            return False
        with self.lock:
            reservations = list(self.reservations)
        victim = self.budget.evict_for_connection(
            reservations, now_s, self.limits().idle_timeout_s
        )
        if victim is None:
            self.next_slot_search_s = now_s + SLOT_SEARCH_PAUSE_S
            return False
        self.refusal_log.record(
            "connection evicted",
            server=self.name,
            phase=victim.phase,
            quiet_s=round(now_s - victim.progress_s, 3),
        )
        victim.evict()
        return True

    def _reject_connection(self, connection: socket.socket) -> None:
        self.budget.refusals["connections"] += 1
        self.short_until_s = time.monotonic() + SHORT_OF_SLOTS_S
        self.refusal_log.record(
            "connection refused", server=self.name, active=self.open_connections
        )
        try:
            connection.send(OVERLOADED_RESPONSE, socket.MSG_DONTWAIT)
        except OSError:
            pass
        close(connection)

    def _serve_connection(self, connection: socket.socket, peer: str) -> None:
        reservation = self.budget.reserve(lambda: self._evict(connection, reservation))
        reservation.begin_phase(Phase.HEAD, time.monotonic())
        with self.lock:
            self.reservations.add(reservation)
        caller = CallerConnection(
            connection,
            peer,
            reservation=reservation,
            write_stall_s=self.write_stall_s,
        )
        try:
            set_tcp_options(connection, TCP_USER_TIMEOUT_S)
            self._serve_requests(caller)
        except (CallerDisconnected, ResponseAborted):
            pass
        except OSError as error:
            logging.debug("connection lost server=%s error=%s", self.name, error)
        except Exception:
            logging.exception("a connection's task failed")
        finally:
            close(connection)
            reservation.close()
            reservation.evict = leave_alone  # ends the cycles of references
            caller.closes_next = never_closes
            with self.lock:
                self.reservations.discard(reservation)
                self.open_connections -= 1

    def _evict(self, connection: socket.socket, reservation: Reservation) -> None:
        wake(connection, reservation)
        self.costly_turns.leave(reservation)

    def _serve_requests(self, caller: CallerConnection) -> None:
        limits = self.limits()
        reader = RequestParser(limits.message)
        caller.closes_next = lambda: self._closes_next(caller, reader)
        first = True
        while True:
            message = self._next_request(caller, reader, limits, first)
            if message is None:
                return
            first = False
            if not caller.reservation.protect(time.monotonic()):
                self._refuse_for_memory(caller, reader, "evicted")
                return
            caller.begin_request(message.keep_alive and self._may_keep(reader))
            self._handle_request(message, caller)
            caller.release_held()
            message = None  # frees the body before the next request is awaited
            if not caller.keep_alive:
                self._lingering_close(caller)
                return
            caller.reservation.begin_phase(Phase.IDLE, time.monotonic())
            caller.reservation.resize(len(reader.rest))

    def _may_keep(self, reader: RequestParser) -> bool:
        """Return whether a connection may keep its slot for a further request.

        One with requests sent ahead never waits for a client, so that nothing else
        would ever end it in favour of new connections. A server that stops takes none.
        """
        if self.keep_alive_disabled:
            return True
        return not reader.rest or time.monotonic() >= self.short_until_s

    def _closes_next(self, caller: CallerConnection, reader: RequestParser) -> bool:
        """Return whether a connection is to be closed, and no request is ahead on it.

        What was read behind a request that is answered would be lost with it.
        """
        if not self.keep_alive_disabled:
            return False
        ahead = reader.requests or reader.has_partial_request
        return not (ahead or has_data(caller.socket))

    def _handle_request(
        self, message: RequestMessage, caller: CallerConnection
    ) -> None:
        with self.lock:
            self.requests_in_progress += 1
        try:
            if self.rejecting_requests:
                self.rejection_handler(message, caller)
                return
            self.handler(message, caller)
        except (CallerDisconnected, ResponseAborted, OSError):
            raise
        except Exception:
            logging.exception("a request's handler failed")
            if caller.streaming or caller.response_sent:
                raise
            caller.keep_alive = False
            caller.send_error(502, "internal_error", "this host failed on the request")
        finally:
            with self.lock:
                self.requests_in_progress -= 1

    def _next_request(
        self,
        caller: CallerConnection,
        reader: RequestParser,
        limits: RequestLimits,
        first: bool,
    ) -> RequestMessage | None:
        """Return the next request, or ``None`` at the end of the connection."""
        if not reader.requests:
            if not self._wait_first_byte(caller, reader, limits, first):
                return None
            try:
                self._receive_request(caller, reader, limits)
            except MessageTooLarge as error:
                reader.clear()
                self._reject_request(caller, error.status, "too_large", str(error))
                return None
            except MalformedMessage as error:
                reader.clear()
                self._reject_request(caller, 400, "malformed_request", str(error))
                return None
            except OutOfMemory as error:
                self._refuse_for_memory(caller, reader, str(error))
                return None
        return reader.requests.popleft() if reader.requests else None

    def _wait_first_byte(
        self,
        caller: CallerConnection,
        reader: RequestParser,
        limits: RequestLimits,
        first: bool,
    ) -> bool:
        if reader.has_partial_request:
            return True
        connection = caller.socket
        wait_s = limits.head_timeout_s if first else limits.idle_timeout_s
        with self.lock:
            self.idle_sockets.add(connection)
        try:
            if not wait_readable(connection, wait_s):
                return False
        finally:
            with self.lock:
                self.idle_sockets.discard(connection)
        # An evicted connection is closed without a response if no request is on it.
        return not caller.reservation.evicted or has_data(connection)

    def _receive_request(
        self, caller: CallerConnection, reader: RequestParser, limits: RequestLimits
    ) -> None:
        reservation, now_s = caller.reservation, time.monotonic()
        head_deadline_s = now_s + limits.head_timeout_s
        if reservation.phase is Phase.IDLE:
            reservation.begin_phase(Phase.HEAD, now_s)
        if reader.rest:
            self._parse(caller, reader, b"")
        while not reader.requests:
            data = receive_now(caller.socket, self._read_size(reader))
            if data is None:
                deadline_s = time.monotonic() + limits.idle_timeout_s
                if not reader.in_body:
                    deadline_s = head_deadline_s
                if not wait_readable(caller.socket, deadline_s - time.monotonic()):
                    reader.clear()
                    self._reject_request(
                        caller, 408, "timeout", "the request did not come in time"
                    )
                    return
                continue
            if reservation.evicted:
                raise OutOfMemory("evicted")
            if not data:
                return
            reservation.record_progress(len(data), time.monotonic())
            self._parse(caller, reader, data)
            if reader.expects_continue and reader.in_body:
                reader.expects_continue = False
                caller.write(CONTINUE_RESPONSE)

    def _read_size(self, reader: RequestParser) -> int:
        """Return how much to read, without what follows a body of known length."""
        size = COSTLY_PIECE_BYTES if reader.is_costly else REQUEST_READ_BYTES
        if not reader.in_body or reader.body_length is None:
            return size
        return min(size, reader.body_length - reader.body_bytes)

    def _parse(
        self, caller: CallerConnection, reader: RequestParser, data: bytes
    ) -> None:
        """Parse bytes, and account for what is held of the request."""
        was_in_body = reader.in_body
        self._feed(caller, reader, data)
        if reader.in_body and not was_in_body:
            self._decide_on_body(caller, reader)
            if reader.rest:
                self._feed(caller, reader, b"")
        if not caller.reservation.resize(reader.held_bytes):
            raise OutOfMemory("memory")

    def _feed(
        self, caller: CallerConnection, reader: RequestParser, data: bytes
    ) -> None:
        """Parse bytes, those of costly requests in turn with other connections."""
        reservation, in_body = caller.reservation, reader.in_body
        if not reader.is_costly:
            reader.feed(data)
            data = b""
        reservation.is_costly = reader.is_costly
        while reader.is_costly and reader.in_body == in_body and (data or reader.rest):
            with self.costly_turns.turn(reservation) as granted:
                if not granted:
                    raise OutOfMemory("evicted")
                reader.feed(data)
            data = b""
            if not reservation.resize(reader.held_bytes):
                raise OutOfMemory("memory")

    def _decide_on_body(self, caller: CallerConnection, reader: RequestParser) -> None:
        """Decide from the head what becomes of the body."""
        now_s, length = time.monotonic(), reader.body_length
        caller.reservation.begin_phase(Phase.BODY, now_s)
        if length is not None and length <= SMALL_BODY_BYTES:
            return
        message = reader.message
        if self.rejecting_requests or not self.needs_body(message, caller):
            message.stores_body = False
        elif not self.budget.takes(length or 0, now_s):
            self.budget.record_refusal("pressure", now_s)
            raise OutOfMemory("pressure")

    def _refuse_for_memory(
        self, caller: CallerConnection, reader: RequestParser, reason: str
    ) -> None:
        """Refuse a request that has not run, if that can be written at once."""
        held_bytes = caller.reservation.needed_bytes
        reader.clear()
        caller.reservation.close()
        self.refusal_log.record(
            "request refused for memory",
            server=self.name,
            reason=reason,
            held_bytes=held_bytes,
            phase=caller.reservation.phase,
            reserved_bytes=self.budget.reserved_bytes,
        )
        caller.begin_request(False)
        caller.write_deadline_s = time.monotonic()
        caller.send_error(503, "no_memory", OUT_OF_MEMORY_TEXT, RETRY_AFTER_S)
        self._lingering_close(caller)

    def _reject_request(
        self, caller: CallerConnection, status: int, code: str, text: str
    ) -> None:
        self.refusal_log.record("rejected", status=status, reason=text)
        caller.reservation.close()
        caller.begin_request(False)
        caller.send_error(status, code, text)
        self._lingering_close(caller)

    def _lingering_close(self, caller: CallerConnection) -> None:
        """Shut down writing, then drain input so that no reset loses the response."""
        connection = caller.socket
        caller.reservation.begin_phase(Phase.WRITING, time.monotonic())
        connection.shutdown(socket.SHUT_WR)
        deadline_s = time.monotonic() + LINGER_TIMEOUT_S
        while wait_readable(connection, deadline_s - time.monotonic()):
            if not connection.recv(REQUEST_READ_BYTES):
                return


def receive_now(connection: socket.socket, size: int) -> bytes | None:
    """Return what has arrived, empty at the end, or ``None`` if there is nothing."""
    try:
        return connection.recv(size, socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None


def has_data(connection: socket.socket) -> bool:
    """Return whether bytes have arrived that were not read yet."""
    try:
        return bool(connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def leave_alone() -> None:
    """Do nothing to a connection that has ended."""


def wake(connection: socket.socket, reservation: Reservation) -> None:
    """Wake the task of an evicted connection; it can still refuse its request."""
    unread = reservation.phase is Phase.WRITING
    try:
        connection.shutdown(socket.SHUT_RDWR if unread else socket.SHUT_RD)
    except OSError:
        pass
