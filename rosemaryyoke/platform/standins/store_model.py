"""Objects of the store's stand-in: a history that may be set back to an older copy."""

import threading
import time
from typing import Callable
from urllib.parse import parse_qs, urlsplit

import orjson
from attrs import define, field, frozen

WATCH_POLL_S = 0.01
FIRST_REVISION = 1
PAGE_SIZE = 500


@frozen
class HistoryEntry:
    """A change: its time, the revision that it was given, and the object."""

    at_s: float
    revision: int
    kind: str
    stored: dict
    removed: bool = False


@frozen
class StoreAnswer:
    """A response of the store, and the era in which it was given."""

    status: int
    value: dict
    era: int


@define(eq=False)
class StoreModel:
    """Store of objects by kind and name, with a global revision and a history.

    If ``down`` is set, a watch fails with ``OSError``, as it does when the store is
    restored meanwhile.
    """

    objects: dict[str, dict[str, dict]] = field(factory=dict)
    history: list[HistoryEntry] = field(factory=list)
    revision: int = FIRST_REVISION
    oldest_revision: int = 0
    era: int = 1
    page_size: int = PAGE_SIZE
    down: bool = False
    now_s: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep
    lock: threading.RLock = field(factory=threading.RLock)

    def set(self, kind: str, name: str, spec: object) -> dict:
        """Write an object unconditionally; an unchanged one keeps its revision."""
        with self.lock:
            existing = self.objects.setdefault(kind, {}).get(name)
            if existing is not None and existing["spec"] == spec:
                return existing
            metadata = {"name": name, "revision": self.revision + 1}
            stored = {"metadata": metadata, "spec": spec, "status": None}
            self.objects[kind][name] = stored
            self._record(kind, stored)
            return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.lock:
            self._record(kind, self.objects[kind].pop(name), removed=True)

    def _record(self, kind: str, stored: dict, removed: bool = False) -> None:
        self.revision += 1
        entry = HistoryEntry(self.now_s(), self.revision, kind, stored, removed)
        self.history.append(entry)

    def forget_history(self) -> None:
        """Discard the history, so that watches from earlier positions get 410."""
        with self.lock:
            self.oldest_revision = self.revision

    def restore(self, seconds: float) -> None:
        """Go back to a copy that is ``seconds`` old, and begin the next era.

        What was written since is gone, and its revisions are given out again.
        """
        with self.lock:
            copied_at_s = self.now_s() - seconds
            self.history = [i for i in self.history if i.at_s <= copied_at_s]
            self.objects = replay(self.history)
            last = self.history[-1].revision if self.history else FIRST_REVISION
            self.revision = last
            self.oldest_revision = min(self.oldest_revision, last)
            self.era += 1

    def call(self, method: str, target: str, body: bytes = b"") -> StoreAnswer:
        """Answer a call of the store's API."""
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix("/objects/").partition("/")
        if method == "GET" and "watch" in query:
            return self.watch(kind, int(query["watch"]), int(query["waitMs"]))
        with self.lock:
            if method == "DELETE":
                status, value = self._delete(kind, name, int(query["revision"]))
            elif method != "GET":
                status, value = self._write(method, kind, orjson.loads(body))
            elif name:
                stored = self.objects.get(kind, {}).get(name)
                status, value = (404, {}) if stored is None else (200, stored)
            else:
                status, value = 200, self._page(kind, query.get("after", ""))
            return StoreAnswer(status, value, self.era)

    def _delete(self, kind: str, name: str, revision: int) -> tuple[int, dict]:
        """Remove an object if its revision matches."""
        existing = self.objects.get(kind, {}).get(name)
        if existing is None:
            return 404, {}
        if existing["metadata"]["revision"] != revision:
            return 409, existing
        self.remove(kind, name)
        return 200, existing

    def _page(self, kind: str, after: str) -> dict:
        stored = self.objects.get(kind, {})
        names = sorted(name for name in stored if name > after)
        return {
            "items": [stored[name] for name in names[: self.page_size]],
            "hasMore": len(names) > self.page_size,
            "storeRevision": self.revision,
        }

    def _write(self, method: str, kind: str, document: dict) -> tuple[int, dict]:
        """Create an object, or replace it if its revision matches."""
        name = document["metadata"]["name"]
        existing = self.objects.get(kind, {}).get(name)
        if method == "POST" and existing is not None:
            return 409, existing
        if method == "PUT" and existing is None:
            return 404, {}
        revision = document["metadata"].get("revision")
        if method == "PUT" and existing["metadata"]["revision"] != revision:
            return 409, existing
        return 200, self.set(kind, name, document["spec"])

    def watch(self, kind: str, position: int, wait_ms: int) -> StoreAnswer:
        """Return the changes after a position, waiting until there are any."""
        deadline_s = self.now_s() + wait_ms / 1000
        era = self.era
        while True:
            with self.lock:
                if self.down or self.era != era:
                    raise OSError("store is down")
                if not self.oldest_revision <= position <= self.revision:
                    return StoreAnswer(410, {}, era)
                events = [
                    {"object": entry.stored, "deleted": entry.removed}
                    for entry in self.history
                    if entry.kind == kind and entry.revision > position
                ]
                value = {"events": events, "storeRevision": self.revision}
            if events or self.now_s() >= deadline_s:
                return StoreAnswer(200, value, era)
            self.sleep(WATCH_POLL_S)


def replay(history: list[HistoryEntry]) -> dict[str, dict[str, dict]]:
    """Return the objects by kind and name that a history leads to."""
    objects: dict[str, dict[str, dict]] = {}
    for entry in history:
        name = entry.stored["metadata"]["name"]
        if entry.removed:
            objects[entry.kind].pop(name)
        else:
            objects.setdefault(entry.kind, {})[name] = entry.stored
    return objects
