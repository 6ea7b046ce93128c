"""The software versions that the upstreams of each service had lately."""

import threading
import time
from typing import Callable, Iterable

from attrs import define, field

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.origins.memory import RETENTION_S

# Versions that a host learns of this close together may have served before.
SAME_TIME_S = 1.0
# Streams that began before the second version came are resumed within this time.
EARLIER_VERSION_S = 15.0


@define
class SeenVersion:
    """When a host first and last knew an upstream of a software version."""

    software: str
    first_s: float
    last_s: float


@define(eq=False)
class ServedVersions:
    """Software versions by service, until ``RETENTION_S`` after they were last seen."""

    now_s: Callable[[], float] = time.monotonic
    seen: dict[str, dict[str, SeenVersion]] = field(factory=dict)
    present: dict[str, set[str]] = field(factory=dict)
    started_s: float = field(init=False)
    lock: threading.Lock = field(factory=threading.Lock)

    def __attrs_post_init__(self) -> None:
        self.started_s = self.now_s()

    def update(self, upstreams: Iterable[Upstream]) -> set[str]:
        """Update from the known upstreams; return services that now have several."""
        now_s, became_mixed = self.now_s(), set()
        present: dict[str, set[str]] = {}
        for upstream in upstreams:
            present.setdefault(upstream.service, set()).add(upstream.software)
        with self.lock:
            self._mark_seen(now_s)
            self.present = present
            for service, versions in present.items():
                known = self.seen.setdefault(service, {})
                was_mixed = len(known) > 1
                for software in versions - known.keys():
                    known[software] = SeenVersion(software, now_s, now_s)
                if len(known) > 1 and not was_mixed:
                    became_mixed.add(service)
        return became_mixed

    def versions(self, service: str) -> list[SeenVersion]:
        """Return the versions of a service that were seen lately, earliest first."""
        with self.lock:
            self._mark_seen(self.now_s())
            known = list(self.seen.get(service, {}).values())
        return sorted(known, key=lambda item: item.first_s)

    def is_mixed(self, service: str) -> bool:
        """Return whether several versions of a service served lately."""
        return len(self.versions(service)) > 1

    def knows_history(self) -> bool:
        """Return whether this host runs for long enough to have seen all versions."""
        return self.now_s() - self.started_s >= RETENTION_S

    def find_sole(self, service: str) -> str | None:
        """Return the only version of a service that this host has seen lately."""
        versions = self.versions(service)
        return versions[0].software if len(versions) == 1 else None

    def find_earlier(self, service: str) -> str | None:
        """Return the version that served alone until a short time ago, if one did."""
        versions = self.versions(service)
        if len(versions) < 2:
            return None
        first, second = versions[:2]
        is_recent = self.now_s() - second.first_s < EARLIER_VERSION_S
        was_alone = second.first_s - first.first_s > SAME_TIME_S
        return first.software if is_recent and was_alone else None

    def _mark_seen(self, now_s: float) -> None:
        """Update when present versions were last seen, and forget old ones."""
        for service, versions in self.seen.items():
            for software in self.present.get(service, ()):
                versions[software].last_s = now_s
            for software in list(versions):
                if now_s - versions[software].last_s > RETENTION_S:
                    del versions[software]
