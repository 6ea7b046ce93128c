"""Upstreams that this host has seen leave, which binds it over a restore of the store.

A copy of the store may lack the news that an upstream drains or is gone, so that its
older entry is back. Only what the upstream writes after the restore counts then.
"""

from typing import Mapping

from attrs import define, evolve, field, frozen

from rosemaryyoke.catalog.model import Upstream
from rosemaryyoke.core.logs import log_event

MAX_DEPARTURES = 1_024  # the oldest ones are forgotten
# The store removes an entry that goes unwritten for three heartbeats, so one that is
# still there after this time belongs to a live upstream.
UNWRITTEN_ENTRY_TTL_S = 8.0


@frozen
class Departure:
    """An upstream as last seen, draining or gone, and the store's era at that time."""

    upstream: Upstream
    era: int
    gone: bool = False


@define(eq=False)
class Departures:
    """Departed upstreams by name, and the names of those that are withheld."""

    known: dict[str, Departure] = field(factory=dict)
    withheld: set[str] = field(factory=set)

    def record_gone(self, upstream: Upstream, era: int) -> None:
        """Record that an upstream is no longer registered."""
        self._record(Departure(upstream, era, gone=True))

    def apply(
        self,
        registered: Mapping[str, Upstream],
        known: Mapping[str, Upstream],
        era: int,
        era_age_s: float,
    ) -> dict[str, Upstream]:
        """Return the upstreams to use, given the registered and the known ones.

        ``era_age_s`` is how long this host has known of the era.
        """
        found, withheld = {}, set()
        for name, upstream in registered.items():
            is_unwritten = upstream.written_era < era
            if is_unwritten and name in known:
                upstream = keep_newer(known[name], upstream)
            departure = self.known.get(name)
            if departure is not None:
                if has_returned(departure, upstream, era, era_age_s):
                    del self.known[name]
                    departure = None
                elif departure.gone and is_unwritten:
                    withheld.add(name)
                    continue
                elif departure.upstream.draining:
                    upstream = evolve(upstream, draining=True)
            is_news = departure is None or departure.era < era
            if registered[name].draining and is_news:
                self._record(Departure(upstream, era))
            found[name] = upstream
        for name in withheld - self.withheld:
            log_event("upstream withheld", upstream=name, era=era)
        self.withheld = withheld
        return found

    def _record(self, departure: Departure) -> None:
        self.known.pop(departure.upstream.name, None)
        self.known[departure.upstream.name] = departure
        while len(self.known) > MAX_DEPARTURES:
            del self.known[next(iter(self.known))]


def has_returned(
    departure: Departure, upstream: Upstream, era: int, era_age_s: float
) -> bool:
    """Return whether the store's entry supersedes a departure.

    An upstream that drained in an older era stays so until it starts again.
    """
    if is_newer_incarnation(upstream, departure.upstream):
        return True
    is_written = upstream.written_era >= era
    if departure.era == era:
        return departure.gone or (is_written and not upstream.draining)
    if departure.upstream.draining:
        return False
    return departure.gone and (is_written or era_age_s > UNWRITTEN_ENTRY_TTL_S)


def is_newer_incarnation(upstream: Upstream, known: Upstream) -> bool:
    """Return whether an entry is of a later start than the known one."""
    if upstream.born_ms and known.born_ms:
        return upstream.born_ms > known.born_ms
    return upstream.address != known.address


def keep_newer(known: Upstream, unwritten: Upstream) -> Upstream:
    """Return an entry that may come from a copy, without what it takes back."""
    if known.born_ms > unwritten.born_ms > 0:
        return evolve(known, written_era=unwritten.written_era)
    weights = {
        model: max(version, known.weights.get(model, 0))
        for model, version in unwritten.weights.items()
    }
    if weights == unwritten.weights:
        return unwritten
    return evolve(unwritten, weights=weights)
