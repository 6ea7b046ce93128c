"""Eras of the store, which may be restored from a copy that lacks its newest writes.

After a restore the store assigns the same revisions again, to other contents. A version
or position therefore combines the era, which rises with each restore, and the revision.
"""

import math
import threading
import time
from typing import Callable

from attrs import define, field

from rosemaryyoke.core.logs import log_event

REVISION_BITS = 40  # with 13 bits for the era, a version is exact as a JSON number
MAX_REVISION = (1 << REVISION_BITS) - 1


def boot_time_s() -> float:
    """Return seconds of CLOCK_BOOTTIME, which also advances during suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision; versions order by era, then by revision."""
    if not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"revision {revision} is out of range")
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era of a version; 0 if the store has no eras."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the store's revision of a version."""
    return version & MAX_REVISION


@define(eq=False)
class EraRecord:
    """The newest era of the store that this host knows of, and since when.

    All parts of a host share one record. Era 0 is that of a store that has never been
    restored; when it began does not matter.
    """

    current: int = 0
    learned_at_s: float = -math.inf
    now_s: Callable[[], float] = boot_time_s
    lock: threading.Lock = field(factory=threading.Lock)

    def learn(self, era: int, source: str) -> bool:
        """Record an era learned from ``source``; return whether it is a newer one."""
        if era <= self.current:
            return False
        with self.lock:
            known = self.current
            if era <= known:
                return False
            self.learned_at_s = self.now_s()
            self.current = era
        log_event("store era changed", old=known, new=era, source=source)
        return True

    def age_s(self) -> float:
        """Return how long this host has known of the current era."""
        return self.now_s() - self.learned_at_s
