"""Stand-in for the platform: objects with versions, watches, a list of hosts.

Faults are set by ``POST /control/fault``: ``down``, ``slow_ms`` and ``lose_answers``,
the share of changes whose answer is lost after they took effect, and ``list_lag_s``, by
which the list of hosts lags.
"""

import random
import threading
import time
from collections import Counter

from attrs import asdict, define, field, frozen
from werkzeug.wrappers import Response

from rosemaryyoke.objects.objects import Change, ListedHost
from rosemaryyoke.wire import Application, Exchange, error_response, json_response

MAX_OBJECT_BYTES = 1024 * 1024
GONE = "gone"


@define
class Fault:
    """How the platform misbehaves."""

    down: bool = False
    slow_ms: int = 0
    lose_answers: float = 0.0
    list_lag_s: float = 0.0


@define
class _Stored:
    version: int
    body: bytes


@frozen
class ListChange:
    """An entry of the list of hosts, and from when on it shows."""

    visible_s: float
    host: ListedHost


@define
class PlatformStandin:
    """State of the platform and its HTTP application."""

    seed: int = 0
    objects: dict[str, _Stored] = field(factory=dict)
    deleted: dict[str, int] = field(factory=dict)
    hosts: dict[str, ListedHost] = field(factory=dict)
    list_changes: list[ListChange] = field(factory=list)
    counts: Counter = field(factory=Counter)
    fault: Fault = field(factory=Fault)
    version: int = 0
    changed: threading.Condition = field(factory=threading.Condition)
    generator: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.generator = random.Random(self.seed)

    def application(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.add_route("/objects/<path:name>", self.get, "GET")
        app.add_route("/objects/<path:name>", self.put, "PUT")
        app.add_route("/objects/<path:name>", self.delete, "DELETE")
        app.add_route("/objects", self.list_names, "GET")
        app.add_route("/watch", self.watch, "GET")
        app.add_route("/hosts", self.list_hosts, "GET")
        app.add_route("/control/hosts", self.set_hosts, "POST")
        app.add_route("/control/fault", self.set_fault, "POST")
        app.add_route("/control/counts", self.show_counts, "GET")
        return app

    def enter(self, kind: str) -> None:
        """Count a call and let it meet the fault that is set."""
        with self.changed:
            self.counts[kind] += 1
        if self.fault.slow_ms:
            time.sleep(self.fault.slow_ms / 1000)
        if self.fault.down:
            raise ConnectionError("the platform is down")

    def leave_changed(self) -> None:
        """Lose the answer of a change now and then."""
        if self.fault.down or self.generator.random() < self.fault.lose_answers:
            raise ConnectionError("the answer is lost")

    def get(self, exchange: Exchange, name: str) -> Response:
        """Return an object with its version in ETag."""
        self.enter("read")
        with self.changed:
            stored = self.objects.get(name)
        if stored is None:
            return error_response(404, "not_found", "no such object")
        return Response(stored.body, headers={"ETag": str(stored.version)})

    def put(self, exchange: Exchange, name: str) -> Response:
        """Write an object under a condition."""
        self.enter("write")
        body = exchange.body()
        if len(body) > MAX_OBJECT_BYTES:
            return error_response(413, "too_large", "the object is over a megabyte")
        with self.changed:
            if not self._holds(exchange, name):
                return error_response(412, "conflict", "the version differs")
            self.version += 1
            version = self.version
            self.objects[name] = _Stored(version, body)
            self.changed.notify_all()
        self.leave_changed()
        return Response(b"", headers={"ETag": str(version)})

    def delete(self, exchange: Exchange, name: str) -> Response:
        """Delete an object under a condition."""
        self.enter("write")
        with self.changed:
            if name not in self.objects or not self._holds(exchange, name):
                return error_response(412, "conflict", "the version differs")
            self.version += 1
            del self.objects[name]
            self.deleted[name] = self.version
            self.changed.notify_all()
        self.leave_changed()
        return Response(b"")

    def _holds(self, exchange: Exchange, name: str) -> bool:
        stored = self.objects.get(name)
        if exchange.request.headers.get("If-None-Match") == "*":
            return stored is None
        expected = exchange.request.headers.get("If-Match", "")
        return stored is not None and str(stored.version) == expected

    def list_names(self, exchange: Exchange) -> Response:
        """Return the names and versions under a prefix."""
        self.enter("list")
        prefix = exchange.request.args.get("prefix", "")
        return json_response({"objects": self._changes(prefix, 0)})

    def watch(self, exchange: Exchange) -> Response:
        """Wait for changes under a prefix after a position."""
        self.enter("watch")
        prefix = exchange.request.args.get("prefix", "")
        after = int(exchange.request.args.get("after", "0"))
        deadline = time.monotonic() + float(exchange.request.args.get("wait", "10"))
        with self.changed:
            while True:
                changes = self._changes(prefix, after)
                left_s = deadline - time.monotonic()
                if changes or left_s <= 0 or self.fault.down:
                    break
                self.changed.wait(left_s)
            position = self.version
        if self.fault.down:
            raise ConnectionError("the platform is down")
        return json_response({"position": position, "changes": changes})

    def _changes(self, prefix: str, after: int) -> list[dict]:
        return [
            asdict(Change(name, stored.version))
            for name, stored in self.objects.items()
            if name.startswith(prefix) and stored.version > after
        ]

    def list_hosts(self, exchange: Exchange) -> Response:
        """Return the list of live and leaving hosts."""
        self.enter("hosts")
        with self.changed:
            self._show_changes()
            return json_response({"hosts": [asdict(h) for h in self.hosts.values()]})

    def _show_changes(self) -> None:
        """Put the changes on the list that are due."""
        now = time.monotonic()
        due = [change for change in self.list_changes if change.visible_s <= now]
        self.list_changes = [c for c in self.list_changes if c.visible_s > now]
        for change in due:
            if change.host.state == GONE:
                self.hosts.pop(change.host.name, None)
            else:
                self.hosts[change.host.name] = change.host

    def set_hosts(self, exchange: Exchange) -> Response:
        """Take in entries of the list of hosts; state ``gone`` drops one."""
        visible_s = time.monotonic() + self.fault.list_lag_s
        with self.changed:
            for item in exchange.json()["hosts"]:
                self.list_changes.append(ListChange(visible_s, ListedHost(**item)))
        return json_response({})

    def set_fault(self, exchange: Exchange) -> Response:
        """Set how the platform misbehaves."""
        self.fault = Fault(**exchange.json())
        with self.changed:
            self.changed.notify_all()
        return json_response({})

    def show_counts(self, exchange: Exchange) -> Response:
        """Return the number of calls by kind."""
        with self.changed:
            return json_response(dict(self.counts))
