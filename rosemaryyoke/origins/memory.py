"""What a host remembers of the origins of streams."""

import threading
from collections import OrderedDict
from typing import Iterable

from attrs import define, field, frozen

from rosemaryyoke.origins.rows import OriginRow

RETENTION_S = 60.0  # longer than callers resume a stream
MAX_ORIGINS = 16_384


@frozen
class KnownOrigin:
    """The origin of a stream, when the stream began, and whether it began here."""

    origin: int
    began_s: float
    is_own: bool


@define(eq=False)
class OriginMemory:
    """Origins by the keys of the requests that brought the first events."""

    origins: OrderedDict[int, KnownOrigin] = field(factory=OrderedDict)
    lock: threading.Lock = field(factory=threading.Lock)

    def record(self, request: int, origin: int, now_s: float, is_own: bool) -> None:
        """Remember an origin, unless it is known."""
        with self.lock:
            if request not in self.origins:
                self.origins[request] = KnownOrigin(origin, now_s, is_own)
            while len(self.origins) > MAX_ORIGINS:
                self.origins.popitem(last=False)

    def learn(self, rows: Iterable[OriginRow]) -> None:
        """Remember origins that another host told."""
        for row in rows:
            self.record(row.request, row.origin, row.began_s, is_own=False)

    def find(self, request: int, now_s: float) -> KnownOrigin | None:
        """Return the origin of a stream, if it is known and not too old."""
        with self.lock:
            known = self.origins.get(request)
        if known is None or now_s - known.began_s > RETENTION_S:
            return None
        return known

    def own_rows(self, now_s: float) -> list[OriginRow]:
        """Return the streams that began at this host and may still be resumed."""
        with self.lock:
            items = list(self.origins.items())
        return [
            OriginRow(request, known.origin, known.began_s)
            for request, known in items
            if known.is_own and now_s - known.began_s <= RETENTION_S
        ]

    def expire(self, now_s: float) -> None:
        """Forget the oldest origins."""
        with self.lock:
            while self.origins:
                oldest = next(iter(self.origins.values()))
                if now_s - oldest.began_s <= RETENTION_S:
                    return
                self.origins.popitem(last=False)
