"""HTTP server that runs each connection as a task on a bounded thread pool."""

import socket
import socketserver
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from typing import Callable

from absl import logging
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from rosemaryyoke.core.pools import make_pool
from rosemaryyoke.core.timer import TimerService
from rosemaryyoke.memory import MemoryBudget, Phase, Reservation
from rosemaryyoke.wire.errors import RequestRefused
from rosemaryyoke.wire.intake import (
    MAX_HEADERS_BYTES,
    REFUSAL_WRITE_S,
    RequestReader,
    ResponseWriter,
)
from rosemaryyoke.wire.limits import ServerLimits

MAX_BODY_BYTES = 8 * 1024 * 1024
READ_DEADLINE_S = 10.0
DEADLINE_CHECK_INTERVAL_S = 0.5
WRITE_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 512
ACCEPT_POLL_S = 0.1
LOG_PERIOD_S = 5
OVERLOADED_BODY = (
    b'{"error":{"message":"the host has no free connection","type":"overloaded",'
    b'"code":"too_many_connections","retry_after_s":1}}'
)
OVERLOADED_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
    b"Retry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s"
    % (len(OVERLOADED_BODY), OVERLOADED_BODY)
)


class RequestHandler(WSGIRequestHandler):
    """Read one complete request within a deadline and run the application on it."""

    protocol_version = "HTTP/1.1"
    wbufsize = 0
    disable_nagle_algorithm = True
    timeout = WRITE_TIMEOUT_S
    server_version = "rosemaryyoke"
    sys_version = ""

    def setup(self) -> None:
        """Read and write within the connection's reservation of memory."""
        self.connection = self.request
        self.connection.settimeout(self.timeout)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        self.reservation = self.server.reservation_of(self.connection)
        self.rfile = RequestReader(self.connection, self.reservation)
        self.wfile = ResponseWriter(self.connection, self.reservation)

    def finish(self) -> None:
        """Do nothing; nothing is buffered, and the server closes the connection."""

    def handle(self) -> None:
        """Serve the connection's one request."""
        self.server.start_read_deadline(self.connection)
        try:
            self.handle_one_request()
            if self.rfile.unread_bytes and not self.rfile.ended:
                self.connection.shutdown(socket.SHUT_WR)
                self.rfile.discard()
        except RequestRefused:  # evicted within the head
            self.connection.settimeout(REFUSAL_WRITE_S)
            with suppress(OSError):
                self.connection.sendall(OVERLOADED_RESPONSE)
        except (ConnectionError, TimeoutError):
            self.close_connection = True
        except OSError as error:
            logging.debug("connection lost: %s", error)
        finally:
            self.server.clear_read_deadline(self.connection)

    def handle_expect_100(self) -> bool:
        """Ask for the body only once a handler reads it."""
        return True

    def make_environ(self) -> dict:
        """Return the environment of the application, with the reader of the body."""
        environ = super().make_environ()
        environ["rosemaryyoke.reader"] = self.rfile
        environ["rosemaryyoke.body_read"] = self.clear_deadline
        return environ

    def clear_deadline(self) -> None:
        """End the read deadline: the request has been read."""
        self.server.clear_read_deadline(self.connection)

    def parse_request(self) -> bool:
        """Parse the headers; reject messages whose framing is ambiguous.

        Two parsers that frame a message differently permit request smuggling.
        """
        if not super().parse_request():
            return False
        content_lengths = self.headers.get_all("Content-Length", [])
        header_names = self.headers.keys()
        if any(name != name.strip() or "_" in name for name in header_names):
            return self._reject(400, "a header's name is malformed")
        if self.headers.get_all("Transfer-Encoding"):
            return self._reject(411, "a Content-Length is needed")
        if len(content_lengths) > 1 or any(
            not _is_content_length(value) for value in content_lengths
        ):
            return self._reject(400, "the Content-Length is malformed")
        if sum(len(name) + len(self.headers[name]) for name in header_names) > (
            MAX_HEADERS_BYTES
        ):
            return self._reject(431, "the headers are too large")
        length = int(content_lengths[0]) if content_lengths else 0
        if length > MAX_BODY_BYTES:
            return self._reject(413, f"the body is over {MAX_BODY_BYTES} bytes")
        expects_continue = self.headers.get("Expect", "").lower() == "100-continue"
        # Otherwise the WSGI server would ask for the body before the handler runs.
        del self.headers["Expect"]
        self.rfile.begin_body(length, expects_continue)
        if not length:
            self.clear_deadline()
        return True

    def _reject(self, status: int, message: str) -> bool:
        self.send_error(status, message)
        return False

    def send_error(self, code: int, message: str = "", explain: str = "") -> None:
        """Respond to a malformed request with an error in the API's format."""
        text = str(message or code).replace('"', "'").replace("\\", "")
        printable = "".join(char for char in text if char.isprintable())
        body = (
            f'{{"error":{{"message":"{printable}","type":"invalid_request_error",'
            f'"code":"malformed_request","not_run":true}}}}'
        ).encode()
        # What the caller still sends is dropped; a reset would hide the response.
        self.rfile.unread_bytes = self.rfile.unread_bytes or MAX_BODY_BYTES
        self.request_version = self.protocol_version
        self.send_response(code)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()
        self.close_connection = True

    def log_request(self, code: int | str = "-", size: int | str = "-") -> None:
        """Log nothing; requests are reported by metrics and events."""

    def connection_dropped(self, error: BaseException, environ=None) -> None:
        """Do nothing; a disconnected caller ends its request."""


def _is_content_length(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 16


class HttpServer(BaseWSGIServer):
    """Accept connections and run each as a task, up to ``max_connections``."""

    request_queue_size = LISTEN_BACKLOG
    allow_reuse_address = True

    def __init__(
        self,
        address: str,
        port: int,
        app: Callable,
        limits: ServerLimits | int,
        name: str = "http",
    ):
        if isinstance(limits, int):
            limits = ServerLimits(limits)
        self.limits = limits
        self.max_connections = limits.max_connections
        # The tasks of evicted connections end while those that replace them begin.
        self.pool: ThreadPoolExecutor = make_pool(name, 2 * self.max_connections)
        self.budget = MemoryBudget(limits.budget_bytes)
        self.open: dict[socket.socket, Reservation] = {}
        self.without_slot: set[Reservation] = set()  # evicted, and not ended yet
        self.active_connections = 0
        self.rejected_connections = 0
        self.deadlines: dict[socket.socket, float] = {}
        self.lock = threading.Lock()
        super().__init__(address, port, app, handler=RequestHandler)
        self.thread = threading.Thread(
            target=self.serve_forever, name=f"{name}-accept", daemon=True
        )

    def serve_forever(self, poll_interval: float = ACCEPT_POLL_S) -> None:
        """Accept until shut down; leave the socket open to drain its backlog."""
        socketserver.BaseServer.serve_forever(self, poll_interval)

    def server_bind(self) -> None:
        """Bind with a receive buffer that accepted connections inherit."""
        size = self.limits.receive_buffer_bytes
        if size:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        super().server_bind()

    def log_startup(self) -> None:
        """Log nothing; the process logs its own start."""

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self.thread.start()

    def schedule_deadline_checks(self, timer: TimerService) -> None:
        """Periodically close connections that miss their read deadline."""
        timer.every(DEADLINE_CHECK_INTERVAL_S, self.close_expired)

    def stop_accepting(self) -> None:
        """Accept the connections in the backlog, then close the listening socket."""
        self.shutdown()
        self._drain_backlog()
        self.socket.close()

    def stop(self, wait_s: float = 0.0) -> bool:
        """Stop accepting and wait for active tasks; return whether all finished."""
        self.stop_accepting()
        return self.wait_idle(wait_s)

    def wait_idle(self, wait_s: float) -> bool:
        """Wait for active tasks; return whether all finished."""
        deadline = time.monotonic() + wait_s
        while self.active_connections and time.monotonic() < deadline:
            time.sleep(0.02)
        self.pool.shutdown(wait=False, cancel_futures=True)
        return self.active_connections == 0

    def _drain_backlog(self) -> None:
        self.socket.settimeout(0)
        while True:
            try:
                request, client = self.socket.accept()
            except OSError:
                return
            request.setblocking(True)
            self.process_request(request, client)

    def process_request(self, request: socket.socket, client_address) -> None:
        """Submit a connection to the pool, or reject it if the server is full.

        A connection without progress loses its slot to a new one.
        """
        reservation = self.budget.reserve(lambda: self._wake(request))
        with self.lock:
            victim = None
            full = self.active_connections >= self.max_connections
            if full:
                victim = self._choose_victim()
            if not full or victim is not None:
                self.active_connections += 1
                self.open[request] = reservation
        if victim is not None:
            self._report("evicted", victim.phase)
            victim.evict()
        elif full:
            self.budget.refusals["connections"] += 1
            self._report("refused", "connections")
            self._reject(request)
            return
        try:
            self.pool.submit(self._serve_connection, request, client_address)
        except RuntimeError as error:  # no thread can be started
            logging.warning("no task for a connection: %s", error)
            self._close(request)

    def _choose_victim(self) -> Reservation | None:
        """Return the connection that loses its slot, marked as evicted."""
        holders = list(self.open.values())
        victim = self.budget.evict_for_connection(
            holders, time.monotonic(), READ_DEADLINE_S
        )
        if victim is not None:
            self.without_slot.add(victim)
            self.active_connections -= 1
        return victim

    def _wake(self, request: socket.socket) -> None:
        """Let the task of an evicted connection notice that it has ended."""
        reservation = self.open.get(request)
        if reservation is None:
            return
        reading = reservation.phase in (Phase.HEAD, Phase.BODY)
        try:
            # Of a request that is read, the refusal can still be written.
            request.shutdown(socket.SHUT_RD if reading else socket.SHUT_RDWR)
        except OSError:
            pass

    def reservation_of(self, request: socket.socket) -> Reservation:
        """Return the memory that is reserved for a connection."""
        return self.open[request]

    def _report(self, event: str, reason: str) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            "connection %s reason=%s open=%d reserved_bytes=%d",
            LOG_PERIOD_S,
            event,
            reason,
            self.active_connections,
            self.budget.reserved_bytes,
        )

    def _reject(self, request: socket.socket) -> None:
        self.rejected_connections += 1
        try:
            request.settimeout(0.1)
            request.sendall(OVERLOADED_RESPONSE)
            request.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        request.close()

    def _serve_connection(self, request: socket.socket, client_address) -> None:
        try:
            self.finish_request(request, client_address)
        except (ConnectionError, TimeoutError):
            pass
        except Exception:
            logging.exception("connection task failed")
        finally:
            self._close(request)

    def _close(self, request: socket.socket) -> None:
        self.shutdown_request(request)
        with self.lock:
            reservation = self.open.pop(request)
            if reservation in self.without_slot:
                self.without_slot.remove(reservation)
            else:
                self.active_connections -= 1
        reservation.close()

    def start_read_deadline(self, connection: socket.socket) -> None:
        """Set the time by which the connection's request must be read."""
        with self.lock:
            self.deadlines[connection] = time.monotonic() + READ_DEADLINE_S

    def clear_read_deadline(self, connection: socket.socket) -> None:
        """Remove the connection's read deadline."""
        with self.lock:
            self.deadlines.pop(connection, None)

    def close_expired(self) -> None:
        """Shut down connections that are past their read deadline."""
        now = time.monotonic()
        with self.lock:
            expired = [
                connection
                for connection, deadline in self.deadlines.items()
                if deadline < now
            ]
        for connection in expired:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
