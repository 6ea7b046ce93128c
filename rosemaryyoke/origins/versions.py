"""The software versions that the upstreams of each service had lately."""

import threading
import time
from typing import Callable, Collection, Iterable

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
    """Software versions by service, until ``RETENTION_S`` after they were last seen.

    ``past_known`` says that the versions which served before ``started_s`` have been
    added. That is when this host started, or last began to follow the store again.
    """

    now_s: Callable[[], float] = time.monotonic
    seen: dict[str, dict[str, SeenVersion]] = field(factory=dict)
    present: dict[str, set[str]] = field(factory=dict)
    past_known: bool = False
    started_s: float = field(init=False)
    lock: threading.Lock = field(factory=threading.Lock)

    def __attrs_post_init__(self) -> None:
        self.started_s = self.now_s()

    def update(self, upstreams: Iterable[Upstream]) -> set[str]:
        """Update from the known upstreams; return services with a further version."""
        now_s, grown = self.now_s(), set()
        present: dict[str, set[str]] = {}
        for upstream in upstreams:
            present.setdefault(upstream.service, set()).add(upstream.software)
        with self.lock:
            self._mark_seen(now_s)
            first_s = now_s if self.present else self.started_s
            self.present = present
            for service, versions in present.items():
                known = self.seen.setdefault(service, {})
                added = versions - known.keys()
                if len(known) + len(added) > 1 and added:
                    grown.add(service)
                for software in added:
                    known[software] = SeenVersion(software, first_s, now_s)
        return grown

    def add(self, versions: Iterable[tuple[str, str]]) -> set[str]:
        """Add versions, each with its service; return services with a further one."""
        now_s, grown = self.now_s(), set()
        with self.lock:
            for service, software in versions:
                known = self.seen.setdefault(service, {})
                if known and software not in known:
                    grown.add(service)
                known.setdefault(software, SeenVersion(software, now_s, now_s))
                known[software].last_s = now_s
        return grown

    def forget_past(self) -> None:
        """Record that versions may have come and gone until now without being seen."""
        with self.lock:
            self.past_known = False
            self.started_s = self.now_s()

    def add_past(self, versions: Iterable[tuple[str, str]]) -> None:
        """Add versions that served before this host started, each with its service.

        The same goes for those that came and left while it did not follow the store.
        """
        now_s = self.now_s()
        with self.lock:
            for service, software in versions:
                known = self.seen.setdefault(service, {})
                first_s = self.started_s
                if software in known:
                    first_s = min(first_s, known[software].first_s)
                known[software] = SeenVersion(software, first_s, now_s)
            self.past_known = True

    def all_versions(self) -> set[tuple[str, str]]:
        """Return the versions that were seen lately, each with its service."""
        with self.lock:
            self._mark_seen(self.now_s())
            return {
                (service, software)
                for service, versions in self.seen.items()
                for software in versions
            }

    def versions(self, services: Iterable[str]) -> list[SeenVersion]:
        """Return the versions of services that were seen lately, earliest first."""
        with self.lock:
            self._mark_seen(self.now_s())
            known = [
                version
                for service in services
                for version in self.seen.get(service, {}).values()
            ]
        return sorted(known, key=lambda item: item.first_s)

    def is_mixed(self, services: Iterable[str]) -> bool:
        """Return whether several versions served lately, in one service or several."""
        return len({version.software for version in self.versions(services)}) > 1

    def knows_history(self) -> bool:
        """Return whether this host knows all versions that served lately.

        It has followed the store for long enough to have seen them, or has learned of
        those before.
        """
        return self.past_known or self.now_s() - self.started_s >= RETENTION_S

    def find_sole(self, services: Iterable[str]) -> str | None:
        """Return the only version of services that this host has seen lately."""
        software = {version.software for version in self.versions(services)}
        return software.pop() if len(software) == 1 else None

    def find_earlier(self, services: Collection[str]) -> str | None:
        """Return the version that served alone until a short time ago, if one did."""
        versions = self.versions(services)
        if len(versions) < 2 or len(services) > 1:
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
