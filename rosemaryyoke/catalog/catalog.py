"""This host's view of the configuration and the upstreams."""

import math
import threading
import time
from typing import Callable

from attrs import define, field, frozen

from rosemaryyoke.catalog.model import Configuration, Upstream, WantedWeights
from rosemaryyoke.core.logs import log_event

MAX_VERSION_HISTORY = 16
CONFIRMATION_TTL_S = 1.5  # hosts without access to the store poll a peer every 0.5 s


@frozen
class DeclaredVersion:
    """A declared version of a model's weights and the time of its declaration."""

    version: int
    declared_s: float


@define(eq=False)
class Catalog:
    """The newest known configuration, upstreams and wanted versions of weights.

    Versions only increase: an older configuration or weights version is ignored.
    """

    configuration: Configuration | None = None
    upstreams: dict[str, Upstream] = field(factory=dict)
    wanted: dict[str, int] = field(factory=dict)
    declared_versions: dict[str, list[DeclaredVersion]] = field(factory=dict)
    configuration_source: bytes = b""
    upstreams_loaded: bool = False
    changes: int = 0
    boot: str = field(factory=lambda: f"{time.time_ns():x}")
    failing_kinds: set[str] = field(factory=set)
    confirmed_s: float = -math.inf
    changed: threading.Condition = field(factory=threading.Condition)
    listeners: list[Callable[[], None]] = field(factory=list)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a callback that runs after each change of the catalog."""
        self.listeners.append(listener)

    def update_configuration(self, newer: Configuration, source: bytes) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        with self.changed:
            current = self.configuration
            if current is not None and newer.version <= current.version:
                return False
            self.configuration = newer
            self.configuration_source = source
            self.changed.notify_all()
        log_event("configuration applied", version=newer.version)
        self._notify_listeners()
        return True

    def replace_upstreams(self, upstreams: dict[str, Upstream]) -> None:
        """Replace all upstreams and log the differences."""
        with self.changed:
            before, self.upstreams = self.upstreams, upstreams
            self.upstreams_loaded = True
            self.changes += 1
            self.changed.notify_all()
        log_upstream_changes(before, upstreams)
        self._notify_listeners()

    def update_wanted(self, wanted: WantedWeights, age_s: float = 0.0) -> None:
        """Record a weights version declared ``age_s`` ago, if it is newer."""
        with self.changed:
            if wanted.version <= self.wanted.get(wanted.model, 0):
                return
            self.wanted[wanted.model] = wanted.version
            named = DeclaredVersion(wanted.version, time.monotonic() - age_s)
            versions = self.declared_versions.setdefault(wanted.model, [])
            self.declared_versions[wanted.model] = [*versions, named][
                -MAX_VERSION_HISTORY:
            ]
        log_event(
            "weights version declared", model=wanted.model, version=wanted.version
        )
        self._notify_listeners()

    def outdated_s(self, model: str, version: int, now_s: float) -> float:
        """Return how long ago the next newer version was declared, or 0."""
        for named in self.declared_versions.get(model, ()):
            if named.version > version:
                return now_s - named.declared_s
        return 0.0

    def record_store_status(self, kind: str, answers: bool) -> None:
        """Record whether the store responds to the follower of a kind."""
        with self.changed:
            if answers:
                self.failing_kinds.discard(kind)
            else:
                self.failing_kinds.add(kind)

    def is_fresh(self) -> bool:
        """Return whether data is loaded and the store responds for every kind."""
        return self.is_loaded() and not self.failing_kinds

    def record_confirmation(self) -> None:
        """Record state received from a peer whose own view of the store is current."""
        self.confirmed_s = time.monotonic()

    def may_reject_unknown(self) -> bool:
        """Return whether an unknown route or key may be rejected permanently.

        The view must be current, or recently confirmed by a peer whose view is.
        """
        confirmed = time.monotonic() - self.confirmed_s < CONFIRMATION_TTL_S
        return self.is_fresh() or (self.is_loaded() and confirmed)

    def wait_loaded(self, timeout_s: float) -> bool:
        """Wait until a configuration and upstreams are loaded."""
        with self.changed:
            return self.changed.wait_for(self.is_loaded, timeout_s)

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

    def is_loaded(self) -> bool:
        """Return whether a configuration and upstreams are loaded."""
        return self.configuration is not None and self.upstreams_loaded

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()


def log_upstream_changes(
    before: dict[str, Upstream], after: dict[str, Upstream]
) -> None:
    """Log each upstream that was added, removed or began draining."""
    for name in after.keys() - before.keys():
        log_event("upstream came", upstream=name, service=after[name].service)
    for name in before.keys() - after.keys():
        log_event("upstream gone", upstream=name, service=before[name].service)
    for name in after.keys() & before.keys():
        if after[name].draining and not before[name].draining:
            log_event("upstream draining", upstream=name)
