"""This host's view of the configuration and the upstreams."""

import math
import threading
import time
from typing import Callable, Iterable

from attrs import define, field, frozen

from rosemaryyoke.catalog.departures import Departures
from rosemaryyoke.catalog.model import Configuration, Upstream, WantedWeights
from rosemaryyoke.catalog.timing import DEFAULT_TIMING, ViewTiming
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.objects.eras import EraRecord

MAX_VERSION_HISTORY = 16
CONFIRMATION_TTL_S = DEFAULT_TIMING.ttl_s
MIN_GAIN_S = 0.1  # for which a view is fetched from another host
STORE = "store"  # the source of a view that this host reads itself


@frozen
class DeclaredVersion:
    """A declared version of a model's weights and the time of its declaration.

    A listing does not tell the time; it is then assumed.
    """

    version: int
    declared_s: float
    is_assumed: bool = False


@define(eq=False)
class Catalog:
    """The newest known configuration, upstreams and wanted versions of weights.

    Versions only increase: an older configuration or weights version is ignored, as are
    upstreams of an older era of the store. ``registered`` has the upstreams as the
    store lists them, ``upstreams`` those to use. ``changes`` counts all changes, while
    ``upstream_changes`` has the last one of each upstream that is or was registered.
    ``upstreams_position`` is a position in the store's history up to which
    ``registered`` certainly has all changes, or ``None`` if none is known.
    ``confirmed_s`` is as of when a host that ``confirmed_by`` names confirmed the view,
    and ``store_answered_s`` when the store last answered this host's read of the
    upstreams, which shows at the same time that its watches of other kinds are served.
    ``weights_read_s`` is when the store last told this host all declared versions, and
    ``max_assumed_age_s`` is assumed of those whose declaration it knows nothing of.
    """

    configuration: Configuration | None = None
    eras: EraRecord = field(factory=EraRecord)
    upstreams_era: int = 0
    upstreams_position: int | None = None
    registered: dict[str, Upstream] = field(factory=dict)
    departures: Departures = field(factory=Departures)
    upstreams: dict[str, Upstream] = field(factory=dict)
    wanted: dict[str, int] = field(factory=dict)
    declared_versions: dict[str, list[DeclaredVersion]] = field(factory=dict)
    configuration_source: bytes = b""
    upstreams_loaded: bool = False
    changes: int = 0
    upstream_changes: dict[str, int] = field(factory=dict)
    boot: str = field(factory=lambda: f"{time.time_ns():x}")
    unread_kinds: set[str] = field(factory=set)
    confirmed_s: float = -math.inf
    confirmed_by: str = ""
    store_answered_s: float = -math.inf
    weights_read_s: float = -math.inf
    max_assumed_age_s: float = 0.0
    timing: ViewTiming = DEFAULT_TIMING
    changed: threading.Condition = field(factory=threading.Condition)
    listeners: list[Callable[[], None]] = field(factory=list)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a callback that runs after each change of the catalog."""
        self.listeners.append(listener)

    def update_configuration(
        self, newer: Configuration, source: bytes, source_host: str = ""
    ) -> bool:
        """Apply a configuration if it is newer; return whether it was applied.

        ``source_host`` is the host that sent it, or ``STORE``.
        """
        with self.changed:
            current = self.configuration
            if current is not None and newer.version <= current.version:
                return False
            self.configuration = newer
            self.configuration_source = source
            self.changes += 1
            self.changed.notify_all()
        log_event(
            "configuration applied",
            version=newer.version,
            source=source_host or self.view_source(),
            view_age_s=round(self.age_s(), 3),
        )
        self._notify_listeners()
        return True

    def replace_upstreams(
        self,
        registered: dict[str, Upstream],
        era: int = 0,
        position: int | None = None,
    ) -> bool:
        """Replace all upstreams and log the differences; return whether it was done.

        Upstreams of an older era or an earlier position are ignored. Registrations are
        written anew all the time; most writes change nothing here.
        """
        with self.changed:
            if era < self.upstreams_era or self.is_outdated(position):
                return False
            before = self.upstreams
            self.upstreams_position = position
            upstreams = self._apply_departures(registered, era)
            is_known = self.upstreams_loaded and era == self.upstreams_era
            self.registered, self.upstreams_era = registered, era
            if is_known and upstreams == before:
                return True
            self.upstreams = upstreams
            self.upstreams_loaded = True
            self.changes += 1
            for name in before.keys() | upstreams.keys():
                if before.get(name) != upstreams.get(name):
                    self.upstream_changes[name] = self.changes
            self.changed.notify_all()
        log_upstream_changes(before, upstreams)
        self._notify_listeners()
        return True

    def is_outdated(self, position: int | None) -> bool:
        """Return whether the upstreams are of a later position than this one."""
        known = self.upstreams_position
        return known is not None and position is not None and position < known

    def advance_position(self, position: int | None) -> None:
        """Record the position of the upstreams, unless it is an earlier one."""
        with self.changed:
            if not self.is_outdated(position):
                self.upstreams_position = position

    def _apply_departures(
        self, registered: dict[str, Upstream], era: int
    ) -> dict[str, Upstream]:
        for name in self.registered.keys() - registered.keys():
            last = self.upstreams.get(name, self.registered[name])
            self.departures.record_gone(last, era)
        return self.departures.apply(registered, self.upstreams, era, self.eras.age_s())

    def release_withheld(self) -> None:
        """Use withheld upstreams whose entries the store still has after their TTL."""
        if self.departures.withheld:
            self.replace_upstreams(
                self.registered, self.upstreams_era, self.upstreams_position
            )

    def update_wanted(
        self, wanted: WantedWeights, age_s: float = 0.0, is_assumed: bool = False
    ) -> None:
        """Record a weights version declared ``age_s`` ago, if it is newer."""
        with self.changed:
            if wanted.version <= self.wanted.get(wanted.model, 0):
                return
            self.wanted[wanted.model] = wanted.version
            declared_s = time.monotonic() - age_s
            named = DeclaredVersion(wanted.version, declared_s, is_assumed)
            versions = self.declared_versions.setdefault(wanted.model, [])
            self.declared_versions[wanted.model] = [*versions, named][
                -MAX_VERSION_HISTORY:
            ]
            self.changes += 1
            self.changed.notify_all()
        log_event(
            "weights version declared", model=wanted.model, version=wanted.version
        )
        self._notify_listeners()

    def assumed_age_s(self) -> float:
        """Return how long ago a version was declared that this host just hears of.

        That was after this host, or one that confirmed its view, last read the declared
        versions. A host that starts knows of no such time.
        """
        known_s = max(self.weights_read_s, self.confirmed_s)
        return min(self.max_assumed_age_s, time.monotonic() - known_s)

    def known_declarations(self) -> dict[str, list[tuple[int, float]]]:
        """Return the versions of each model whose age is known, with the age in s."""
        now_s = time.monotonic()
        return {
            model: [
                (item.version, now_s - item.declared_s)
                for item in versions
                if not item.is_assumed
            ]
            for model, versions in list(self.declared_versions.items())
        }

    def learn_declarations(self, model: str, ages: Iterable[tuple[int, float]]) -> None:
        """Learn the ages of declared versions in place of assumed ones."""
        now_s = time.monotonic()
        with self.changed:
            known = {item.version: item for item in self.declared_versions[model]}
            for version, age_s in ages:
                if version not in known or known[version].is_assumed:
                    known[version] = DeclaredVersion(version, now_s - age_s)
            ordered = [known[version] for version in sorted(known)]
            self.declared_versions[model] = ordered[-MAX_VERSION_HISTORY:]

    def assumes_declarations(self) -> bool:
        """Return whether it is assumed when weights were declared that some lack."""
        assumed = {
            model: versions[-1].version
            for model, versions in list(self.declared_versions.items())
            if versions[-1].is_assumed
        }
        return any(
            upstream.weights.get(model, version) < version
            for upstream in list(self.upstreams.values())
            for model, version in assumed.items()
        )

    def outdated_s(self, model: str, version: int, now_s: float) -> float:
        """Return how long ago the next newer version was declared, or 0."""
        for named in self.declared_versions.get(model, ()):
            if named.version > version:
                return now_s - named.declared_s
        return 0.0

    def record_store_status(self, kind: str, is_read: bool) -> None:
        """Record whether this host reads a kind from the store at present."""
        with self.changed:
            if is_read == (kind not in self.unread_kinds):
                return
            if not is_read and self.follows_store():
                self._confirm(self.store_answered_s, STORE)
            if is_read:
                self.unread_kinds.discard(kind)
            else:
                self.unread_kinds.add(kind)
            self.changed.notify_all()

    def follows_store(self) -> bool:
        """Return whether this host itself reads every kind from the store."""
        return self.is_loaded() and not self.unread_kinds

    def is_fresh(self) -> bool:
        """Return whether the view is current.

        Either this host reads the store, or a host that does confirmed the view.
        """
        return self.is_loaded() and self.age_s() < self.timing.ttl_s

    def as_of_s(self) -> float:
        """Return when the store last confirmed the view to this or another host."""
        if self.follows_store():
            return max(self.confirmed_s, self.store_answered_s)
        return self.confirmed_s

    def age_s(self) -> float:
        """Return how long ago the store confirmed the view to this or another host.

        A call that the store has not answered yet confirms nothing.
        """
        return time.monotonic() - self.as_of_s()

    def record_store_answer(self, answered_s: float) -> None:
        """Record when the store answered this host's read of the upstreams."""
        with self.changed:
            self.store_answered_s = max(self.store_answered_s, answered_s)
            self.changed.notify_all()

    def record_confirmation(self, age_s: float = 0.0, source: str = "") -> None:
        """Record state that the store confirmed ``age_s`` ago to ``source``."""
        with self.changed:
            self._confirm(time.monotonic() - age_s, source)
            self.changed.notify_all()

    def _confirm(self, as_of_s: float, source: str) -> None:
        if as_of_s > self.confirmed_s:
            self.confirmed_s, self.confirmed_by = as_of_s, source

    def view_source(self) -> str:
        """Return which host read the view from the store, ``STORE`` if this one did."""
        if self.follows_store() and self.store_answered_s >= self.confirmed_s:
            return STORE
        return self.confirmed_by

    def wait_loaded(self, timeout_s: float) -> bool:
        """Wait until a configuration and upstreams are loaded."""
        with self.changed:
            return self.changed.wait_for(self.is_loaded, timeout_s)

    def changed_upstreams(self, generation: str) -> set[str] | None:
        """Return the upstreams that changed after a generation.

        ``None`` means that the generation is not one of this process.
        """
        boot, _, changes = generation.partition(".")
        if boot != self.boot:
            return None
        with self.changed:
            return {
                name
                for name, changed in self.upstream_changes.items()
                if changed > int(changes)
            }

    @property
    def generation(self) -> str:
        """Return an identifier of the catalog's state, valid for this process only."""
        return f"{self.boot}.{self.changes}"

    def wait_changed(self, generation: str, known_age_s: float = 0.0) -> bool:
        """Wait until the generation differs and the view is current, as a poll does.

        A poll also ends when the view has been confirmed anew, so that those who poll
        learn of a confirmation while it is new: after a while, or at once if their own
        view, whose age was ``known_age_s`` at the beginning, is about to become stale.
        """
        started_s, as_of_s = time.monotonic(), self.as_of_s()

        def is_done() -> bool:
            if self.is_fresh() and self.generation != generation:
                return True
            waited_s = time.monotonic() - started_s
            if waited_s >= self.timing.min_poll_s and self.as_of_s() > as_of_s:
                return True
            gained_s = self.as_of_s() - (started_s - known_age_s)
            is_ageing = known_age_s + waited_s >= self.timing.ageing_s
            return is_ageing and gained_s >= MIN_GAIN_S

        with self.changed:
            return self.changed.wait_for(is_done, self.timing.poll_s)

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
