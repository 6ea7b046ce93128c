"""Checks with the store that this host knows all software versions that serve.

The view of a host that was cut off, suspended or has just started is old without any
sign of it. Only a read that began after a request had arrived shows every upstream at
which the request's stream may have begun.
"""

import math
import threading
import time
from typing import Callable

from absl import logging
from attrs import define, field
from result import Err, Ok, Result

from rosemaryyoke.catalog import Catalog, CatalogSource
from rosemaryyoke.objects.feed import FeedError
from rosemaryyoke.objects.objects import StoredObject

NO_WAIT_S = 0.0

ServiceVersion = tuple[str, str]  # the names of a service and of a software version


@define(eq=False)
class VersionCheck:
    """Reads the registrations that changed since this host's view of the store.

    Concurrent callers share a read. ``reaches_store`` tells whether the last call
    succeeded, ``record_call`` takes the outcome of this one, and ``on_versions`` the
    versions that it found. Times are those of the monotonic clock.
    """

    source: CatalogSource
    catalog: Catalog
    reaches_store: Callable[[], bool]
    record_call: Callable[[bool], None]
    on_versions: Callable[[set[ServiceVersion]], None]
    position: int | None = None
    succeeded_from_s: float = -math.inf
    failed_from_s: float = -math.inf
    lock: threading.Lock = field(factory=threading.Lock)

    def read(self, since_s: float) -> bool:
        """Read what has been registered, unless a read began after ``since_s``.

        Return whether the store answered.
        """
        with self.lock:
            if self.succeeded_from_s >= since_s:
                return True
            if self.failed_from_s >= since_s or not self.may_call():
                return False
            started_s = time.monotonic()
            found = self._read_store()
            self.record_call(not isinstance(found, Err))
            if isinstance(found, Err):
                self.failed_from_s = started_s
                logging.warning("reading registrations failed: %s", found.err_value)
                return False
            self.on_versions(self._decode(found.ok_value))
            self.succeeded_from_s = started_s
            return True

    def may_call(self) -> bool:
        """Return whether the store is likely to answer this host."""
        return self.catalog.is_fresh() and self.reaches_store()

    def _read_store(self) -> Result[list[StoredObject], FeedError]:
        """Return the registrations that changed since the newest known position."""
        feed, kind = self.source.feed, self.source.upstreams_kind
        known = [
            position
            for position in (self.position, self.catalog.upstreams_position)
            if position is not None
        ]
        if known:
            watched = feed.watch(kind, max(known), NO_WAIT_S)
            if not isinstance(watched, Err):
                self.position = watched.ok_value.position
                return Ok([change.object for change in watched.ok_value.changes])
            if not watched.err_value.history_gone:
                return watched
        listed = feed.list(kind)
        if isinstance(listed, Err):
            return listed
        self.position = listed.ok_value.position
        return Ok(listed.ok_value.objects)

    def _decode(self, objects: list[StoredObject]) -> set[ServiceVersion]:
        decoded = [self.source.decode_upstream(stored) for stored in objects]
        upstreams = [item.ok_value for item in decoded if not isinstance(item, Err)]
        return {(item.service, item.software) for item in upstreams}
