"""Leases stored as platform objects, with the object version as fencing token.

Expiry uses a clock that keeps running while the process is stopped or the machine is
suspended. Fencing tokens follow the sequencers of Burrows, "The Chubby lock service",
2006.

A store that is restored from a copy may lose a lease and hand it out again. So a lease
ends with the era in which it was written, and a process that learns of a new era, or
that has just started, acquires none before a whole duration has passed: by then every
lease of the era before has expired.
"""

import secrets
import threading

import orjson
from attrs import define, field
from result import Err

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.objects.eras import EraRecord, boot_time_s, era_of
from rosemaryyoke.objects.objects import ObjectApi, StoredObject

DEFAULT_DURATION_S = 6.0
RENEW_AFTER_FRACTION = 1 / 3


now_s = boot_time_s


def token_of(stored: StoredObject) -> str | None:
    """Return the token of who wrote a lease last, or ``None`` if it is malformed."""
    try:
        return orjson.loads(stored.body)["token"]
    except (KeyError, TypeError, ValueError):
        return None


@define(eq=False)
class Lease:
    """Local state of a process for one lease.

    ``acquired_at_s`` is when this process acquired the lease; any previous lease had
    expired by then. ``renew_after_s`` is the lease age at which renewal is due, by
    default a third of the duration. ``unconfirmed_since_s`` is the start of the first
    renewal that failed and may still have taken effect; other processes may measure
    the duration from then.
    """

    api: ObjectApi
    name: str
    holder: str
    duration_s: float = DEFAULT_DURATION_S
    renew_after_s: float = 0.0
    eras: EraRecord = field(factory=EraRecord)
    token: str = field(factory=lambda: secrets.token_hex(12))
    version: int = 0
    expires_at_s: float = 0.0
    acquired_at_s: float = 0.0
    unconfirmed_since_s: float = 0.0
    writes: int = 0
    observed_version: int = -1
    observed_at_s: float = 0.0
    observed_era: int = -1
    lock: threading.Lock = field(factory=threading.Lock)

    def remaining_s(self) -> float:
        """Return how long this process is still guaranteed to hold the lease."""
        if self._is_void():
            return 0.0
        return max(0.0, self.expires_at_s - now_s())

    @property
    def fencing_token(self) -> int:
        """Return the fencing token of the held lease."""
        return self.version

    def _is_void(self) -> bool:
        return era_of(self.version) != self.eras.current

    def acquire(self) -> bool:
        """Acquire or renew the lease and return whether it is held."""
        with self.lock:
            if self.remaining_s() > 0:
                renew_after_s = (
                    self.renew_after_s or self.duration_s * RENEW_AFTER_FRACTION
                )
                if self.remaining_s() > self.duration_s - renew_after_s:
                    return True
                return self._renew()
            return self._try_acquire()

    def observe(self) -> None:
        """Read a lease that is not held, from when on it may expire."""
        with self.lock:
            if self.remaining_s() > 0:
                return
            read = self.api.get(self.name)
            if not isinstance(read, Err):
                self._is_available(read.ok_value, now_s())

    def _renew(self) -> bool:
        started_at_s = now_s()
        written = self.api.put(self.name, self._encode_body(), self.version)
        if isinstance(written, Err):
            if not self.unconfirmed_since_s:
                log_event(
                    "lease renewal unconfirmed",
                    lease=self.name,
                    left_s=round(self.remaining_s(), 3),
                )
            self.unconfirmed_since_s = self.unconfirmed_since_s or started_at_s
            if written.err_value.conflict:
                self._confirm_renewal(self.unconfirmed_since_s)
        elif era_of(written.ok_value) == era_of(self.version):
            self._record_held(written.ok_value, started_at_s)
        else:
            self._record_lost()
        return self.remaining_s() > 0

    def _try_acquire(self) -> bool:
        started_at_s = now_s()
        if self._waits_for_era() and self.observed_era == self.eras.current:
            return False
        read = self.api.get(self.name)
        if isinstance(read, Err):
            return False
        era = self.observed_era = self.eras.current
        stored = read.ok_value
        if not self._is_available(stored, now_s()):
            return False
        self.token = secrets.token_hex(12)
        version = stored.version if stored else 0
        written = self.api.put(self.name, self._encode_body(), version)
        if isinstance(written, Err) or era_of(written.ok_value) != era:
            return False
        self.acquired_at_s = started_at_s
        self._record_held(written.ok_value, started_at_s)
        log_event("lease acquired", lease=self.name, fencing=self.fencing_token)
        return True

    def _waits_for_era(self) -> bool:
        """Return whether a lease of an older era may not have expired yet."""
        return self.eras.age_s() <= self.duration_s

    def _is_available(self, stored: StoredObject | None, at_s: float) -> bool:
        """Return whether the lease has gone unrenewed for its whole duration.

        If the stored version is the last one written by this process, no other process
        has acquired the lease since.
        """
        if stored is not None and stored.version != self.version:
            if stored.version != self.observed_version:
                self.observed_version = stored.version
                self.observed_at_s = at_s
                return False
            if at_s - self.observed_at_s <= self.duration_s:
                return False
        return not self._waits_for_era()

    def _confirm_renewal(self, started_at_s: float) -> None:
        """Read the lease back to check whether an unanswered renewal took effect."""
        if self._is_void():
            self._record_lost()
            return
        read = self.api.get(self.name)
        if isinstance(read, Err) or read.ok_value is None:
            return
        stored = read.ok_value
        is_same_era = era_of(stored.version) == era_of(self.version)
        if is_same_era and token_of(stored) == self.token:
            self._record_held(stored.version, started_at_s)
        else:
            self._record_lost()

    def _record_lost(self) -> None:
        self.expires_at_s = 0.0
        log_event("lease lost", lease=self.name, fencing=self.fencing_token)

    def _record_held(self, version: int, started_at_s: float) -> None:
        self.version = version
        self.unconfirmed_since_s = 0.0
        self.expires_at_s = started_at_s + self.duration_s

    def _encode_body(self) -> bytes:
        """Return a body that differs from the last one.

        A store may ignore a write that leaves the body unchanged.
        """
        self.writes += 1
        return orjson.dumps(
            {"holder": self.holder, "token": self.token, "writes": self.writes}
        )
