"""Membership table: the latest entry of each host, and suspected failures.

Suspicion and its refutation follow Das et al., "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002.
"""

import threading

from attrs import evolve, frozen

ALIVE = 0
SUSPECT = 1
FAILED = 2
STANDING_NAMES = {ALIVE: "live", SUSPECT: "suspect", FAILED: "failed"}


@frozen
class Member:
    """One version of a host's entry.

    ``incarnation`` increases with each start of the host's process, ``version`` with
    each change that the host makes to its own entry. ``standing`` is set by other
    hosts' failure detection. ``platform_failed`` tells that the host's last read of
    the platform's list failed.
    """

    name: str
    address: str
    peer_address: str
    data_centre: str
    incarnation: int = 0
    version: int = 0
    standing: int = ALIVE
    leaving: bool = False
    revision: int = 0
    platform_failed: bool = False

    @property
    def live(self) -> bool:
        """Return whether clients may be sent to the host."""
        return self.standing == ALIVE and not self.leaving

    @property
    def state(self) -> str:
        """Return the state as a word for operators."""
        if self.standing == ALIVE and self.leaving:
            return "leaving"
        return STANDING_NAMES[self.standing]

    def precedence(self) -> tuple[int, int, int]:
        """Return the sort key that decides which of two entries is newer."""
        return self.incarnation, self.version, self.standing


def supersedes(known: Member | None, received: Member) -> bool:
    """Return whether a received entry replaces the known one."""
    return known is None or received.precedence() > known.precedence()


def with_addresses(known: Member | None, received: Member) -> Member | None:
    """Return an entry with its addresses, or None if they are not known.

    A short update omits the addresses; they are copied from the known entry of the same
    incarnation.
    """
    if received.address:
        return received
    if known is None or known.incarnation != received.incarnation:
        return None
    return evolve(
        received,
        address=known.address,
        peer_address=known.peer_address,
        data_centre=known.data_centre,
    )


class MemberTable:
    """Members by name; only the host itself changes its own entry."""

    def __init__(self, local_member: Member):
        self.lock = threading.RLock()
        self.members: dict[str, Member] = {local_member.name: local_member}
        self.local_name = local_member.name
        self.generation = 0

    @property
    def local_member(self) -> Member:
        """Return the local host's entry."""
        return self.members[self.local_name]

    def merge(self, received: Member) -> Member | None:
        """Merge a received entry; return the entry to propagate, or None."""
        if received.name == self.local_name:
            return self._refute(received)
        with self.lock:
            known = self.members.get(received.name)
            if not supersedes(known, received):
                return None
            entry = with_addresses(known, received)
            if entry is None:
                return None
            self.members[entry.name] = entry
            self.generation += 1
            return entry

    def _refute(self, received: Member) -> Member | None:
        """Refute a suspicion of this host with a newer version of its entry."""
        with self.lock:
            if received.precedence() <= self.local_member.precedence():
                return None
            return self.update_local(
                incarnation=max(received.incarnation, self.local_member.incarnation),
                version=received.version,
            )

    def update_local(self, **changes) -> Member:
        """Change the local host's entry and return it with the next version."""
        with self.lock:
            changed = evolve(self.local_member, **changes)
            self.members[self.local_name] = evolve(changed, version=changed.version + 1)
            self.generation += 1
            return self.local_member

    def mark(self, name: str, standing: int) -> Member | None:
        """Set a worse standing for a host; return the entry if it changed."""
        with self.lock:
            known = self.members.get(name)
            if known is None or name == self.local_name or known.standing >= standing:
                return None
            entry = evolve(known, standing=standing)
            self.members[name] = entry
            self.generation += 1
            return entry

    def remove(self, name: str) -> None:
        """Remove a host; the local host stays."""
        with self.lock:
            if name != self.local_name and self.members.pop(name, None):
                self.generation += 1

    def all(self) -> list[Member]:
        """Return all hosts, sorted by name."""
        with self.lock:
            return sorted(self.members.values(), key=lambda member: member.name)
