"""Table of hosts and their liveness, updated from beacons and digests."""

import math
import random
import threading
from typing import Iterable

from attrs import define, field

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.hosts.codec import Beacon
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.http1 import Address
from rosemaryyoke.placement.rendezvous import rank

LIVENESS_TIMEOUT_S = 1.6  # tolerates the loss of several beacons
# Longer, since a digest repeats beacons received earlier and may itself be lost.
DIGEST_LIVENESS_TIMEOUT_S = 4.0
MIN_PEERS_FOR_HIERARCHY = 24  # smaller fleets exchange beacons as a full mesh
# Below the limit of the full mesh, so that every host is covered by one or the other.
MIN_PEERS_FOR_DIGESTS = 20
DIGEST_RECEIVERS_PER_DATA_CENTRE = 6  # share the relaying, each on a slow link
EXPIRY_S = 30.0
# Three times the planned fleet of 340 hosts: whatever datagrams name, no more is kept.
MAX_HOSTS = 1_000
MAX_CANDIDATES = 2_000
MIN_CLIENT_ADDRESSES = 2  # clients survive the loss of one host
MAX_CLIENT_ADDRESSES = 64
PROBES_PER_ROUND = 3
ADDRESS_SAMPLE_SIZE = 3  # from this data centre, and as many from all, per beacon


@define(eq=False)
class Peer:
    """Another host and when its state was last received, directly or in a digest."""

    beacon: HostState
    last_heard_s: float
    liveness_timeout_s: float = LIVENESS_TIMEOUT_S
    last_digest_s: float = -math.inf


@define(eq=False)
class HostTable:
    """Known hosts by name, and candidate addresses to probe."""

    own_address: Address
    host: str = ""
    data_centre: str = ""
    peers: dict[str, Peer] = field(factory=dict)
    candidates: dict[Address, float] = field(factory=dict)
    logged_live: set[str] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)

    def add_candidates(self, addresses: Iterable[Address], now_s: float) -> None:
        """Add addresses at which hosts may listen."""
        with self.lock:
            for address in addresses:
                if address != self.own_address and (
                    len(self.candidates) < MAX_CANDIDATES
                ):
                    self.candidates.setdefault(address, now_s)

    def update_from_beacon(self, beacon: Beacon, now_s: float) -> bool:
        """Apply a beacon; return whether it was newer than the known state."""
        if not self.update_host(beacon, now_s, from_digest=False):
            return False
        self.add_candidates(beacon.known_addresses, now_s)
        return True

    def update_host(self, host: HostState, now_s: float, from_digest: bool) -> bool:
        """Apply a host's state; return whether it was newer than the known one."""
        liveness_timeout_s = (
            DIGEST_LIVENESS_TIMEOUT_S if from_digest else LIVENESS_TIMEOUT_S
        )
        if host.peer_address == self.own_address:
            return False
        with self.lock:
            known = self.peers.get(host.host)
            if known is None and len(self.peers) >= MAX_HOSTS:
                return False
            if known is not None and is_stale(host, known.beacon):
                if from_digest:
                    known.last_digest_s = now_s
                return False
            before_s = known.last_digest_s if known is not None else -math.inf
            last_digest_s = now_s if from_digest else before_s
            self.peers[host.host] = Peer(host, now_s, liveness_timeout_s, last_digest_s)
            if (
                host.peer_address in self.candidates
                or len(self.candidates) < MAX_CANDIDATES
            ):
                self.candidates[host.peer_address] = now_s
        return True

    def live_peers(self, now_s: float) -> list[Peer]:
        """Return the peers whose liveness timeout has not expired."""
        with self.lock:
            peers = list(self.peers.values())
        return [
            peer
            for peer in peers
            if now_s - peer.last_heard_s < peer.liveness_timeout_s
        ]

    def responsive_peers(self, now_s: float) -> list[Peer]:
        """Return the peers that were heard within half of their liveness timeout."""
        return [
            peer
            for peer in self.live_peers(now_s)
            if now_s - peer.last_heard_s < peer.liveness_timeout_s / 2
        ]

    def known_hosts(self) -> list[str]:
        """Return the names of the other hosts that were heard lately, live or not."""
        with self.lock:
            return list(self.peers)

    def known_ips(self) -> set[str]:
        """Return the addresses of the other hosts that were heard lately."""
        with self.lock:
            return {peer.beacon.peer_address.ip for peer in self.peers.values()}

    def log_changes(self, now_s: float) -> int:
        """Log hosts that became live or timed out; return the number of live peers."""
        live = {peer.beacon.host: peer.beacon for peer in self.live_peers(now_s)}
        for name in live.keys() - self.logged_live:
            host = live[name]
            log_event(
                "host came", host=name, boot=host.boot, data_centre=host.data_centre
            )
        for name in self.logged_live - live.keys():
            known = self.peers.get(name)
            silence_s = round(now_s - known.last_heard_s, 3) if known else None
            log_event("host gone", host=name, silence_s=silence_s)
        self.logged_live = set(live)
        return len(live)

    def beacon_destinations(self, now_s: float, round_number: int) -> list[Address]:
        """Return where to send a beacon: live peers and a few candidates to probe.

        In a large fleet, the peers are those of this data centre, and remote ones that
        no digest lists: they send beacons here directly, since they do not know the
        hosts of their own data centre yet.
        """
        peers = self.live_peers(now_s)
        live = {peer.beacon.peer_address for peer in peers}
        if len(peers) >= MIN_PEERS_FOR_HIERARCHY:
            peers = self.local_peers(peers) + self.unlisted_remote_peers(peers, now_s)
        with self.lock:
            self._expire(now_s)
            silent = [item for item in self.candidates if item not in live]
        start = round_number * PROBES_PER_ROUND % max(1, len(silent))
        probed = (silent + silent)[start : start + PROBES_PER_ROUND][: len(silent)]
        return [peer.beacon.peer_address for peer in peers] + probed

    def local_peers(self, peers: list[Peer]) -> list[Peer]:
        """Return the given peers that are in this data centre."""
        return peers_in_data_centre(peers, self.data_centre)

    def unlisted_remote_peers(self, peers: list[Peer], now_s: float) -> list[Peer]:
        """Return the given remote peers that no recent digest lists."""
        return [
            peer
            for peer in peers
            if peer.beacon.data_centre != self.data_centre
            and now_s - peer.last_digest_s > DIGEST_LIVENESS_TIMEOUT_S
        ]

    def unlisted_peers_by_data_centre(self, now_s: float) -> dict[str, list[Peer]]:
        """Return the unlisted peers of each data centre, if the fleet is large."""
        peers = self.live_peers(now_s)
        found: dict[str, list[Peer]] = {}
        if len(peers) >= MIN_PEERS_FOR_HIERARCHY:
            for peer in self.unlisted_remote_peers(peers, now_s):
                found.setdefault(peer.beacon.data_centre, []).append(peer)
        return found

    def sample_addresses(self, now_s: float) -> tuple[Address, ...]:
        """Return a random sample of peer addresses, half from this data centre."""
        peers = self.live_peers(now_s)
        local_peers = self.local_peers(peers)
        sample = random.sample(local_peers, min(ADDRESS_SAMPLE_SIZE, len(local_peers)))
        sample += random.sample(peers, min(ADDRESS_SAMPLE_SIZE, len(peers)))
        return tuple({peer.beacon.peer_address for peer in sample})

    def digest_receivers(self, now_s: float) -> list[list[Address]]:
        """Return the relays of a digest, one list for each other data centre.

        There is none if another host sends the digest or the fleet is small.
        """
        peers = self.live_peers(now_s)
        local_hosts = [peer.beacon.host for peer in self.local_peers(peers)]
        own_key = self.data_centre.encode()
        if len(peers) < MIN_PEERS_FOR_DIGESTS or rank(
            own_key, [*local_hosts, self.host], 1
        ) != [self.host]:
            return []
        receivers = []
        for other in {peer.beacon.data_centre for peer in peers} - {self.data_centre}:
            hosts = {
                peer.beacon.host: peer.beacon.peer_address
                for peer in peers_in_data_centre(peers, other)
            }
            ranked = rank(
                own_key + other.encode(), hosts, DIGEST_RECEIVERS_PER_DATA_CENTRE
            )
            receivers.append([hosts[name] for name in ranked])
        return receivers

    def _expire(self, now_s: float) -> None:
        for address, seen_s in list(self.candidates.items()):
            if now_s - seen_s > EXPIRY_S:
                del self.candidates[address]
        for name, peer in list(self.peers.items()):
            if now_s - peer.last_heard_s > EXPIRY_S:
                del self.peers[name]

    def client_addresses(
        self, data_centre: str, own: HostState, now_s: float
    ) -> list[Address]:
        """Return the client addresses to use from a data centre.

        They are those of its own hosts, or of all hosts if it has too few. Hosts that
        are cut off from the upstreams are left out unless all are.
        """
        beacons = [own, *(peer.beacon for peer in self.live_peers(now_s))]
        ready = [item for item in beacons if item.ready and not item.leaving]
        ready = [item for item in ready if not item.cut_off] or ready
        local_hosts = [item for item in ready if item.data_centre == data_centre]
        if len(local_hosts) < MIN_CLIENT_ADDRESSES:
            local_hosts = local_hosts + [
                item for item in ready if item not in local_hosts
            ]
        return [item.client_address for item in local_hosts[:MAX_CLIENT_ADDRESSES]]


def peers_in_data_centre(peers: list[Peer], data_centre: str) -> list[Peer]:
    """Return the given peers that are in a data centre."""
    return [peer for peer in peers if peer.beacon.data_centre == data_centre]


def is_stale(beacon: HostState, known: HostState) -> bool:
    """Return whether a beacon is no newer than the known state of its host."""
    return (beacon.boot, beacon.sequence) <= (known.boot, known.sequence)
