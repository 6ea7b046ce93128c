"""Roles of hosts: which ones read the store, and which hosts the others poll.

A host that reads the store makes calls all the time, so the load on the store would
grow with the fleet. Instead, a few hosts, the watchers, read the store, and the others
poll them. In a large fleet two hosts of each data centre, its relays, poll the
watchers, and the rest of the data centre polls the relays.
"""

import math

from attrs import define, field

from rosemaryyoke.catalog.timing import DEFAULT_TIMING, ViewTiming
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.table import MIN_PEERS_FOR_HIERARCHY, HostTable
from rosemaryyoke.placement.rendezvous import rank

WATCHERS = 2  # one may fail; others find out soon if the store rejects both
FIRST_CHOICES = 3  # hosts that probe the store while nobody reads it
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

    Times are those of the monotonic clock. A store may reject single hosts, so the
    watchers are chosen among the hosts that read it now: a host becomes one only after
    the store has answered it. While no host is known to read the store, they are chosen
    among those that are not known to have failed.
    """

    host: str
    data_centre: str
    table: HostTable
    avoid_until_s: dict[str, float] = field(factory=dict)
    store_failed_s: float = -math.inf
    store_read_s: float = -math.inf
    timing: ViewTiming = DEFAULT_TIMING

    def is_watcher(self, now_s: float) -> bool:
        """Return whether this host must read the store for itself and others."""
        reading = self.reading(now_s)
        if reading:
            return self.host in rank(WATCHERS_KEY, reading, WATCHERS)
        eligible = [*self.eligible(now_s)]
        if self.reaches_store(now_s):
            eligible.append(self.host)
        return self.host in rank(WATCHERS_KEY, eligible, WATCHERS)

    def is_candidate(self, now_s: float) -> bool:
        """Return whether this host is to find out if it can be a missing watcher."""
        reading = self.reading(now_s)
        missing = WATCHERS - len(reading)
        if not reading or missing <= 0 or not self.reaches_store(now_s):
            return False
        others = self.eligible(now_s).keys() - set(reading)
        return self.host not in reading and self.host in rank(
            WATCHERS_KEY, [self.host, *others], missing
        )

    def is_prober(self, now_s: float) -> bool:
        """Return whether this host probes the store often while nobody reads it."""
        return not self.reading(now_s) and self.position(now_s) < FIRST_CHOICES

    def position(self, now_s: float) -> int:
        """Return this host's place in the order in which hosts try the store."""
        names = [self.host, *self.live_hosts(now_s)]
        return rank(WATCHERS_KEY, names, len(names)).index(self.host)

    def reading(self, now_s: float) -> list[str]:
        """Return the hosts that read the store now, as far as is known."""
        found = [
            name
            for name, state in self.live_hosts(now_s).items()
            if state.ready and state.reads_store
        ]
        return [*found, self.host] if self.reads_store(now_s) else found

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
        reading = [name for name in self.reading(now_s) if name != self.host]
        names = rank(WATCHERS_KEY, reading, WATCHERS)
        if not names:
            names = rank(WATCHERS_KEY, eligible, WATCHERS)
        live = self.live_hosts(now_s)
        return [live[name] for name in names if name in live]

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

    def record_store_read(self, success: bool, now_s: float) -> None:
        """Record the outcome of a read of the store's state by this host."""
        self.record_store_call(success, now_s)
        self.store_read_s = now_s if success else -math.inf

    def reads_store(self, now_s: float) -> bool:
        """Return whether this host has read the store's state lately."""
        return now_s - self.store_read_s < self.timing.reading_ttl_s

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
