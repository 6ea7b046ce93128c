"""Division of an account's limit among its home hosts, in proportion to demand.

A home host whose demand approaches its share of the limit exchanges demand rates with
the account's other home hosts.
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
EXCHANGE_THRESHOLD = 0.3
MIN_SHARE = 0.02
MAX_DEMAND_AGE_S = 5.0
EXCHANGE_TIMEOUT_S = 0.5


def make_demand() -> DecayedSum:
    """Return an empty decayed sum of requests."""
    return DecayedSum(DEMAND_HALF_LIFE_S)


@define
class PeerDemand:
    """Demand rate last reported by another home host."""

    rate_per_s: float
    received_at_s: float


@define
class AccountShare:
    """Demand of an account on this host and on its other home hosts."""

    local_demand: DecayedSum = field(factory=make_demand)
    peer_demands: dict[str, PeerDemand] = field(factory=dict)

    def remove_stale(self, now_s: float) -> None:
        """Remove demand reports older than ``MAX_DEMAND_AGE_S``."""
        for host in [
            h
            for h, v in self.peer_demands.items()
            if now_s - v.received_at_s > MAX_DEMAND_AGE_S
        ]:
            del self.peer_demands[host]

    def share(self, home_count: int, now_s: float) -> float:
        """Return this host's share of the limit, between 0 and 1.

        Without recent reports the limit is divided equally. Otherwise each host gets
        ``MIN_SHARE``, and the rest is divided in proportion to demand.
        """
        fresh = [
            h
            for h in self.peer_demands.values()
            if now_s - h.received_at_s < MAX_DEMAND_AGE_S
        ]
        if home_count <= 1 or not fresh:
            return 1.0 / max(1, home_count)
        local_rate_per_s = self.local_demand.rate_per_s(now_s)
        total = local_rate_per_s + sum(peer_demand.rate_per_s for peer_demand in fresh)
        if total <= 0:
            return 1.0 / home_count
        spread = 1.0 - MIN_SHARE * home_count
        return MIN_SHARE + spread * local_rate_per_s / total


class LimitShares:
    """Exchange demand rates between the home hosts of each account."""

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.lock = threading.Lock()
        self.accounts: dict[str, AccountShare] = {}

    def start(self) -> None:
        """Register the handler for peers and start the periodic exchange."""
        self.members = self.kernel.get("members")
        self.peers = self.kernel.get("peers")
        self.revisions = self.kernel.get("revisions")
        self.peers.server.handlers.register("getUse")(self.handle_get_use)
        self.kernel.get("timer").every(EXCHANGE_PERIOD_S, self.exchange_demand)

    def stop(self) -> None:
        """Do nothing; the exchange stops with the timer."""

    def record_request(self, account: str, now_s: float) -> float:
        """Record a request and return this host's share of the account's limit."""
        home_count = self.members.home_count(account)
        with self.lock:
            entry = self.accounts.setdefault(account, AccountShare())
            entry.local_demand.add(1.0, now_s)
            return entry.share(home_count, now_s)

    def exchange_demand(self) -> None:
        """Exchange demand for each account whose local demand is near its share."""
        now_s = time.monotonic()
        for account in self._accounts_near_limit(now_s):
            for home in self.members.homes(account):
                if home.name != self.members.local_member.name:
                    self._exchange_with(account, home)

    def _accounts_near_limit(self, now_s: float) -> list[str]:
        rules = self.revisions.rules
        near = []
        with self.lock:
            for account, entry in list(self.accounts.items()):
                entry.remove_stale(now_s)
                rate = entry.local_demand.rate_per_s(now_s)
                limit = rules.find_limit(account).requests_per_s
                share = entry.share(self.members.home_count(account), now_s)
                if rate < MIN_SHARE and not entry.peer_demands:
                    del self.accounts[account]
                elif limit and rate > EXCHANGE_THRESHOLD * share * limit:
                    near.append(account)
        return near

    def _exchange_with(self, account: str, home: Member) -> None:
        request = Message.new_message()
        query = request.init("getUse")
        query.account = account
        query.host = self.members.local_member.name
        query.demand = self._demand_rate(account)
        try:
            answer = self.peers.client.request(
                home.peer_address, request, EXCHANGE_TIMEOUT_S
            )
        except PeerError as error:
            logging.debug("cannot get demand from host %s: %s", home.name, error)
            return
        if answer.which() == "use":
            self._record_peer_demand(account, home.name, answer.use)

    def _demand_rate(self, account: str) -> float:
        with self.lock:
            entry = self.accounts.get(account)
            return entry.local_demand.rate_per_s(time.monotonic()) if entry else 0.0

    def _record_peer_demand(self, account: str, host: str, rate_per_s: float) -> None:
        with self.lock:
            entry = self.accounts.setdefault(account, AccountShare())
            entry.peer_demands[host] = PeerDemand(
                max(0.0, rate_per_s), time.monotonic()
            )

    def handle_get_use(self, channel, message):
        """Record a peer's demand and reply with the demand on this host."""
        query = message.getUse
        self._record_peer_demand(query.account, query.host, query.demand)
        answer = Message.new_message()
        answer.use = self._demand_rate(query.account)
        return answer
