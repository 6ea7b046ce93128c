"""Rate limits that upstreams name, divided among the hosts that may use them.

Each upstream's limit is shared by a few hosts that all hosts compute alike, so that a
small limit is not divided into shares below one request in many seconds. What a host
may send follows from its own share alone, whatever the others know.
"""

import math
import random
from typing import Sequence

from attrs import define, frozen

from rosemaryyoke.limits.bucket import TokenBucket
from rosemaryyoke.placement.rendezvous import rank

SAFETY_FACTOR = 0.8  # hosts may briefly disagree on which hosts there are
# An upstream that takes nothing is still asked now and then, or its limit never ends.
MIN_RATE_PER_S = 0.1
MIN_SHARING_HOSTS = 3
SHARING_HOSTS_PER_RATE = 2.0
ENDED_REPORT_S = 10.0  # hosts that have no share learn of the end from reports
# Reports of other hosts seem younger than they are, by the time on their way.
REPORT_TOLERANCE_S = 0.05


@frozen
class LimitReport:
    """What a host knows of an upstream's limit; ``None`` if it has none any more."""

    upstream: str
    limit_per_s: float | None
    observed_s: float


def host_share_per_s(
    limit_per_s: float, upstream: str, own: str, hosts: Sequence[str]
) -> float:
    """Return the rate at which a host may send; 0 if other hosts share the limit."""
    rate_per_s = SAFETY_FACTOR * max(limit_per_s, MIN_RATE_PER_S)
    wanted = MIN_SHARING_HOSTS + SHARING_HOSTS_PER_RATE * limit_per_s
    count = int(min(wanted, len(hosts)))
    return rate_per_s / count if own in rank(upstream.encode(), hosts, count) else 0.0


@define(eq=False)
class RateLimit:
    """The limit that an incarnation of an upstream named last, and this host's share.

    ``observed_s`` is when an answer last named the limit, or named none any more.
    """

    limit_per_s: float | None = None
    observed_s: float = -math.inf
    hosts: tuple[str, ...] = ()
    bucket: TokenBucket | None = None

    def observe(self, limit_per_s: float | None, at_s: float) -> bool:
        """Record what an answer named; return whether that is a change."""
        self.observed_s = at_s
        changed = limit_per_s != self.limit_per_s
        self.limit_per_s = limit_per_s
        if changed:
            self.hosts = ()
        if limit_per_s is None:
            self.bucket = None
        return changed

    def divide(
        self, upstream: str, own: str, hosts: tuple[str, ...], now_s: float
    ) -> None:
        """Compute this host's share again if the limit or the hosts have changed."""
        if self.limit_per_s is None or hosts == self.hosts:
            return
        self.hosts = hosts
        share_per_s = host_share_per_s(self.limit_per_s, upstream, own, hosts)
        if not share_per_s:
            self.bucket = None
        elif self.bucket is None:
            self.bucket = TokenBucket(share_per_s, random.random(), now_s)
        else:
            self.bucket.refill(now_s)
            self.bucket.rate_per_s = share_per_s

    @property
    def share_per_s(self) -> float:
        """Return the rate at which this host may send."""
        return self.bucket.rate_per_s if self.bucket is not None else 0.0

    def wait_s(self, now_s: float) -> float:
        """Return the time until this host may send; infinity if it has no share."""
        if self.limit_per_s is None:
            return 0.0
        return self.bucket.wait_s(1.0, now_s) if self.bucket is not None else math.inf

    def consume(self, now_s: float) -> None:
        """Count a request that this host sends."""
        if self.limit_per_s is not None and self.bucket is not None:
            self.bucket.refill(now_s)
            self.bucket.consume(1.0)

    def is_reported(self, now_s: float) -> bool:
        """Return whether other hosts should be told of the limit, or of its end."""
        if self.limit_per_s is not None:
            return True
        return now_s - self.observed_s < ENDED_REPORT_S
