"""How an account's limit is divided among its home hosts: by what each is asked for.

A home host that comes near its part asks the others what they are asked for, and tells
them what it is asked for itself.
"""

import threading
import time

from absl import logging
from attrs import define, field

from rosemaryyoke.core import Kernel
from rosemaryyoke.limits.decay import DecayedSum
from rosemaryyoke.membership import Member
from rosemaryyoke.peers import Message, PeerError

DEMAND_HALF_LIFE_S = 2.0
EXCHANGE_PERIOD_S = 0.5
NEAR_SHARE = 0.3
LEAST_SHARE = 0.02
FRESH_S = 5.0
ASK_TIMEOUT_S = 0.5


def make_demand() -> DecayedSum:
    """Return requests that none was added to yet."""
    return DecayedSum(DEMAND_HALF_LIFE_S)


@define
class Heard:
    """What another home host said that it is asked for."""

    rate_per_s: float
    at_s: float


@define
class AccountShare:
    """An account's demand here and at its other home hosts."""

    mine: DecayedSum = field(factory=make_demand)
    others: dict[str, Heard] = field(factory=dict)

    def forget_stale(self, now_s: float) -> None:
        """Drop what other hosts said long ago."""
        for host in [h for h, v in self.others.items() if now_s - v.at_s > FRESH_S]:
            del self.others[host]

    def share(self, homes: int, now_s: float) -> float:
        """Return this host's part of the limit, between 0 and 1."""
        fresh = [h for h in self.others.values() if now_s - h.at_s < FRESH_S]
        if homes <= 1 or not fresh:
            return 1.0 / max(1, homes)
        mine = self.mine.rate_per_s(now_s)
        total = mine + sum(heard.rate_per_s for heard in fresh)
        if total <= 0:
            return 1.0 / homes
        spread = 1.0 - LEAST_SHARE * homes
        return LEAST_SHARE + spread * mine / total


class Shares:
    """Exchange demand between an account's home hosts."""

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.lock = threading.Lock()
        self.accounts: dict[str, AccountShare] = {}

    def start(self) -> None:
        """Answer other hosts, and ask them from time to time."""
        self.members = self.kernel.get("members")
        self.peers = self.kernel.get("peers")
        self.revisions = self.kernel.get("revisions")
        self.peers.server.handlers.register("getUse")(self.give_use)
        self.kernel.get("timer").every(EXCHANGE_PERIOD_S, self.exchange)

    def stop(self) -> None:
        """Do nothing; the timer ends the exchange."""

    def asked(self, account: str, now_s: float) -> float:
        """Count a request and return this host's part of the account's limit."""
        homes = self.members.home_count(account)
        with self.lock:
            entry = self.accounts.setdefault(account, AccountShare())
            entry.mine.add(1.0, now_s)
            return entry.share(homes, now_s)

    def exchange(self) -> None:
        """Ask the other homes of each account that comes near its part here."""
        now_s = time.monotonic()
        for account in self._near_share(now_s):
            for home in self.members.homes(account):
                if home.name != self.members.local_member.name:
                    self._ask(account, home)

    def _near_share(self, now_s: float) -> list[str]:
        rules = self.revisions.rules
        near = []
        with self.lock:
            for account, entry in list(self.accounts.items()):
                entry.forget_stale(now_s)
                rate = entry.mine.rate_per_s(now_s)
                limit = rules.find_limit(account).requests_per_s
                share = entry.share(self.members.home_count(account), now_s)
                if rate < LEAST_SHARE and not entry.others:
                    del self.accounts[account]
                elif limit and rate > NEAR_SHARE * share * limit:
                    near.append(account)
        return near

    def _ask(self, account: str, home: Member) -> None:
        request = Message.new_message()
        query = request.init("getUse")
        query.account = account
        query.host = self.members.local_member.name
        query.demand = self._rate(account)
        try:
            answer = self.peers.caller.ask(home.peer_address, request, ASK_TIMEOUT_S)
        except PeerError as error:
            logging.debug("demand not had from %s: %s", home.name, error)
            return
        if answer.which() == "use":
            self._hear(account, home.name, answer.use)

    def _rate(self, account: str) -> float:
        with self.lock:
            entry = self.accounts.get(account)
            return entry.mine.rate_per_s(time.monotonic()) if entry else 0.0

    def _hear(self, account: str, host: str, rate_per_s: float) -> None:
        with self.lock:
            entry = self.accounts.setdefault(account, AccountShare())
            entry.others[host] = Heard(max(0.0, rate_per_s), time.monotonic())

    def give_use(self, channel, message):
        """Take in another home's demand and answer with this host's."""
        query = message.getUse
        self._hear(query.account, query.host, query.demand)
        answer = Message.new_message()
        answer.use = self._rate(query.account)
        return answer
