"""Callers' connections: one task for each, on a pool with a stated bound."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.core.pools import make_pool
from rosemaryyoke.exchanges.caller import CallerConnection, CallerGone
from rosemaryyoke.http1 import (
    Address,
    MalformedMessage,
    MessageLimits,
    MessageTooLarge,
    RequestMessage,
    RequestParser,
)
from rosemaryyoke.http1.sockets import (
    READ_BYTES,
    close,
    listen,
    set_tcp_options,
    wait_readable,
)

BACKLOG = 512
UNACKNOWLEDGED_S = 10.0
DRAIN_S = 0.5
LEAVING_RETRY_S = 0.02  # another host takes the request at once
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
OVERLOADED = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)

Handler = Callable[[RequestMessage, CallerConnection], None]


@define
class ReadingLimits:
    """What a caller may send, and how long it may take or stay idle."""

    message: MessageLimits = MessageLimits()
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@define(eq=False)
class ConnectionServer:
    """Accepts connections and serves each on a task of its own."""

    address: Address
    handler: Handler
    connections: int
    name: str = "callers"
    limits: Callable[[], ReadingLimits] = ReadingLimits
    closing: bool = False
    refusing: bool = False
    active: int = 0
    answering: int = 0
    accepted: int = 0
    idle: set[socket.socket] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)
    listener: socket.socket | None = None
    pool: ThreadPoolExecutor = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.pool = make_pool(self.name, self.connections)

    def start(self) -> None:
        """Listen, and accept on a thread of its own."""
        self.listener = listen(self.address, BACKLOG)
        thread = threading.Thread(
            target=self.accept, name=f"{self.name}-accept", daemon=True
        )
        thread.start()

    def stop(self) -> None:
        """Accept no more."""
        if self.listener is not None:
            close(self.listener)

    def close_after_answers(self) -> None:
        """Let every answer from now on be the last on its connection."""
        self.closing = True

    def refuse_requests(self) -> None:
        """Refuse every request that is read from now on."""
        self.refusing = True

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        with self.lock:
            idle = list(self.idle)
        for connection in idle:
            try:
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass

    def wait_idle(self, until_s: float) -> bool:
        """Wait until no request is under way; tell whether none is."""
        while self.answering and time.monotonic() < until_s:
            time.sleep(0.02)
        return self.answering == 0

    def accept(self) -> None:
        """Accept until the listener is closed."""
        while True:
            try:
                connection, peer = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            with self.lock:
                full = self.active >= self.connections
                if not full:
                    self.active += 1
            if full:
                self._turn_away(connection)
                continue
            self.pool.submit(self._serve, connection, peer[0])

    def _turn_away(self, connection: socket.socket) -> None:
        logging.warning(
            "connection refused server=%s active=%d", self.name, self.active
        )
        try:
            connection.send(OVERLOADED, socket.MSG_DONTWAIT)
        except OSError:
            pass
        close(connection)

    def _serve(self, connection: socket.socket, peer: str) -> None:
        try:
            set_tcp_options(connection, UNACKNOWLEDGED_S)
            self._converse(CallerConnection(connection, peer))
        except (CallerGone, OSError):
            pass
        except Exception:
            logging.exception("a connection's task failed")
        finally:
            close(connection)
            with self.lock:
                self.active -= 1

    def _converse(self, caller: CallerConnection) -> None:
        limits = self.limits()
        reader = RequestParser(limits.message)
        first = True
        while True:
            message = self._read(caller, reader, limits, first)
            if message is None:
                return
            first = False
            caller.begin_request(message.keep_alive and not self.closing)
            self._answer(message, caller)
            if not caller.keep_alive:
                self._close_softly(caller.socket)
                return

    def _answer(self, message: RequestMessage, caller: CallerConnection) -> None:
        with self.lock:
            self.answering += 1
        try:
            if self.refusing:
                caller.refuse(503, "leaving", "this host is leaving", LEAVING_RETRY_S)
                return
            self.handler(message, caller)
        except (CallerGone, OSError):
            raise
        except Exception:
            logging.exception("a request's handler failed")
            if caller.streaming or caller.answered:
                raise
            caller.keep_alive = False
            caller.refuse(502, "internal_error", "this host failed on the request")
        finally:
            with self.lock:
                self.answering -= 1

    def _read(
        self,
        caller: CallerConnection,
        reader: RequestParser,
        limits: ReadingLimits,
        first: bool,
    ) -> RequestMessage | None:
        """Return the connection's next request, or none at its end."""
        if not reader.requests:
            if not self._wait_first_byte(caller.socket, reader, limits, first):
                return None
            try:
                self._read_whole(caller, reader, limits)
            except MessageTooLarge as error:
                self._reject(caller, error.status, "too_large", str(error))
                return None
            except MalformedMessage as error:
                if not reader.requests:
                    self._reject(caller, 400, "malformed_request", str(error))
                    return None
        return reader.requests.popleft() if reader.requests else None

    def _wait_first_byte(
        self,
        connection: socket.socket,
        reader: RequestParser,
        limits: ReadingLimits,
        first: bool,
    ) -> bool:
        if reader.has_partial_request:
            return True
        wait_s = limits.head_timeout_s if first else limits.idle_timeout_s
        with self.lock:
            self.idle.add(connection)
        try:
            return wait_readable(connection, wait_s)
        finally:
            with self.lock:
                self.idle.discard(connection)

    def _read_whole(
        self, caller: CallerConnection, reader: RequestParser, limits: ReadingLimits
    ) -> None:
        head_until_s = time.monotonic() + limits.head_timeout_s
        while not reader.requests:
            until_s = time.monotonic() + limits.idle_timeout_s
            if not reader.in_body:
                until_s = head_until_s
            if not wait_readable(caller.socket, until_s - time.monotonic()):
                self._reject(caller, 408, "timeout", "the request did not come in time")
                return
            data = caller.socket.recv(READ_BYTES)
            if not data:
                return
            reader.feed(data)
            if reader.expects_continue and reader.in_body:
                reader.expects_continue = False
                caller.write(CONTINUE)

    def _reject(
        self, caller: CallerConnection, status: int, code: str, text: str
    ) -> None:
        logging.info("rejected status=%d reason=%s", status, text)
        caller.begin_request(False)
        caller.refuse(status, code, text)
        self._close_softly(caller.socket)

    def _close_softly(self, connection: socket.socket) -> None:
        """End the answer, and read what the caller still sends so that it arrives."""
        connection.shutdown(socket.SHUT_WR)
        until_s = time.monotonic() + DRAIN_S
        while wait_readable(connection, until_s - time.monotonic()):
            if not connection.recv(READ_BYTES):
                return
