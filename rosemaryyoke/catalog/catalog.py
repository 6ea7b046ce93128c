"""What this host knows of the declarations and of the upstreams."""

import math
import threading
import time
from typing import Callable

from attrs import define, field, frozen

from rosemaryyoke.catalog.model import Configuration, Upstream, WantedWeights
from rosemaryyoke.core.logs import log_event

VERSIONS_KEPT = 16
CONFIRMED_S = 1.5  # a host that is cut off asks another every half second


@frozen
class NamedVersion:
    """A version of a model's weights, and since when it is named."""

    version: int
    since_s: float


@define(eq=False)
class Catalog:
    """The newest configuration, upstreams and wanted weights.

    Nothing goes back: an older configuration or an older version of weights is dropped.
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
        """Call back after each change of upstreams or of wanted weights."""
        self.listeners.append(listener)

    def take_configuration(self, newer: Configuration, source: bytes) -> bool:
        """Put a configuration in force if it is newer; tell whether it was."""
        with self.changed:
            current = self.configuration
            if current is not None and newer.version <= current.version:
                return False
            self.configuration = newer
            self.configuration_source = source
            self.changed.notify_all()
        log_event("configuration in force", version=newer.version)
        self._tell()
        return True

    def take_upstreams(self, upstreams: dict[str, Upstream]) -> None:
        """Replace the list of upstreams."""
        with self.changed:
            before, self.upstreams = self.upstreams, upstreams
            self.upstreams_seen = True
            self.changes += 1
            self.changed.notify_all()
        log_differences(before, upstreams)
        self._tell()

    def take_wanted(self, wanted: WantedWeights, age_s: float = 0.0) -> None:
        """Take in a version of a model's weights that was named ``age_s`` ago."""
        with self.changed:
            if wanted.version <= self.wanted.get(wanted.model, 0):
                return
            self.wanted[wanted.model] = wanted.version
            named = NamedVersion(wanted.version, time.monotonic() - age_s)
            versions = self.named.setdefault(wanted.model, [])
            self.named[wanted.model] = [*versions, named][-VERSIONS_KEPT:]
        log_event("weights named", model=wanted.model, version=wanted.version)
        self._tell()

    def outdated_s(self, model: str, version: int, now_s: float) -> float:
        """Return for how long a newer version than this one has been named."""
        for named in self.named.get(model, ()):
            if named.version > version:
                return now_s - named.since_s
        return 0.0

    def note_store(self, kind: str, answers: bool) -> None:
        """Note whether the store answers the task that follows a kind."""
        with self.changed:
            if answers:
                self.failing.discard(kind)
            else:
                self.failing.add(kind)

    def is_fresh(self) -> bool:
        """Tell whether the store answers this host."""
        return self.is_known() and not self.failing

    def confirm(self) -> None:
        """Note that a host that the store answers just told what it knows."""
        self.confirmed_s = time.monotonic()

    def refuses_unknown(self) -> bool:
        """Tell whether an unknown route or key may be refused for good."""
        confirmed = time.monotonic() - self.confirmed_s < CONFIRMED_S
        return self.is_fresh() or (self.is_known() and confirmed)

    def wait_known(self, timeout_s: float) -> bool:
        """Wait until a configuration and upstreams are known."""
        with self.changed:
            return self.changed.wait_for(self.is_known, timeout_s)

    @property
    def generation(self) -> str:
        """Return what names this state of the upstreams, on this host alone."""
        return f"{self.boot}.{self.changes}"

    def wait_changed(self, generation: str, timeout_s: float) -> bool:
        """Wait until the upstreams differ from a generation of this host."""
        with self.changed:
            return self.changed.wait_for(
                lambda: self.generation != generation, timeout_s
            )

    def is_known(self) -> bool:
        """Tell whether a configuration and upstreams are known."""
        return self.configuration is not None and self.upstreams_seen

    def _tell(self) -> None:
        for listener in self.listeners:
            listener()


def log_differences(before: dict[str, Upstream], after: dict[str, Upstream]) -> None:
    """Log each upstream that came, went or began to drain."""
    for name in after.keys() - before.keys():
        log_event("upstream came", upstream=name, service=after[name].service)
    for name in before.keys() - after.keys():
        log_event("upstream gone", upstream=name, service=before[name].service)
    for name in after.keys() & before.keys():
        if after[name].draining and not before[name].draining:
            log_event("upstream draining", upstream=name)
