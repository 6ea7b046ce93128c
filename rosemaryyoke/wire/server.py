"""HTTP server that runs each connection as a task on a bounded thread pool."""

import io
import socket
import socketserver
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Callable

from absl import logging
from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from rosemaryyoke.core.pools import make_pool
from rosemaryyoke.core.timer import TimerService

MAX_BODY_BYTES = 8 * 1024 * 1024
READ_DEADLINE_S = 10.0
DEADLINE_CHECK_INTERVAL_S = 0.5
WRITE_TIMEOUT_S = 30.0
LISTEN_BACKLOG = 512
ACCEPT_POLL_S = 0.1
MAX_HEADERS_BYTES = 32 * 1024
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

    def handle(self) -> None:
        """Serve the connection's one request."""
        self.server.start_read_deadline(self.connection)
        try:
            self.handle_one_request()
        except (ConnectionError, TimeoutError):
            self.close_connection = True
        finally:
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
        return self._read_body(int(content_lengths[0]) if content_lengths else 0)

    def _read_body(self, length: int) -> bool:
        if length > MAX_BODY_BYTES:
            return self._reject(413, f"the body is over {MAX_BODY_BYTES} bytes")
        body = self.rfile.read(length)
        if len(body) < length:
            self.close_connection = True
            return False
        self.rfile = io.BytesIO(body)
        self.server.clear_read_deadline(self.connection)
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
        self, address: str, port: int, app: Callable, max_connections: int, name="http"
    ):
        self.max_connections = max_connections
        self.pool: ThreadPoolExecutor = make_pool(name, max_connections)
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
        """Submit a connection to the pool, or reject it if the server is full."""
        with self.lock:
            full = self.active_connections >= self.max_connections
            if not full:
                self.active_connections += 1
        if full:
            self._reject(request)
            return
        self.pool.submit(self._serve_connection, request, client_address)

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
            self.shutdown_request(request)
            with self.lock:
                self.active_connections -= 1

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
