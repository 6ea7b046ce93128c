"""Stand-in for a plain service: it records every run of a key."""

import itertools
import threading
import time

from attrs import define, field
from werkzeug.wrappers import Response

from rosemaryyoke.wire import Application, Exchange, error_response, json_response


@define
class ServiceFault:
    """How the service misbehaves: slow runs, answers lost after the run."""

    slow_ms: int = 0
    lose_every: int = 0


@define
class ServiceStandin:
    """State of the service and its HTTP application.

    ``runs`` holds the wall time of every run of a key.
    """

    name: str
    runs: dict[str, list[float]] = field(factory=dict)
    fault: ServiceFault = field(factory=ServiceFault)
    numbers: itertools.count = field(factory=lambda: itertools.count(1))
    lock: threading.Lock = field(factory=threading.Lock)

    def application(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.add_route("/control/fault", self.set_fault, "POST")
        app.add_route("/control/runs", self.show_runs, "GET")
        app.add_route("/load", self.show_load, "GET")
        app.add_route("/outcomes/<key>", self.look_up, "GET")
        app.add_route("/<path:path>", self.run, "POST", "PUT")
        app.add_route("/<path:path>", self.read, "GET")
        return app

    def run(self, exchange: Exchange, path: str) -> Response:
        """Run a call and record its key."""
        key = exchange.request.headers.get("Idempotency-Key", "")
        request = exchange.request.headers.get("X-Request-Id", "")
        with self.lock:
            number = next(self.numbers)
            self.runs.setdefault(key, []).append(time.time())
        if self.fault.slow_ms:
            time.sleep(self.fault.slow_ms / 1000)
        if self.fault.lose_every and number % self.fault.lose_every == 0:
            raise ConnectionError("the answer is lost")
        answer = {"service": self.name, "path": path, "number": number, "key": key}
        return json_response(answer, 201, {"X-Request-Id": request})

    def read(self, exchange: Exchange, path: str) -> Response:
        """Answer a call that may be repeated."""
        request = exchange.request.headers.get("X-Request-Id", "")
        answer = {"service": self.name, "path": path}
        return json_response(answer, 200, {"X-Request-Id": request})

    def look_up(self, exchange: Exchange, key: str) -> Response:
        """Tell whether a key ran."""
        with self.lock:
            ran = key in self.runs
        if not ran:
            return error_response(404, "not_found", "the key did not run")
        return json_response({"key": key, "ran": True})

    def show_load(self, exchange: Exchange) -> Response:
        """Return the load report."""
        return json_response({"accepting": True, "leaving": False})

    def show_runs(self, exchange: Exchange) -> Response:
        """Return the times of runs by key."""
        with self.lock:
            return json_response({"runs": self.runs})

    def set_fault(self, exchange: Exchange) -> Response:
        """Set how the service misbehaves."""
        self.fault = ServiceFault(**exchange.json())
        return json_response({})
