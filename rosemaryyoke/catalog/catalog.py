"""This host's view of the configuration and the upstreams."""

import math
import threading
import time
from typing import Callable

from attrs import define, field, frozen

from rosemaryyoke.catalog.model import Configuration, Upstream, WantedWeights
from rosemaryyoke.core.logs import event

VERSIONS_KEPT = 16
CONFIRMED_S = 1.5  # hosts without access to the store poll a peer every 0.5 s


@frozen
class NamedVersion:
    """A declared version of a model's weights and the time of its declaration."""

    version: int
    since_s: float


@define(eq=False)
class Catalog:
    """The newest known configuration, upstreams and wanted versions of weights.

    Versions only increase: an older configuration or weights version is ignored.
    """

    configuration: Configuration | None = None
    upstreams: dict[str, Upstream] = field(factory=dict)
    wanted: dict[str, int] = field(factory=dict)
    named: dict[str, list[NamedVersion]] = field(factory=dict)
    configuration_source: bytes = b""
    upstreams_seen: bool = False
    changes: int = 0
    boot: str = field(factory=lambda: f"{time.time_ns():x}")
    failing: set[str] = field(factory=set)
    confirmed_s: float = -math.inf
    changed: threading.Condition = field(factory=threading.Condition)
    listeners: list[Callable[[], None]] = field(factory=list)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a callback that runs after each change of the catalog."""
        self.listeners.append(listener)

    def take_configuration(self, newer: Configuration, source: bytes) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        with self.changed:
            current = self.configuration
            if current is not None and newer.version <= current.version:
                return False
            self.configuration = newer
            self.configuration_source = source
            self.changed.notify_all()
        event("configuration applied", version=newer.version)
        self._tell()
        return True

    def take_upstreams(self, upstreams: dict[str, Upstream]) -> None:
        """Replace all upstreams and log the differences."""
        with self.changed:
            before, self.upstreams = self.upstreams, upstreams
            self.upstreams_seen = True
            self.changes += 1
            self.changed.notify_all()
        log_differences(before, upstreams)
        self._tell()

    def take_wanted(self, wanted: WantedWeights, age_s: float = 0.0) -> None:
        """Record a weights version declared ``age_s`` ago, if it is newer."""
        with self.changed:
            if wanted.version <= self.wanted.get(wanted.model, 0):
                return
            self.wanted[wanted.model] = wanted.version
            named = NamedVersion(wanted.version, time.monotonic() - age_s)
            versions = self.named.setdefault(wanted.model, [])
            self.named[wanted.model] = [*versions, named][-VERSIONS_KEPT:]
        event("weights version declared", model=wanted.model, version=wanted.version)
        self._tell()

    def outdated_s(self, model: str, version: int, now_s: float) -> float:
        """Return how long ago the next newer version was declared, or 0."""
        for named in self.named.get(model, ()):
            if named.version > version:
                return now_s - named.since_s
        return 0.0

    def note_store(self, kind: str, answers: bool) -> None:
        """Record whether the store responds to the follower of a kind."""
        with self.changed:
            if answers:
                self.failing.discard(kind)
            else:
                self.failing.add(kind)

    def is_fresh(self) -> bool:
        """Return whether data is loaded and the store responds for every kind."""
        return self.is_known() and not self.failing

    def confirm(self) -> None:
        """Record state received from a peer whose own view of the store is current."""
        self.confirmed_s = time.monotonic()

    def refuses_unknown(self) -> bool:
        """Return whether an unknown route or key may be rejected permanently.

        The view must be current, or recently confirmed by a peer whose view is.
        """
        confirmed = time.monotonic() - self.confirmed_s < CONFIRMED_S
        return self.is_fresh() or (self.is_known() and confirmed)

    def wait_known(self, timeout_s: float) -> bool:
        """Wait until a configuration and upstreams are loaded."""
        with self.changed:
            return self.changed.wait_for(self.is_known, timeout_s)

    @property
    def generation(self) -> str:
        """Return an identifier of the upstreams' state, valid for this process only."""
        return f"{self.boot}.{self.changes}"

    def wait_changed(self, generation: str, timeout_s: float) -> bool:
        """Wait until the generation differs from the given one."""
        with self.changed:
            return self.changed.wait_for(
                lambda: self.generation != generation, timeout_s
            )

    def is_known(self) -> bool:
        """Return whether a configuration and upstreams are loaded."""
        return self.configuration is not None and self.upstreams_seen

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()


def log_differences(before: dict[str, Upstream], after: dict[str, Upstream]) -> None:
    """Log each upstream that was added, removed or began draining."""
    for name in after.keys() - before.keys():
        event("upstream came", upstream=name, service=after[name].service)
    for name in before.keys() - after.keys():
        event("upstream gone", upstream=name, service=before[name].service)
    for name in after.keys() & before.keys():
        if after[name].draining and not before[name].draining:
            event("upstream draining", upstream=name)
