"""Which hosts live, from their beacons."""

import math
import random
import threading
from typing import Iterable

from attrs import define, field

from rosemaryyoke.core.logs import event
from rosemaryyoke.hosts.codec import Beacon
from rosemaryyoke.hosts.identity import HostIdentity
from rosemaryyoke.http1 import Address
from rosemaryyoke.placement.rendezvous import rank

LIVE_S = 1.6  # several beacons may be lost before a host counts as gone
LIVE_BY_DIGEST_S = 4.0  # a digest tells of beacons heard before, and is lost at times
DIRECT_HOSTS = 24  # up to so many tell one another directly
DIGEST_HOSTS = 20  # fewer, so that no host is told of by nobody
RECEIVERS = 2  # of a digest in each data centre, in turn; one may be gone
FORGOTTEN_S = 30.0
ANSWER_AT_LEAST = 2  # addresses, so that the loss of one host stops no caller
ANSWER_AT_MOST = 64
PROBED_PER_ROUND = 3
KNOWN_TOLD = 3  # near hosts, and as many of all, in each beacon


@define(eq=False)
class Peer:
    """Another host and when it was last heard, directly or through a digest."""

    beacon: HostIdentity
    heard_s: float
    live_s: float = LIVE_S
    digested_s: float = -math.inf


@define(eq=False)
class HostTable:
    """Hosts by name, and addresses of which no beacon came yet."""

    own_address: Address
    host: str = ""
    data_centre: str = ""
    peers: dict[str, Peer] = field(factory=dict)
    candidates: dict[Address, float] = field(factory=dict)
    told: set[str] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)

    def add_candidates(self, addresses: Iterable[Address], now_s: float) -> None:
        """Note addresses at which hosts may be."""
        with self.lock:
            for address in addresses:
                if address != self.own_address:
                    self.candidates.setdefault(address, now_s)

    def take(self, beacon: Beacon, now_s: float) -> bool:
        """Take in a beacon; tell whether it was news."""
        if not self.take_host(beacon, now_s, digested=False):
            return False
        self.add_candidates(beacon.known, now_s)
        return True

    def take_host(self, host: HostIdentity, now_s: float, digested: bool) -> bool:
        """Take in what a host is, from itself or a digest; tell whether it was news."""
        live_s = LIVE_BY_DIGEST_S if digested else LIVE_S
        if host.peers == self.own_address:
            return False
        with self.lock:
            known = self.peers.get(host.host)
            if known is not None and is_older(host, known.beacon):
                if digested:
                    known.digested_s = now_s
                return False
            before_s = known.digested_s if known is not None else -math.inf
            digested_s = now_s if digested else before_s
            self.peers[host.host] = Peer(host, now_s, live_s, digested_s)
            self.candidates[host.peers] = now_s
        return True

    def live(self, now_s: float) -> list[Peer]:
        """Return the hosts that were heard lately."""
        with self.lock:
            peers = list(self.peers.values())
        return [peer for peer in peers if now_s - peer.heard_s < peer.live_s]

    def tell_changes(self, now_s: float) -> int:
        """Log which hosts came and went since the last call; return how many live."""
        live = {peer.beacon.host: peer.beacon for peer in self.live(now_s)}
        for name in live.keys() - self.told:
            host = live[name]
            event("host came", host=name, boot=host.boot, data_centre=host.data_centre)
        for name in self.told - live.keys():
            known = self.peers.get(name)
            silence_s = round(now_s - known.heard_s, 3) if known else None
            event("host gone", host=name, silence_s=silence_s)
        self.told = set(live)
        return len(live)

    def destinations(self, now_s: float, turn: int) -> list[Address]:
        """Return where to send a beacon: live hosts, and a few silent addresses.

        Of a large fleet, they are the hosts of this data centre, and those of others
        that tell this host directly, since they do not know their own yet.
        """
        peers = self.live(now_s)
        live = {peer.beacon.peers for peer in peers}
        if len(peers) >= DIRECT_HOSTS:
            peers = self.near(peers) + self.strangers(peers, now_s)
        with self.lock:
            self._forget(now_s)
            silent = [item for item in self.candidates if item not in live]
        start = turn * PROBED_PER_ROUND % max(1, len(silent))
        probed = (silent + silent)[start : start + PROBED_PER_ROUND][: len(silent)]
        return [peer.beacon.peers for peer in peers] + probed

    def near(self, peers: list[Peer]) -> list[Peer]:
        """Return those of some hosts that are in this data centre."""
        return in_centre(peers, self.data_centre)

    def strangers(self, peers: list[Peer], now_s: float) -> list[Peer]:
        """Return those of some hosts of which only they themselves tell, from afar."""
        return [
            peer
            for peer in peers
            if peer.beacon.data_centre != self.data_centre
            and now_s - peer.digested_s > LIVE_BY_DIGEST_S
        ]

    def strangers_by_centre(self, now_s: float) -> dict[str, list[Peer]]:
        """Return the strangers of each data centre, if the fleet is large."""
        peers = self.live(now_s)
        found: dict[str, list[Peer]] = {}
        if len(peers) >= DIRECT_HOSTS:
            for peer in self.strangers(peers, now_s):
                found.setdefault(peer.beacon.data_centre, []).append(peer)
        return found

    def addresses_to_tell(self, now_s: float) -> tuple[Address, ...]:
        """Return a few addresses of hosts by luck, half of them near."""
        peers = self.live(now_s)
        near = self.near(peers)
        told = random.sample(near, min(KNOWN_TOLD, len(near)))
        told += random.sample(peers, min(KNOWN_TOLD, len(peers)))
        return tuple({peer.beacon.peers for peer in told})

    def digest_receivers(self, now_s: float, turn: int) -> list[Address]:
        """Return where to send a digest: one host of each other data centre.

        There are none if another host is to send it, or none is needed.
        """
        peers = self.live(now_s)
        near = [peer.beacon.host for peer in self.near(peers)]
        own_key = self.data_centre.encode()
        if len(peers) < DIGEST_HOSTS or rank(own_key, [*near, self.host], 1) != [
            self.host
        ]:
            return []
        receivers = []
        for other in {peer.beacon.data_centre for peer in peers} - {self.data_centre}:
            hosts = {
                peer.beacon.host: peer.beacon.peers for peer in in_centre(peers, other)
            }
            ranked = rank(own_key + other.encode(), hosts, RECEIVERS)
            receivers.append(hosts[ranked[turn % len(ranked)]])
        return receivers

    def _forget(self, now_s: float) -> None:
        for address, seen_s in list(self.candidates.items()):
            if now_s - seen_s > FORGOTTEN_S:
                del self.candidates[address]
        for name, peer in list(self.peers.items()):
            if now_s - peer.heard_s > FORGOTTEN_S:
                del self.peers[name]

    def addresses_for(
        self, data_centre: str, own: HostIdentity, now_s: float
    ) -> list[Address]:
        """Return the callers' addresses for a data centre, those in it if they do."""
        beacons = [own, *(peer.beacon for peer in self.live(now_s))]
        ready = [item for item in beacons if item.ready and not item.leaving]
        near = [item for item in ready if item.data_centre == data_centre]
        if len(near) < ANSWER_AT_LEAST:
            near = near + [item for item in ready if item not in near]
        return [item.callers for item in near[:ANSWER_AT_MOST]]


def in_centre(peers: list[Peer], data_centre: str) -> list[Peer]:
    """Return those of some hosts that are in a data centre."""
    return [peer for peer in peers if peer.beacon.data_centre == data_centre]


def is_older(beacon: HostIdentity, known: HostIdentity) -> bool:
    """Tell whether a beacon is older than the one known of its host."""
    return (beacon.boot, beacon.sequence) <= (known.boot, known.sequence)
