"""What upstreams announce in their answers: that they leave, or ask for a pause."""

import functools
import hashlib
import random
from typing import Iterable, Mapping

from attrs import define, field, frozen

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.messages import ResponseMetadata
from rosemaryyoke.fleet.rate_limits import RateLimit
from rosemaryyoke.http1 import Address

KEY_BYTES = 8
KEY_CACHE_SIZE = 4_096
MAX_PAUSE_S = 300.0
# A registration may lapse and return, or come back from an older copy of the store.
UNLISTED_TTL_S = 60.0
MAX_REPORTED_DEPARTURES = 8  # per datagram
MAX_LOGGED_BYTES = 64


@frozen
class Incarnation:
    """One start of an upstream; ``born_ms`` is its Unix time, or 0 if unknown."""

    name: str
    address: Address
    born_ms: int = 0


def incarnation_of(upstream: Upstream) -> Incarnation:
    """Return the incarnation that a registration describes."""
    return Incarnation(upstream.name, upstream.address, upstream.born_ms)


def is_same_incarnation(known: Upstream, upstream: Upstream) -> bool:
    """Return whether two registrations of one name describe the same incarnation."""
    births = {known.born_ms, upstream.born_ms} - {0}
    return known.address == upstream.address and len(births) <= 1


@functools.lru_cache(KEY_CACHE_SIZE)
def incarnation_key(incarnation: Incarnation) -> int:
    """Return a hash of an incarnation, for messages with no room for names."""
    text = f"{incarnation.name} {incarnation.address} {incarnation.born_ms}"
    digest = hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def has_notice(metadata: ResponseMetadata) -> bool:
    """Return whether the head of an answer announces anything."""
    return metadata.leaving or any(
        value is not None
        for value in (
            metadata.retry_after_s,
            metadata.malformed_retry_after,
            metadata.limit_per_s,
            metadata.malformed_limit,
        )
    )


@define(eq=False)
class Notices:
    """What an incarnation of an upstream has announced.

    ``paused_until_s`` is the end of the time in which it wants no requests from this
    host, ``listed_s`` when its registration was last known, ``limit`` the rate of
    requests that it takes from all hosts together.
    """

    leaving: bool = False
    paused_until_s: float = 0.0
    listed_s: float = 0.0
    limit: RateLimit = field(factory=RateLimit)

    def paused(self, now_s: float) -> bool:
        """Return whether the upstream wants no requests from this host."""
        return now_s < self.paused_until_s

    def wait_s(self, now_s: float) -> float:
        """Return the time until the upstream may get a request of this host."""
        return max(0.0, self.paused_until_s - now_s, self.limit.wait_s(now_s))

    def mark_leaving(self, upstream: Upstream, reported_by: str | None = None) -> None:
        """Record, once, that the upstream leaves; no later answer undoes it."""
        if self.leaving:
            return
        self.leaving = True
        log_event(
            "upstream leaving",
            upstream=upstream.name,
            born_ms=upstream.born_ms,
            reported_by=reported_by,
        )

    def pause(self, upstream: Upstream, pause_s: float, now_s: float) -> None:
        """Record a pause that the upstream asks for; a shorter one changes nothing."""
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        if until_s <= max(now_s, self.paused_until_s):
            return
        self.paused_until_s = until_s
        log_event("upstream paused", upstream=upstream.name, pause_s=pause_s)

    def record(
        self, upstream: Upstream, metadata: ResponseMetadata, now_s: float
    ) -> None:
        """Record what the head of an answer announces."""
        if metadata.leaving:
            self.mark_leaving(upstream)
        if metadata.retry_after_s is not None:
            self.pause(upstream, metadata.retry_after_s, now_s)
        if metadata.malformed_retry_after is not None:
            log_event(
                "malformed retry time ignored",
                upstream=upstream.name,
                value=metadata.malformed_retry_after[:MAX_LOGGED_BYTES],
            )
        if metadata.malformed_limit is not None:
            log_event(
                "malformed limit ignored",
                upstream=upstream.name,
                value=metadata.malformed_limit[:MAX_LOGGED_BYTES],
            )


@define(eq=False)
class NoticeRegister:
    """Notices by incarnation, kept for a time after the registration is gone.

    An incarnation of unknown birth ends with its registration: the next one of that
    name could be a new start.
    """

    notices: dict[Incarnation, Notices] = field(factory=dict)

    def find(self, upstream: Upstream) -> Notices:
        """Return what an incarnation has announced, or empty notices."""
        return self.notices.get(incarnation_of(upstream)) or Notices()

    def keep(self, upstream: Upstream, notices: Notices, now_s: float) -> None:
        """Keep the notices of a registered upstream."""
        notices.listed_s = now_s
        self.notices[incarnation_of(upstream)] = notices

    def departures(self) -> set[int]:
        """Return the keys of the kept incarnations that leave."""
        return {
            incarnation_key(incarnation)
            for incarnation, notices in self.notices.items()
            if notices.leaving
        }

    def expire(self, upstreams: Mapping[str, Upstream], now_s: float) -> None:
        """Forget the incarnations that are no longer registered."""
        for incarnation, notices in list(self.notices.items()):
            upstream = upstreams.get(incarnation.name)
            if upstream is not None and incarnation_of(upstream) == incarnation:
                notices.listed_s = now_s
            elif not incarnation.born_ms or now_s - notices.listed_s > UNLISTED_TTL_S:
                del self.notices[incarnation]


def sample_departures(noticed: Iterable[tuple[Upstream, Notices]]) -> tuple[int, ...]:
    """Return the keys of upstreams that leave, a random sample if there are many.

    Those whose registration says that they are draining are left out.
    """
    keys = [
        incarnation_key(incarnation_of(upstream))
        for upstream, notices in noticed
        if notices.leaving and not upstream.draining
    ]
    return tuple(random.sample(keys, min(MAX_REPORTED_DEPARTURES, len(keys))))
