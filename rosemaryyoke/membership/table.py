"""The table of hosts: what each host last said of itself, and who is suspected.

Source of suspicion and its refutation: Das et al., "SWIM: Scalable Weakly-consistent
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
    """One host, as of the version that it gave itself.

    ``incarnation`` rises with each start of the host's process, ``version`` with each
    change that the host makes to its own entry. ``standing`` is what others hold of it.
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

    @property
    def live(self) -> bool:
        """Tell whether callers may be sent to the host."""
        return self.standing == ALIVE and not self.leaving

    @property
    def state(self) -> str:
        """Return the state in a word."""
        if self.standing == ALIVE and self.leaving:
            return "leaving"
        return STANDING_NAMES[self.standing]

    def order(self) -> tuple[int, int, int]:
        """Return what decides which of two entries is the newer."""
        return self.incarnation, self.version, self.standing


def newer(known: Member | None, heard: Member) -> bool:
    """Tell whether what was heard replaces what is known."""
    return known is None or heard.order() > known.order()


def complete(known: Member | None, heard: Member) -> Member | None:
    """Return an entry with its addresses, which a short update leaves out."""
    if heard.address:
        return heard
    if known is None or known.incarnation != heard.incarnation:
        return None
    return evolve(
        heard,
        address=known.address,
        peer_address=known.peer_address,
        data_centre=known.data_centre,
    )


class MemberTable:
    """Merge entries; the host's own entry is changed by itself alone."""

    def __init__(self, me: Member):
        self.lock = threading.RLock()
        self.members: dict[str, Member] = {me.name: me}
        self.my_name = me.name
        self.generation = 0

    @property
    def me(self) -> Member:
        """Return the host's own entry."""
        return self.members[self.my_name]

    def merge(self, heard: Member) -> Member | None:
        """Take in an entry; return what changed, for others to be told."""
        if heard.name == self.my_name:
            return self._refute(heard)
        with self.lock:
            known = self.members.get(heard.name)
            if not newer(known, heard):
                return None
            entry = complete(known, heard)
            if entry is None:
                return None
            self.members[entry.name] = entry
            self.generation += 1
            return entry

    def _refute(self, heard: Member) -> Member | None:
        """Answer a suspicion of this host with a newer entry."""
        with self.lock:
            if heard.order() <= self.me.order():
                return None
            return self.change_me(
                incarnation=max(heard.incarnation, self.me.incarnation),
                version=heard.version,
            )

    def change_me(self, **changes) -> Member:
        """Change the host's own entry and return it under a new version."""
        with self.lock:
            changed = evolve(self.me, **changes)
            self.members[self.my_name] = evolve(changed, version=changed.version + 1)
            self.generation += 1
            return self.me

    def judge(self, name: str, standing: int) -> Member | None:
        """Hold a worse standing of a host; return the entry if it is news."""
        with self.lock:
            known = self.members.get(name)
            if known is None or name == self.my_name or known.standing >= standing:
                return None
            entry = evolve(known, standing=standing)
            self.members[name] = entry
            self.generation += 1
            return entry

    def forget(self, name: str) -> None:
        """Drop a host."""
        with self.lock:
            if name != self.my_name and self.members.pop(name, None):
                self.generation += 1

    def all(self) -> list[Member]:
        """Return all hosts by name."""
        with self.lock:
            return sorted(self.members.values(), key=lambda member: member.name)
