"""Roles of hosts: which ones read the store, and which hosts the others poll.

A host that reads the store makes calls all the time, so the load on the store would
grow with the fleet. Instead, a few hosts, the watchers, read the store, and the others
poll them. In a large fleet two hosts of each data centre, its relays, poll the
watchers, and the rest of the data centre polls the relays.
"""

import math

from attrs import define, field

from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.table import MIN_PEERS_FOR_HIERARCHY, HostTable
from rosemaryyoke.placement.rendezvous import rank

WATCHERS = 3  # one may fail, and the store may reject another
RELAYS_PER_DATA_CENTRE = 2  # one may fail
WATCHERS_KEY = b"watchers"
WATCHER, RELAY, FOLLOWER = "watcher", "relay", "follower"
ROLES = (WATCHER, RELAY, FOLLOWER)
UNRESPONSIVE_BACKOFF_S = 5.0
REFUSAL_BACKOFF_S = 0.5  # a watcher that lost the store is replaced within a second
STORE_FAILURE_TTL_S = 5.0  # a host whose call to the store failed is then tried again


@define(eq=False)
class WatcherRoles:
    """The role of this host, and its view of the watchers and relays.

    Times are those of the monotonic clock. A host whose last call to the store failed
    is replaced as a watcher, because a store may reject single hosts.
    """

    host: str
    data_centre: str
    table: HostTable
    avoid_until_s: dict[str, float] = field(factory=dict)
    store_failed_s: float = -math.inf

    def is_watcher(self, now_s: float) -> bool:
        """Return whether this host must read the store for itself and others."""
        eligible = [*self.eligible(now_s)]
        if self.reaches_store(now_s):
            eligible.append(self.host)
        return self.host in rank(WATCHERS_KEY, eligible, WATCHERS)

    def is_first_choice(self, now_s: float) -> bool:
        """Return whether this host would be a watcher if all hosts reached the store.

        While the store is down, only these hosts probe it often.
        """
        return self.host in rank(
            WATCHERS_KEY, [self.host, *self.live_hosts(now_s)], WATCHERS
        )

    def role(self, now_s: float) -> str:
        """Return the name of this host's role, for logs and metrics."""
        if self.is_watcher(now_s):
            return WATCHER
        live = len(self.live_hosts(now_s))
        is_relay = live >= MIN_PEERS_FOR_HIERARCHY and not self.relays(now_s)
        return RELAY if is_relay else FOLLOWER

    def watchers(self, now_s: float) -> list[HostState]:
        """Return the other hosts that are watchers."""
        eligible = self.eligible(now_s)
        return [eligible[name] for name in rank(WATCHERS_KEY, eligible, WATCHERS)]

    def relays(self, now_s: float) -> list[HostState]:
        """Return this data centre's relays; none on a relay or in a small fleet."""
        live = self.live_hosts(now_s)
        if len(live) < MIN_PEERS_FOR_HIERARCHY:
            return []
        local = {
            name: state
            for name, state in live.items()
            if state.data_centre == self.data_centre and state.ready
        }
        key = self.data_centre.encode()
        names = rank(key, [*local, self.host], RELAYS_PER_DATA_CENTRE)
        return [] if self.host in names else [local[name] for name in names]

    def peers_to_poll(self, now_s: float) -> list[HostState]:
        """Return the hosts that this one may poll, the preferred one first.

        The list is empty if this host is a watcher or must read the store itself.
        """
        if self.is_watcher(now_s):
            return []
        relays = self._usable(self.relays(now_s), now_s)
        return [*relays, *self._usable(self.watchers(now_s), now_s)]

    def record_poll_failure(self, host: str, refused: bool, now_s: float) -> None:
        """Avoid a host for a while; ``refused`` means that it did respond."""
        backoff_s = REFUSAL_BACKOFF_S if refused else UNRESPONSIVE_BACKOFF_S
        self.avoid_until_s[host] = now_s + backoff_s

    def record_store_call(self, success: bool, now_s: float) -> None:
        """Record whether the store answered a call of this host."""
        self.store_failed_s = -math.inf if success else now_s

    def reaches_store(self, now_s: float) -> bool:
        """Return whether no recent call of this host to the store has failed."""
        return now_s - self.store_failed_s > STORE_FAILURE_TTL_S

    def eligible(self, now_s: float) -> dict[str, HostState]:
        """Return the ready hosts that are not known to have lost the store."""
        return {
            name: state
            for name, state in self.live_hosts(now_s).items()
            if state.ready and state.store_reachable
        }

    def live_hosts(self, now_s: float) -> dict[str, HostState]:
        """Return the states of the other live hosts by name."""
        return {peer.beacon.host: peer.beacon for peer in self.table.live_peers(now_s)}

    def _usable(self, hosts: list[HostState], now_s: float) -> list[HostState]:
        """Return the hosts that are not avoided, those of this data centre first."""
        by_name = {
            state.host: state
            for state in hosts
            if now_s >= self.avoid_until_s.get(state.host, 0.0)
        }
        ordered = [
            by_name[name] for name in rank(self.host.encode(), by_name, WATCHERS)
        ]
        return sorted(ordered, key=lambda state: state.data_centre != self.data_centre)
