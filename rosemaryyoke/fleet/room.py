"""Room at brittle upstreams, divided among the hosts.

A brittle upstream falls over when it has to refuse more than a few requests a second.
Hosts learn of each other's requests too late to prevent that, so each keeps to its own
share of the slots, which all hosts compute alike.
"""

import math
from typing import Sequence

from attrs import define, field, frozen

from rosemaryyoke.placement.rendezvous import rank

RESERVED_SHARE = 0.1  # of the slots, for what an upstream has not ended yet
MIN_RESERVED_SLOTS = 1
BRITTLE_TTL_S = 30.0  # since an answer of the service last said so
# A placement that is not sent by then was given up.
PLACEMENT_TTL_S = 0.1
BRITTLE_REFUSAL_PAUSE_S = 1.0  # the period in which an upstream counts its refusals


@frozen
class BrittleReport:
    """The key of a service with brittle upstreams, and when an answer last said so."""

    service_key: int
    observed_s: float


def usable_slots(slots: int) -> int:
    """Return how many requests all hosts together may have at a brittle upstream."""
    reserved = max(MIN_RESERVED_SLOTS, math.ceil(RESERVED_SHARE * slots))
    return max(1, slots - reserved)


def room_share(slots: int, upstream: str, own: str, hosts: Sequence[str]) -> int:
    """Return how many requests one host may have at a brittle upstream.

    The shares of all hosts add up to the usable slots.
    """
    share, remainder = divmod(usable_slots(slots), len(hosts))
    return share + (own in rank(upstream.encode(), hosts, remainder))


@define(eq=False)
class Room:
    """What is known of the room at an upstream, and this host's share of it.

    ``brittle_s`` is when an answer of its service last said that it is brittle,
    ``plain_s`` when the last request was sent whose answer did not say so.
    ``placed_s`` are the times of placements whose requests are not under way yet.
    """

    brittle_s: float = -math.inf
    plain_s: float = -math.inf
    placed_s: list[float] = field(factory=list)
    share: int = 1
    divided: tuple = ()

    def is_brittle(self, now_s: float) -> bool:
        """Return whether the upstream falls over when it refuses requests."""
        return self.brittle_s > self.plain_s and now_s - self.brittle_s < BRITTLE_TTL_S

    def divide(self, slots: int, upstream: str, own: str, hosts: Sequence[str]) -> None:
        """Compute this host's share again if the slots or the hosts have changed."""
        key = (slots, own, hosts)
        if key != self.divided:
            self.divided = key
            self.share = room_share(slots, upstream, own, hosts)

    def has_place(self, under_way: int, now_s: float) -> bool:
        """Return whether this host may send one more request."""
        if not self.is_brittle(now_s):
            return True
        oldest_s = now_s - PLACEMENT_TTL_S
        self.placed_s = [placed_s for placed_s in self.placed_s if placed_s > oldest_s]
        return under_way + len(self.placed_s) < self.share

    def place(self, now_s: float) -> None:
        """Count a request that was placed here and is to be sent."""
        if self.is_brittle(now_s):
            self.placed_s.append(now_s)

    def begin(self) -> None:
        """Count a placed request as under way."""
        if self.placed_s:
            self.placed_s.pop(0)
