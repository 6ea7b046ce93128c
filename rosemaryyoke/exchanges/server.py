"""A server with one task per connection, on a bounded thread pool."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.core.pools import make_pool
from rosemaryyoke.exchanges.caller import (
    CallerConnection,
    CallerDisconnected,
    ResponseAborted,
)
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
TCP_USER_TIMEOUT_S = 10.0
LINGER_TIMEOUT_S = 0.5
ACCEPT_RETRY_S = 0.05
IDLE_POLL_S = 0.02
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)

Handler = Callable[[RequestMessage, CallerConnection], None]


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
    """Accepts connections and serves each in its own task."""

    address: Address
    handler: Handler
    max_connections: int
    name: str = "callers"
    limits: Callable[[], RequestLimits] = RequestLimits
    keep_alive_disabled: bool = False
    stopped: bool = False
    rejecting_requests: bool = False
    rejection_handler: Handler = reject_leaving
    open_connections: int = 0
    requests_in_progress: int = 0
    accepted_connections: int = 0
    idle_sockets: set[socket.socket] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)
    listener: socket.socket | None = None
    pool: ThreadPoolExecutor = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.pool = make_pool(self.name, self.max_connections)

    def start(self) -> None:
        """Listen, and accept connections in a new thread."""
        self.listener = listen(self.address, BACKLOG)
        thread = threading.Thread(
            target=self.accept, name=f"{self.name}-accept", daemon=True
        )
        thread.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self.stopped = True
        if self.listener is not None:
            close(self.listener)

    def disable_keep_alive(self) -> None:
        """Close every connection after its next response."""
        self.keep_alive_disabled = True

    def reject_new_requests(self) -> None:
        """Reject every request received from now on."""
        self.rejecting_requests = True

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

    def _reject_connection(self, connection: socket.socket) -> None:
        logging.warning(
            "connection refused server=%s active=%d", self.name, self.open_connections
        )
        try:
            connection.send(OVERLOADED_RESPONSE, socket.MSG_DONTWAIT)
        except OSError:
            pass
        close(connection)

    def _serve_connection(self, connection: socket.socket, peer: str) -> None:
        try:
            set_tcp_options(connection, TCP_USER_TIMEOUT_S)
            self._serve_requests(CallerConnection(connection, peer))
        except (CallerDisconnected, ResponseAborted):
            pass
        except OSError as error:
            logging.debug("connection lost server=%s error=%s", self.name, error)
        except Exception:
            logging.exception("a connection's task failed")
        finally:
            close(connection)
            with self.lock:
                self.open_connections -= 1

    def _serve_requests(self, caller: CallerConnection) -> None:
        limits = self.limits()
        reader = RequestParser(limits.message)
        first = True
        while True:
            message = self._next_request(caller, reader, limits, first)
            if message is None:
                return
            first = False
            caller.begin_request(message.keep_alive and not self.keep_alive_disabled)
            self._handle_request(message, caller)
            if not caller.keep_alive:
                self._lingering_close(caller.socket)
                return

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
            if not self._wait_first_byte(caller.socket, reader, limits, first):
                return None
            try:
                self._receive_request(caller, reader, limits)
            except MessageTooLarge as error:
                self._reject_request(caller, error.status, "too_large", str(error))
                return None
            except MalformedMessage as error:
                if not reader.requests:
                    self._reject_request(caller, 400, "malformed_request", str(error))
                    return None
        return reader.requests.popleft() if reader.requests else None

    def _wait_first_byte(
        self,
        connection: socket.socket,
        reader: RequestParser,
        limits: RequestLimits,
        first: bool,
    ) -> bool:
        if reader.has_partial_request:
            return True
        wait_s = limits.head_timeout_s if first else limits.idle_timeout_s
        with self.lock:
            self.idle_sockets.add(connection)
        try:
            return wait_readable(connection, wait_s)
        finally:
            with self.lock:
                self.idle_sockets.discard(connection)

    def _receive_request(
        self, caller: CallerConnection, reader: RequestParser, limits: RequestLimits
    ) -> None:
        head_deadline_s = time.monotonic() + limits.head_timeout_s
        while not reader.requests:
            deadline_s = time.monotonic() + limits.idle_timeout_s
            if not reader.in_body:
                deadline_s = head_deadline_s
            if not wait_readable(caller.socket, deadline_s - time.monotonic()):
                self._reject_request(
                    caller, 408, "timeout", "the request did not come in time"
                )
                return
            data = caller.socket.recv(READ_BYTES)
            if not data:
                return
            reader.feed(data)
            if reader.expects_continue and reader.in_body:
                reader.expects_continue = False
                caller.write(CONTINUE_RESPONSE)

    def _reject_request(
        self, caller: CallerConnection, status: int, code: str, text: str
    ) -> None:
        logging.info("rejected status=%d reason=%s", status, text)
        caller.begin_request(False)
        caller.send_error(status, code, text)
        self._lingering_close(caller.socket)

    def _lingering_close(self, connection: socket.socket) -> None:
        """Shut down writing, then drain input so that no reset loses the response."""
        connection.shutdown(socket.SHUT_WR)
        deadline_s = time.monotonic() + LINGER_TIMEOUT_S
        while wait_readable(connection, deadline_s - time.monotonic()):
            if not connection.recv(READ_BYTES):
                return
