"""Shares of quotas that hosts lend to the granting host, for a short time.

Each of a few hosts, the lenders, has an equal share of the quotas of a shard of
accounts. It lends it to one host at a time, which may grant as much as it was lent.
Whatever hosts hear of each other, no share is used twice, and there is nothing to agree
on: a lender decides about its own share alone.
"""

import hashlib
import heapq
import math
from typing import Iterable

from attrs import define, field, frozen

from rosemaryyoke.placement.rendezvous import score

# Accounts share leases, so that the cost of these doesn't grow with their number.
SHARDS = 64
LEASE_S = 1.0  # bounds how long requests are refused after the granting host has died
RENEW_PERIOD_S = 0.3  # two renewals may be lost
CLOCK_MARGIN_S = 0.02  # of the borrower, whose clock may run slower by 2 %
MAX_LENDERS = 15  # bounds the datagrams of a renewal in a large fleet
# How long hosts that are no longer heard count as lenders; a minority that is cut
# off for longer than this would take the role a second time.
MEMORY_S = 300.0
# Hosts that are heard and don't answer are of earlier builds, which know no quotas. A
# host is one only after these, so that a lost datagram makes no lender disappear.
HELLOS = 4
HELLO_PERIOD_S = 0.5
MUTE_HELLO_PERIOD_S = 10.0  # such a host may be replaced by one of this build
MAX_RANKED = 4  # hosts that are asked one after the other


def account_key(name: str) -> int:
    """Return the key of an account."""
    digest = hashlib.blake2b(name.encode(), digest_size=8, person=b"quota").digest()
    return int.from_bytes(digest, "big")


def shard_of(name: str) -> int:
    """Return the shard of an account."""
    return account_key(name) % SHARDS


def shard_key(shard: int) -> bytes:
    """Return the key by which hosts are ranked for a shard."""
    return b"quotas/%d" % shard


@frozen
class Loan:
    """A lender's reply: whether it lent its share, else to whom it is lent.

    ``known`` is the number of hosts that the lender knows.
    """

    granted: bool
    holder: str = ""
    known: int = 1


@define
class LentShard:
    """A share that is lent to a borrower, a process of a host."""

    borrower: str
    sequence: int
    until_s: float


@define(eq=False)
class Lender:
    """Lends this host's shares; what an earlier process lent has expired first."""

    started_s: float
    loans: dict[int, LentShard] = field(factory=dict)

    def holder(self, shard: int, now_s: float) -> str:
        """Return the borrower to which a shard is lent, or nothing."""
        loan = self.loans.get(shard)
        if loan is None or loan.until_s <= now_s:
            return ""
        return loan.borrower

    def lend(
        self, shard: int, borrower: str, sequence: int, now_s: float, known: int
    ) -> Loan:
        """Lend the share of a shard to a borrower if it is lent to nobody else."""
        if now_s - self.started_s < LEASE_S:
            return Loan(False, "", known)
        holder = self.holder(shard, now_s)
        if holder not in ("", borrower):
            return Loan(False, holder, known)
        loan = self.loans.get(shard)
        if loan is not None and loan.borrower == borrower:
            if sequence <= loan.sequence:  # a late datagram
                return Loan(False, "", known)
        self.loans[shard] = LentShard(borrower, sequence, now_s + LEASE_S)
        return Loan(True, borrower, known)

    def release(self, shard: int, borrower: str, sequence: int) -> None:
        """Forget a loan that its borrower has given back."""
        loan = self.loans.get(shard)
        if loan is not None and loan.borrower == borrower:
            if sequence > loan.sequence:
                loan.sequence, loan.until_s = sequence, 0.0


@define(eq=False)
class Claim:
    """What this host was lent of one shard of accounts.

    ``grown_s`` is when its share last grew. ``loans`` are the ends of the
    loans by lender, each counted from when it was asked for. Until ``retry_s`` the
    host doesn't ask for them, until ``rival_until_s`` it does so only for a request.
    """

    shard: int
    loans: dict[str, float] = field(factory=dict)
    known: dict[str, int] = field(factory=dict)
    lenders: int = 1
    asked_s: dict[int, float] = field(factory=dict)
    began_s: float = 0.0
    sent_s: float = 0.0
    retry_s: float = 0.0
    rival: str = ""
    rival_until_s: float = 0.0
    grown_s: float = 0.0
    known_share: float = 0.0
    held_until_s: float = 0.0
    epoch: int = 0

    def is_held(self, now_s: float) -> bool:
        """Return whether this host may grant."""
        return now_s < self.held_until_s

    def share(self, now_s: float) -> float:
        """Return the part of each quota that is lent to this host, from 0 to 1."""
        lent = sum(until_s > now_s for until_s in self.loans.values())
        return min(1.0, lent / self.lenders)

    def live_rival(self, live: Iterable[str], now_s: float) -> bool:
        """Return whether a host that is heard was lately found to hold loans, too."""
        return now_s < self.rival_until_s and self.rival in live

    def ask(self, sequence: int, now_s: float) -> None:
        """Record that lenders are asked for their loans."""
        if not self.asked_s:
            self.began_s = now_s
        self.sent_s = now_s
        self.asked_s[sequence] = now_s
        for old in [key for key, at in self.asked_s.items() if now_s - at > LEASE_S]:
            del self.asked_s[old]

    def record(self, lender: str, sequence: int, loan: Loan) -> None:
        """Record a loan; what it changes is found out by ``update``."""
        self.known[lender] = loan.known
        asked_s = self.asked_s.get(sequence)
        if asked_s is not None and loan.granted:
            until_s = asked_s + LEASE_S - CLOCK_MARGIN_S
            self.loans[lender] = max(until_s, self.loans.get(lender, 0.0))

    def update(self, lenders: Iterable[str], now_s: float) -> bool:
        """Find out how much is lent to this host, and until when.

        Return whether it begins to hold the role now. A host that knows fewer hosts
        than those that it asked, as it has just started, counts theirs.
        """
        was_held = self.is_held(now_s)
        chosen = set(lenders)
        for name in self.loans.keys() - chosen:
            del self.loans[name]
        most_known = max((self.known.get(name, 0) for name in chosen), default=0)
        self.lenders = max(1, len(chosen), min(MAX_LENDERS, most_known))
        self.held_until_s = max(self.loans.values(), default=0.0)
        share = self.share(now_s)
        if share > self.known_share:
            self.grown_s = now_s
        self.known_share = share
        if was_held or not self.is_held(now_s):
            return False
        self.grown_s = now_s
        self.epoch += 1
        return True

    def give_up(self, retry_s: float) -> None:
        """Forget all loans, so that late replies don't count."""
        self.loans.clear()
        self.asked_s.clear()
        self.held_until_s = 0.0
        self.retry_s = retry_s


@define(eq=False)
class Members:
    """The hosts that this one hears, and those that it remembers.

    ``answering`` are those that have sent a datagram on quotas, ``mute`` those that
    were greeted in vain, which ``names`` leaves out. ``hellos`` are the number of
    greetings of a host and the time of the last one.
    """

    own: str
    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    heard_s: dict[str, float] = field(factory=dict)
    answering: set[str] = field(factory=set)
    hellos: dict[str, tuple[int, float]] = field(factory=dict)
    mute: frozenset[str] = frozenset()
    names: frozenset[str] = field(init=False)
    lenders: dict[int, list[str]] = field(factory=dict)
    ranks: dict[int, list[str]] = field(factory=dict)
    scores: dict[int, dict[str, float]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.names = frozenset({self.own})

    def update(
        self,
        live: Iterable[str],
        now_s: float,
        leaving: Iterable[str] = (),
        replaced: Iterable[str] = (),
    ) -> None:
        """Update the hosts; forget those that left or whose address was taken over."""
        live, leaving = frozenset(live) - {self.own}, frozenset(leaving)
        for name in live:
            self.heard_s[name] = now_s
        gone = set(replaced) | (self.leaving - live)
        gone |= {
            name for name, at in self.heard_s.items() if now_s - at > MEMORY_S
        } - live
        for name in gone:
            self.heard_s.pop(name, None)
            self.answering.discard(name)
            self.hellos.pop(name, None)
        if live != self.live or leaving != self.leaving:
            self.ranks.clear()
        self.live, self.leaving = live, leaving
        self.update_names()

    def update_names(self) -> None:
        """Update the hosts that count, and forget what was computed of others."""
        self.mute = frozenset(
            name
            for name, (count, _) in self.hellos.items()
            if count > HELLOS and name not in self.answering
        )
        names = (frozenset(self.heard_s) - self.mute) | {self.own}
        if names != self.names:
            self.names = names
            self.lenders.clear()
            self.ranks.clear()
            for scores in self.scores.values():
                for name in scores.keys() - names:
                    del scores[name]

    def record_answer(self, host: str) -> None:
        """Record that a host has sent a datagram on quotas."""
        if host not in self.answering:
            self.answering.add(host)
            self.hellos.pop(host, None)
            self.update_names()

    def to_greet(self, now_s: float) -> list[str]:
        """Return the hosts to greet now, which have not sent such a datagram yet."""
        due = []
        for name in self.live - self.answering:
            count, last_s = self.hellos.get(name, (0, -math.inf))
            period_s = HELLO_PERIOD_S if count <= HELLOS else MUTE_HELLO_PERIOD_S
            if now_s - last_s >= period_s:
                self.hellos[name] = (count + 1, now_s)
                due.append(name)
        if due:
            self.update_names()
        return due

    def forget(self, host: str) -> None:
        """Forget a host that is not heard any more."""
        if host in self.heard_s and host not in self.live:
            del self.heard_s[host]
            self.answering.discard(host)
            self.hellos.pop(host, None)
            self.update_names()

    def lenders_of(self, shard: int) -> list[str]:
        """Return the lenders of a shard."""
        if shard not in self.lenders:
            self.lenders[shard] = self.best(shard, self.names, MAX_LENDERS)
        return self.lenders[shard]

    def ranked(self, shard: int) -> list[str]:
        """Return the first live hosts of a shard, this one included."""
        if shard not in self.ranks:
            names = self.live - self.leaving - self.mute | {self.own}
            self.ranks[shard] = self.best(shard, names, MAX_RANKED)
        return self.ranks[shard]

    def best(self, shard: int, names: Iterable[str], count: int) -> list[str]:
        """Return the first hosts of a shard; their scores are computed once."""
        scores = self.scores.setdefault(shard, {})
        key = shard_key(shard)
        for name in names:
            if name not in scores:
                scores[name] = score(key, name)
        return heapq.nlargest(count, names, key=scores.__getitem__)
