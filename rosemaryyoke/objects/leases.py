"""Leases stored as platform objects, with the object version as fencing token.

Expiry uses a clock that keeps running while the process is stopped or the machine is
suspended. Fencing tokens follow the sequencers of Burrows, "The Chubby lock service",
2006.
"""

import secrets
import threading
import time

import orjson
from attrs import define, field
from result import Err

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.objects.objects import ObjectApi, StoredObject

DEFAULT_DURATION_S = 6.0
RENEW_AFTER_FRACTION = 1 / 3


def now_s() -> float:
    """Return seconds of CLOCK_BOOTTIME, which also advances during suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


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
    token: str = field(factory=lambda: secrets.token_hex(12))
    version: int = 0
    expires_at_s: float = 0.0
    acquired_at_s: float = 0.0
    unconfirmed_since_s: float = 0.0
    writes: int = 0
    observed_version: int = -1
    observed_at_s: float = 0.0
    lock: threading.Lock = field(factory=threading.Lock)

    def remaining_s(self) -> float:
        """Return how long this process is still guaranteed to hold the lease."""
        return max(0.0, self.expires_at_s - now_s())

    @property
    def fencing_token(self) -> int:
        """Return the fencing token of the held lease."""
        return self.version

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
            return self.remaining_s() > 0
        self._record_held(written.ok_value, started_at_s)
        return True

    def _try_acquire(self) -> bool:
        started_at_s = now_s()
        read = self.api.get(self.name)
        if isinstance(read, Err):
            return False
        stored = read.ok_value
        if not self._is_available(stored, started_at_s):
            return False
        self.token = secrets.token_hex(12)
        version = stored.version if stored else 0
        written = self.api.put(self.name, self._encode_body(), version)
        if isinstance(written, Err):
            return False
        self.acquired_at_s = started_at_s
        self._record_held(written.ok_value, started_at_s)
        log_event("lease acquired", lease=self.name, fencing=self.fencing_token)
        return True

    def _is_available(self, stored: StoredObject | None, at_s: float) -> bool:
        """Return whether the lease has gone unrenewed for its whole duration.

        If the stored version is the last one written by this process, no other process
        has acquired the lease since.
        """
        if stored is None or stored.version == self.version:
            return True
        if stored.version != self.observed_version:
            self.observed_version = stored.version
            self.observed_at_s = at_s
            return False
        return at_s - self.observed_at_s > self.duration_s

    def _confirm_renewal(self, started_at_s: float) -> None:
        """Read the lease back to check whether an unanswered renewal took effect."""
        read = self.api.get(self.name)
        if isinstance(read, Err) or read.ok_value is None:
            return
        if orjson.loads(read.ok_value.body)["token"] == self.token:
            self._record_held(read.ok_value.version, started_at_s)
        else:
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
