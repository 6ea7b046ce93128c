"""Which hosts live, from their beacons."""

import threading
from typing import Iterable

from attrs import define, field

from rosemaryyoke.hosts.codec import Beacon
from rosemaryyoke.http1 import Address

LIVE_S = 1.6  # several beacons may be lost before a host counts as gone
FORGOTTEN_S = 30.0
ANSWER_AT_LEAST = 2  # addresses, so that the loss of one host stops no caller
ANSWER_AT_MOST = 64
PROBED_PER_ROUND = 3


@define(eq=False)
class Peer:
    """Another host and when it was last heard."""

    beacon: Beacon
    heard_s: float


@define(eq=False)
class HostTable:
    """Hosts by name, and addresses of which no beacon came yet."""

    own_address: Address
    peers: dict[str, Peer] = field(factory=dict)
    candidates: dict[Address, float] = field(factory=dict)
    lock: threading.Lock = field(factory=threading.Lock)

    def add_candidates(self, addresses: Iterable[Address], now_s: float) -> None:
        """Note addresses at which hosts may be."""
        with self.lock:
            for address in addresses:
                if address != self.own_address:
                    self.candidates.setdefault(address, now_s)

    def take(self, beacon: Beacon, now_s: float) -> bool:
        """Take in a beacon; tell whether it was news."""
        if beacon.peers == self.own_address:
            return False
        with self.lock:
            known = self.peers.get(beacon.host)
            if known is not None and is_older(beacon, known.beacon):
                return False
            self.peers[beacon.host] = Peer(beacon, now_s)
            self.candidates.setdefault(beacon.peers, now_s)
            self.candidates[beacon.peers] = now_s
        self.add_candidates(beacon.known, now_s)
        return True

    def live(self, now_s: float) -> list[Peer]:
        """Return the hosts that were heard lately."""
        with self.lock:
            peers = list(self.peers.values())
        return [peer for peer in peers if now_s - peer.heard_s < LIVE_S]

    def destinations(self, now_s: float, turn: int) -> list[Address]:
        """Return where to send a beacon: live hosts, and a few silent addresses."""
        live = [peer.beacon.peers for peer in self.live(now_s)]
        with self.lock:
            self._forget(now_s)
            silent = [item for item in self.candidates if item not in live]
        start = turn * PROBED_PER_ROUND % max(1, len(silent))
        return live + (silent + silent)[start : start + PROBED_PER_ROUND][: len(silent)]

    def _forget(self, now_s: float) -> None:
        for address, seen_s in list(self.candidates.items()):
            if now_s - seen_s > FORGOTTEN_S:
                del self.candidates[address]
        for name, peer in list(self.peers.items()):
            if now_s - peer.heard_s > FORGOTTEN_S:
                del self.peers[name]

    def addresses_for(
        self, data_centre: str, own: Beacon, now_s: float
    ) -> list[Address]:
        """Return the callers' addresses for a data centre, those in it if they do."""
        beacons = [own, *(peer.beacon for peer in self.live(now_s))]
        ready = [item for item in beacons if item.ready and not item.leaving]
        near = [item for item in ready if item.data_centre == data_centre]
        if len(near) < ANSWER_AT_LEAST:
            near = near + [item for item in ready if item not in near]
        return [item.callers for item in near[:ANSWER_AT_MOST]]


def is_older(beacon: Beacon, known: Beacon) -> bool:
    """Tell whether a beacon is older than the one known of its host."""
    return (beacon.boot, beacon.sequence) <= (known.boot, known.sequence)
