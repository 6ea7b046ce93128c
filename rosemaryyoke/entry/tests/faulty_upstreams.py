"""An upstream process's stand-in whose responses have no end.

It serves as an engine and as a plain service. Each response is a head and as many bytes
as a body may have, almost, and then nothing more until the caller closes.
"""

import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import orjson

HELD_BYTES = 7 * 1024 * 1024  # less than the limit of any body
STALL_S = 20.0
LOAD = orjson.dumps({"incarnation": "i1", "weights": "v1"})
MODEL, SERVICE = "faulty", "faulty-records"


class FaultyHandler(BaseHTTPRequestHandler):
    """Answers load reports, and everything else without an end."""

    server: "FaultyUpstream"

    def do_GET(self) -> None:
        """Answer a load report, a probe, or the lookup of an outcome."""
        if self.path == "/load" and not self.server.reports_without_end:
            self.send_response(200)
            self.send_header("Content-Length", str(len(LOAD)))
            self.end_headers()
            self.wfile.write(LOAD)
            return
        self.send_without_end(200)

    def do_POST(self) -> None:
        """Answer a stream with an error, and a call of a service not at all."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path.startswith("/v1/"):
            self.send_without_end(500)
        self.close_connection = True

    def send_without_end(self, status: int) -> None:
        """Send a head and much of a body, and wait."""
        self.server.unbounded += 1
        self.send_response(status)
        self.end_headers()
        with suppress(OSError):
            self.wfile.write(b"x" * HELD_BYTES)
        self.server.released.wait(STALL_S)
        self.close_connection = True

    def log_message(self, format: str, *args) -> None:
        """Log nothing."""


class FaultyUpstream(ThreadingHTTPServer):
    """An engine and service; ``unbounded`` counts the responses without end."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), FaultyHandler)
        self.unbounded = 0
        self.reports_without_end = False
        self.released = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def rules_text(self) -> str:
        """Return rules that send a model and a service here."""
        address = f"127.0.0.1:{self.server_port}"
        where = f"address={address} data_centre=Kamloops"
        return (
            f"model name={MODEL} weights=v1 # Ana, faulty engine\n"
            f"route model={MODEL} ttft_ms=60000 # Ana, faulty engine\n"
            f"service name={SERVICE} unsafe=POST:/ lookup=/outcomes/{{key}} "
            "# Ana, faulty service\n"
            f"upstream name=faulty0 kind=engine {where} serves={MODEL} # Ana, new\n"
            f"upstream name=faulty1 kind=service {where} serves={SERVICE} # Ana, new\n"
        )

    def stop(self) -> None:
        """End all responses and stop listening."""
        self.released.set()
        self.shutdown()
        self.server_close()
