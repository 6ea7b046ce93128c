"""Follow the store's configuration and registrations, with one thread per kind."""

import math
import random
import threading
import time
from typing import Callable, Protocol

from absl import logging
from attrs import define, evolve, field
from result import Err, Ok, Result

from rosemaryyoke.catalog.catalog import STORE, Catalog
from rosemaryyoke.catalog.model import Configuration, Upstream, WantedWeights
from rosemaryyoke.catalog.timing import DEFAULT_TIMING, ViewTiming
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.objects.eras import era_of
from rosemaryyoke.objects.feed import FeedChanges, FeedError, Listing, ObjectFeed
from rosemaryyoke.objects.objects import StoredObject

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
IDLE_WATCH_S = 4.0  # bounds how long a change is missed on a connection that hangs
RECOVERY_WATCH_S = 0.1  # short, to detect soon that the store responds again
# A host that usually polls a peer tries the store less often, and not with all others.
ORPHAN_DELAY_S = (0.4, 1.2)
ORPHAN_BACKOFF_S = 2.0
MAX_ORPHAN_BACKOFF_S = 4.0
PEER_RETRY_S = 0.2
PASSIVE_CHECK_S = 0.1
# A host that starts reads the store until it knows its peers; it watches later.
SETTLING_S = 1.5
# Live upstreams register again within 2 s of the store's recovery.
REREGISTRATION_GRACE_S = 2.2
MIN_OUTAGE_S = 1.0
# An answer that takes longer was held up, perhaps as this host stood still.
MAX_ANSWER_TIME_S = 0.5  # a slow store takes several hundred milliseconds


class CatalogSource(Protocol):
    """The store kinds that the catalog follows and their decoders."""

    feed: ObjectFeed
    configuration_kind: str
    upstreams_kind: str
    weights_kind: str

    def decode_configuration(self, stored: StoredObject) -> Result[Configuration, str]:
        """Decode a configuration, or return an error message."""

    def decode_upstream(self, stored: StoredObject) -> Result[Upstream, str]:
        """Decode an upstream, or return an error message."""

    def decode_wanted(self, stored: StoredObject) -> Result[WantedWeights, str]:
        """Decode wanted weights, or return an error message."""


@define(eq=False)
class KindFollower:
    """Lists one kind, then watches it for changes after the listing's position.

    Calls are followed by a pause of ``pause_s``, or a shorter one so that they begin
    ``call_period_s`` apart.
    ``poll_peer`` tries to fetch the state from a peer instead of the store and returns
    whether it succeeded. ``may_call`` tells whether the store may be called now; its
    argument is whether the next call is a watch. ``is_orphan`` tells whether this host
    should have received its state from a peer; it then calls the store less often.
    ``on_position`` gets the position of an answer and when the store gave it, at the
    latest.
    """

    feed: ObjectFeed
    kind: str
    wait_s: float
    pause_s: float
    on_listing: Callable[[Listing], None]
    on_changes: Callable[[FeedChanges], None]
    on_position: Callable[[int, float], None] = lambda position, answered_s: None
    on_success: Callable[[float], None] = lambda outage_s: None
    on_store_status: Callable[[str, bool], None] = lambda kind, is_read: None
    on_call: Callable[[bool], None] = lambda success: None
    poll_peer: Callable[[], bool] = lambda: False
    may_call: Callable[[bool], bool] = lambda is_watch: True
    is_orphan: Callable[[], bool] = lambda: False
    call_period_s: float = math.inf
    position: int | None = None
    failed_since_s: float | None = None
    peer_success_s: float | None = None
    backoff_s: float = FIRST_BACKOFF_S
    retry_at_s: float = 0.0
    stopping: threading.Event = field(factory=threading.Event)

    def run(self) -> None:
        """List and watch until stopped, with backoff after errors."""
        while not self.stopping.is_set():
            try:
                if self.poll_peer():
                    self._record_peer_success()
                    continue
                started_s = time.monotonic()
                if not self.is_due(started_s):
                    continue
                outcome = self.step()
            except Exception as error:
                logging.exception("follower of %s failed", self.kind)
                outcome = Err(FeedError(str(error)))
            if isinstance(outcome, Err) and not outcome.err_value.history_gone:
                if self.is_valid():
                    self._record_failure(outcome.err_value)
            elif self.pause_s:
                left_s = self.call_period_s - (time.monotonic() - started_s)
                self.stopping.wait(min(self.pause_s, max(0.0, left_s)))

    def is_valid(self) -> bool:
        """Return whether the last call tells whether the store is read."""
        return True

    def is_due(self, now_s: float) -> bool:
        """Return whether to call the store now; otherwise wait for a while."""
        if not self.may_call(self.position is not None):
            self.stopping.wait(PASSIVE_CHECK_S)
            return False
        if self.is_orphan() and self.peer_success_s is not None:
            self.peer_success_s = None
            self.retry_at_s = now_s + random.uniform(*ORPHAN_DELAY_S)
        if now_s < self.retry_at_s:
            self.stopping.wait(min(PEER_RETRY_S, self.retry_at_s - now_s))
            return False
        return True

    def step(self) -> Result[object, FeedError]:
        """Make one list or watch call and apply its result."""
        started_s, wait_s = time.monotonic(), 0.0
        if self.position is None:
            outcome = self.feed.list(self.kind)
        else:
            recovering = self.failed_since_s is not None
            wait_s = RECOVERY_WATCH_S if recovering else self.wait_s
            outcome = self.feed.watch(self.kind, self.position, wait_s)
        latest_s = started_s + wait_s + MAX_ANSWER_TIME_S
        answered_s = min(time.monotonic(), latest_s)
        if isinstance(outcome, Err):
            if outcome.err_value.history_gone:
                self.position = None
            return outcome
        self._record_success()
        value = outcome.ok_value
        if self.position is None:
            self.on_listing(value)
        elif value.changes:
            self.on_changes(value)
        self.position = value.position
        self.on_position(value.position, answered_s)
        return outcome

    def stop_reading(self) -> None:
        """Forget the position; the kind is no longer read from the store."""
        self.position = None
        self.on_store_status(self.kind, False)

    def _record_peer_success(self) -> None:
        self.stop_reading()
        self.failed_since_s = None
        self.peer_success_s = time.monotonic()
        self.backoff_s = FIRST_BACKOFF_S

    def _record_success(self) -> None:
        now_s = time.monotonic()
        outage_s = 0.0
        if self.failed_since_s is not None:
            outage_s = now_s - self.failed_since_s
            log_event(
                "store reachable again", kind=self.kind, outage_s=round(outage_s, 3)
            )
        elif self.peer_success_s is not None:
            outage_s = now_s - self.peer_success_s
        self.failed_since_s = self.peer_success_s = None
        self.backoff_s = FIRST_BACKOFF_S
        self.on_success(outage_s)
        self.on_call(True)
        if self.is_valid():
            self.on_store_status(self.kind, True)

    def _record_failure(self, error: FeedError) -> None:
        now_s = time.monotonic()
        if self.failed_since_s is None:
            self.failed_since_s = now_s
            log_event("store unreachable", kind=self.kind, error=error.message)
        self.on_call(False)
        self.on_store_status(self.kind, False)
        longest_s = MAX_BACKOFF_S
        if self.is_orphan():
            self.backoff_s = max(self.backoff_s, ORPHAN_BACKOFF_S)
            longest_s = MAX_ORPHAN_BACKOFF_S
        self.retry_at_s = now_s + self.backoff_s * random.uniform(0.5, 1.0)
        self.backoff_s = min(2 * self.backoff_s, longest_s)


@define(eq=False)
class DependentFollower(KindFollower):
    """Follows a kind while this host reads the upstreams from the store.

    ``reading_since_s`` tells since when it does, or ``None``. The kind is listed anew
    each time that the host begins to read: ``began_s`` is when it did so last.
    """

    reading_since_s: Callable[[], float | None] = lambda: None
    began_s: float | None = None

    def __attrs_post_init__(self):
        self.may_call = self.may_call_store

    def may_call_store(self, is_watch: bool) -> bool:
        """Return whether to call the store; it is watched only after a while."""
        since_s = self.reading_since_s()
        if since_s != self.began_s:
            self.began_s = since_s
            self.stop_reading()
        if since_s is None:
            return False
        settling_s = SETTLING_S if self.position is not None else 0.0
        return time.monotonic() - since_s >= settling_s

    def is_valid(self) -> bool:
        """Return whether the host has read upstreams ever since the call began."""
        return self.began_s is None or self.began_s == self.reading_since_s()


class Follower:
    """Updates the catalog from the store.

    The follower of upstreams decides whether this host reads the store: the other kinds
    are read only while it does, so that one call tells whether the store responds.

    A listing does not contain the time at which weights were declared; their age is
    assumed to be ``assumed_weights_age_s``. States of other hosts and answers of the
    store may come in any order; those of an earlier position are ignored.
    """

    def __init__(
        self,
        source: CatalogSource,
        catalog: Catalog,
        assumed_weights_age_s: float = 0.0,
        timing: ViewTiming = DEFAULT_TIMING,
    ):
        self.source = source
        self.catalog = catalog
        self.upstreams: dict[str, Upstream] = {}
        self.era_position = 0  # of the first listing in its era
        self.expired: set[str] = set()
        self.grace_until_s = 0.0
        self.reading_since_s: float | None = None
        self.has_read_store = False
        self.lock = threading.RLock()
        self.upstream_follower = KindFollower(
            source.feed,
            source.upstreams_kind,
            timing.watch_s,
            timing.pause_s,
            self.apply_upstream_listing,
            self.apply_upstream_changes,
            self.record_upstreams_position,
            self.handle_store_success,
            self.record_upstreams_status,
            call_period_s=timing.call_period_s,
        )
        self.followers = [
            self.upstream_follower,
            self.make_dependent_follower(
                source.configuration_kind,
                self.apply_configuration_listing,
                self.apply_configuration_changes,
            ),
            self.make_dependent_follower(
                source.weights_kind,
                self.apply_wanted_listing,
                self.apply_wanted_changes,
                self.record_weights_position,
            ),
        ]
        catalog.max_assumed_age_s = assumed_weights_age_s
        catalog.unread_kinds.update((source.configuration_kind, source.upstreams_kind))

    def make_dependent_follower(
        self,
        kind: str,
        on_listing: Callable[[Listing], None],
        on_changes: Callable[[FeedChanges], None],
        on_position: Callable[[int, float], None] = lambda position, answered_s: None,
    ) -> KindFollower:
        """Return a follower that calls the store only while upstreams are read."""
        return DependentFollower(
            self.source.feed,
            kind,
            IDLE_WATCH_S,
            0.0,
            on_listing,
            on_changes,
            on_position,
            on_store_status=self.catalog.record_store_status,
            reading_since_s=lambda: self.reading_since_s,
        )

    def record_upstreams_status(self, kind: str, is_read: bool) -> None:
        """Record whether upstreams are read from the store, and since when."""
        if not is_read:
            self.reading_since_s = None
            for follower in self.followers:
                self.catalog.record_store_status(follower.kind, False)
            return
        if self.reading_since_s is None:
            self.reading_since_s = time.monotonic()
            self.has_read_store = True
        self.catalog.record_store_status(kind, True)

    def record_upstreams_position(self, position: int, answered_s: float) -> None:
        """Record up to which position the catalog has the changes of upstreams."""
        self.catalog.advance_position(position)
        self.catalog.record_store_answer(answered_s)

    def record_weights_position(self, position: int, answered_s: float) -> None:
        """Record when the store told all declared versions."""
        self.catalog.weights_read_s = answered_s

    def start(self) -> None:
        """Start one thread per kind."""
        for follower in self.followers:
            name = f"follow-{follower.kind}"
            threading.Thread(target=follower.run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop the threads after their current calls."""
        for follower in self.followers:
            follower.stopping.set()

    def handle_store_success(self, outage_s: float) -> None:
        """Start a grace period after an outage.

        Registrations that expired during the outage are kept until their upstreams
        have had time to register again. The store was not away while another host read
        it.
        """
        if min(outage_s, self.catalog.age_s()) > MIN_OUTAGE_S:
            self.grace_until_s = time.monotonic() + REREGISTRATION_GRACE_S

    def remove_expired(self) -> None:
        """Remove upstreams that did not register again within the grace period."""
        with self.lock:
            self.catalog.release_withheld()
            if not self.expired or self._in_grace():
                return
            for name in self.expired:
                self.upstreams.pop(name, None)
            self.expired.clear()
            catalog = self.catalog
            self._publish_upstreams(catalog.upstreams_era, catalog.upstreams_position)

    def listing_handlers(self) -> list[tuple[str, Callable[[Listing], None]]]:
        """Return what applies a listing of each kind; the operators' come first."""
        source = self.source
        return [
            (source.configuration_kind, self.apply_configuration_listing),
            (source.weights_kind, self.apply_wanted_listing),
            (source.upstreams_kind, self.apply_upstream_listing),
        ]

    def apply_configuration_listing(self, listing: Listing) -> None:
        """Apply the configurations in a listing."""
        for stored in listing.objects:
            self._update_configuration(stored)

    def apply_configuration_changes(self, changes: FeedChanges) -> None:
        """Apply changed configurations."""
        for change in changes.changes:
            if not change.removed:
                self._update_configuration(change.object)

    def _update_configuration(self, stored: StoredObject) -> None:
        decoded = self.source.decode_configuration(stored)
        if isinstance(decoded, Err):
            logging.error("configuration is malformed: %s", decoded.err_value)
            return
        self.catalog.update_configuration(decoded.ok_value, stored.body, STORE)

    def apply_upstream_listing(self, listing: Listing) -> None:
        """Replace the upstreams; in the grace period keep those not listed."""
        era = era_of(listing.position)
        with self.lock:
            if era < self.catalog.upstreams_era or self.catalog.is_outdated(
                listing.position
            ):
                return
            if era > era_of(self.era_position):
                self._begin_era(listing.position)
            listed = {}
            for stored in listing.objects:
                upstream = self._decode_upstream(stored)
                if upstream is not None:
                    listed[upstream.name] = upstream
            self.expired = self.upstreams.keys() - listed.keys()
            if not self._in_grace():
                self.expired = set()
            for name in self.expired:
                listed[name] = self.upstreams[name]
            self.upstreams = listed
            self._publish_upstreams(era, listing.position)

    def _begin_era(self, position: int) -> None:
        """Keep upstreams whose registration the store has lost until they register."""
        self.era_position = position
        is_restored = era_of(position) > self.catalog.upstreams_era
        if is_restored and self.catalog.upstreams_loaded:
            self.grace_until_s = time.monotonic() + REREGISTRATION_GRACE_S

    def replace_upstreams(
        self,
        upstreams: dict[str, Upstream],
        era: int = 0,
        position: int | None = None,
    ) -> None:
        """Replace the upstreams by those received from a peer, unless it is behind."""
        with self.lock:
            if era < self.catalog.upstreams_era or self.catalog.is_outdated(position):
                return
            self.expired.clear()
            self.upstreams = dict(upstreams)
            self._publish_upstreams(era, position)

    def apply_upstream_changes(self, changes: FeedChanges) -> None:
        """Apply changed and removed upstreams."""
        era = era_of(changes.position)
        with self.lock:
            if era < self.catalog.upstreams_era or self.catalog.is_outdated(
                changes.position
            ):
                return
            for change in changes.changes:
                self._apply_upstream_change(change.object, change.removed)
            self._publish_upstreams(era, changes.position)

    def _publish_upstreams(self, era: int, position: int | None) -> None:
        self.catalog.replace_upstreams(dict(self.upstreams), era, position)

    def _apply_upstream_change(self, stored: StoredObject, removed: bool) -> None:
        if removed:
            if self._in_grace():
                self.expired.add(stored.name)
            else:
                self.upstreams.pop(stored.name, None)
            return
        self.expired.discard(stored.name)
        upstream = self._decode_upstream(stored)
        if upstream is None:
            self.upstreams.pop(stored.name, None)
        else:
            self.upstreams[upstream.name] = upstream

    def _decode_upstream(self, stored: StoredObject) -> Upstream | None:
        decoded = self.source.decode_upstream(stored)
        if isinstance(decoded, Ok):
            written_era = self._written_era(stored.version)
            return evolve(decoded.ok_value, written_era=written_era)
        if stored.name in self.upstreams:
            logging.warning(
                "upstream %s is malformed: %s", stored.name, decoded.err_value
            )
        return None

    def _written_era(self, version: int) -> int:
        """Return the newest era in which an entry was certainly written.

        An entry of this era's first listing may come from the copy that the store was
        restored from.
        """
        era = era_of(version)
        return era if version > self.era_position else max(0, era - 1)

    def _in_grace(self) -> bool:
        return time.monotonic() < self.grace_until_s

    def apply_wanted_listing(self, listing: Listing) -> None:
        """Apply the declared weights versions in a listing."""
        age_s = self.catalog.assumed_age_s()
        for stored in listing.objects:
            self._update_wanted(stored, age_s, is_assumed=True)

    def apply_wanted_changes(self, changes: FeedChanges) -> None:
        """Apply changed weights versions."""
        for change in changes.changes:
            if not change.removed:
                self._update_wanted(change.object)

    def _update_wanted(
        self, stored: StoredObject, age_s: float = 0.0, is_assumed: bool = False
    ) -> None:
        decoded = self.source.decode_wanted(stored)
        if isinstance(decoded, Err):
            logging.error("declared weights are malformed: %s", decoded.err_value)
            return
        self.catalog.update_wanted(decoded.ok_value, age_s, is_assumed)
