"""A shard of claims: one platform object that stores the claims of many keys."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from absl import logging
from result import Err, Ok, Result

from rosemaryyoke.calls.claim_entries import (
    AcquireClaim,
    ClaimChange,
    drop_expired,
    read_entries,
    write_entries,
)
from rosemaryyoke.objects import (
    Abandoned,
    ObjectApi,
    PlatformError,
    StoredObject,
    update_object,
)

FLUSH_INTERVAL_S = 0.02
MAX_SHARD_BYTES = 1_000_000
UPDATE_DEADLINE_S = 1.5


class ClaimShard:
    """One stored object of claims and the changes queued for its next write."""

    def __init__(self, name: str, api: ObjectApi):
        self.name = name
        self.api = api
        self.lock = threading.Lock()
        self.pending: list[ClaimChange] = []
        self.flushing = False
        self.cached: StoredObject | None = None
        self.writes = 0

    def enqueue(self, change: ClaimChange, pool: ThreadPoolExecutor) -> None:
        """Queue a change and start a flush unless one is running."""
        with self.lock:
            self.pending.append(change)
            if self.flushing:
                return
            self.flushing = True
        pool.submit(self.flush)

    def flush(self) -> None:
        """Write queued changes in batches until the queue is empty."""
        while True:
            with self.lock:
                batch, self.pending = self.pending, []
                if not batch:
                    self.flushing = False
                    return
            self.write(batch)
            time.sleep(FLUSH_INTERVAL_S)

    def write(self, batch: list[ClaimChange]) -> None:
        """Write a batch in one conditional update and complete its futures."""
        deadline_s = time.monotonic() + UPDATE_DEADLINE_S
        try:
            outcome = update_object(
                self.api,
                self.name,
                lambda stored: self._apply(batch, stored),
                lambda stored: self._is_applied(batch, stored),
                deadline_s,
                self._cached_object(batch),
            )
        except Exception as error:
            logging.exception("failed to write claim shard %s", self.name)
            outcome = Err(PlatformError(str(error), maybe_applied=True))
        self.writes += 1
        self._complete_futures(batch, outcome)

    def _cached_object(self, batch: list[ClaimChange]) -> StoredObject | None:
        """Return the cached object, or None if the batch needs a fresh read.

        Claiming a key that is already in the cached object needs one.
        """
        if self.cached is None:
            return None
        entries = read_entries(self.cached)
        if any(isinstance(c, AcquireClaim) and c.digest in entries for c in batch):
            return None
        return self.cached

    def _apply(
        self, batch: list[ClaimChange], stored: StoredObject | None
    ) -> bytes | None:
        entries = read_entries(stored)
        drop_expired(entries, time.time())
        changed = [change.apply(entries) for change in batch]
        if not any(changed):
            return None
        body = write_entries(entries)
        if len(body) > MAX_SHARD_BYTES:
            raise ValueError("the shard is full")
        return body

    def _is_applied(
        self, batch: list[ClaimChange], stored: StoredObject | None
    ) -> bool:
        """Return whether the whole batch was applied.

        Finding one of its changes is not enough: the same claim can also have been
        written by another host.
        """
        entries = read_entries(stored)
        return all(change.is_applied(entries) for change in batch)

    def _complete_futures(self, batch: list[ClaimChange], outcome: Result) -> None:
        if isinstance(outcome, Err):
            self.cached = None
            for change in batch:
                change.future.set_result(outcome)
            return
        stored = outcome.ok_value
        self.cached = stored.current if isinstance(stored, Abandoned) else stored
        for change in batch:
            change.future.set_result(Ok(change.result))
