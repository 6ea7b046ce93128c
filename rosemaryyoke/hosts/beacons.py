"""Send and receive beacons over UDP, one task for each direction."""

import queue
import random
import socket
import threading
import time
from collections import deque
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.fleet import Fleet, PromptPrefill
from rosemaryyoke.hosts.codec import (
    Beacon,
    Digest,
    MalformedBeacon,
    decode_beacon,
    decode_digest,
    encode_beacon,
    encode_digest,
)
from rosemaryyoke.hosts.digests import digest_hosts, make_digests
from rosemaryyoke.hosts.table import HostTable, in_centre
from rosemaryyoke.http1 import Address

PERIOD_S = 0.3
PERIOD_S_PER_HOST = 0.02  # that is told; more would cost more than they tell
MAX_DATAGRAM_BYTES = 65_507
BURST_BYTES = 16_384  # a quarter of what a link of 5 Mbit/s took at once
BURST_PAUSE_S = 0.03
READS_KEPT = 96
PASSED_ON = 64  # digests that wait to be passed on; more are dropped
DIGESTED_S = 2.5  # several digests may be lost before loads are taken directly again

# The first byte of a datagram.
BEACON = b"B"
DIGEST = b"D"  # to be passed on to the hosts of the receiver's data centre
PASSED_DIGEST = b"P"  # not to be passed on

MakeBeacon = Callable[[int, tuple[PromptPrefill, ...]], Beacon]


@define(eq=False)
class Beacons:
    """Tells the other hosts of this one, and hears of them.

    In a large fleet the hosts of a data centre tell one another, and one of them tells
    the other data centres of all, in digests that their receivers pass on.
    """

    table: HostTable
    fleet: Fleet
    make: MakeBeacon
    sequence: int = 0
    turn: int = 0
    stopping: threading.Event = field(factory=threading.Event)
    lock: threading.Lock = field(factory=threading.Lock)
    heard_reads: deque[PromptPrefill] = field(factory=lambda: deque(maxlen=READS_KEPT))
    to_pass_on: queue.Queue[bytes] = field(factory=lambda: queue.Queue(PASSED_ON))
    digested_s: dict[str, float] = field(factory=dict)
    channel: socket.socket | None = None
    now_s: Callable[[], float] = time.monotonic

    def start(self) -> None:
        """Bind, and start the tasks."""
        address = self.table.own_address
        self.channel = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.channel.bind((address.ip, address.port))
        for target in (self.receive, self.send, self.pass_on):
            name = f"beacons-{target.__name__}"
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """End the tasks."""
        self.stopping.set()

    def send(self) -> None:
        """Send a beacon to the others, again and again."""
        while not self.stopping.is_set():
            told = self.send_now()
            self.stopping.wait(max(PERIOD_S, PERIOD_S_PER_HOST * told))

    def send_now(self) -> int:
        """Send a beacon, and a digest if it is due, at once; return to how many."""
        with self.lock:
            self.sequence += 1
            self.turn += 1
            reads = self.fleet.next_unsent_prefills()
            beacon = self.make(self.sequence, reads)
            now_s = self.now_s()
            destinations = self.table.destinations(now_s, self.turn)
            self.spread(BEACON + encode_beacon(beacon), destinations)
            self.heard_reads.extend(reads)
            receivers = self.table.digest_receivers(now_s, self.turn)
            told = tuple(self.heard_reads)
            self.heard_reads.clear()
            if receivers:
                for digest in make_digests(self.table, self.fleet, beacon, told, now_s):
                    self.spread(DIGEST + encode_digest(digest), receivers)
            self.introduce(now_s)
            return len(destinations)

    def introduce(self, now_s: float) -> None:
        """Tell strangers of the hosts of their own data centres."""
        for centre, strangers in self.table.strangers_by_centre(now_s).items():
            hosts = in_centre(self.table.live(now_s), centre)
            for digest in digest_hosts(centre, [peer.beacon for peer in hosts]):
                addresses = [peer.beacon.peers for peer in strangers]
                self.spread(PASSED_DIGEST + encode_digest(digest), addresses)

    def pass_on(self) -> None:
        """Pass digests on to the hosts of this data centre until stopped."""
        while not self.stopping.is_set():
            try:
                data = self.to_pass_on.get(timeout=PERIOD_S)
            except queue.Empty:
                continue
            self.pass_on_one(data)

    def pass_on_one(self, data: bytes) -> None:
        """Pass a digest on."""
        near = self.table.near(self.table.live(self.now_s()))
        self.spread(PASSED_DIGEST + data, [peer.beacon.peers for peer in near])

    def spread(self, data: bytes, destinations: list[Address]) -> None:
        """Send a datagram to hosts in an order of luck, in bursts that links take."""
        random.shuffle(destinations)
        at_once = max(1, BURST_BYTES // len(data))
        for first in range(0, len(destinations), at_once):
            if first:
                self.stopping.wait(BURST_PAUSE_S)
            for address in destinations[first : first + at_once]:
                self.send_to(address, data)

    def send_to(self, address: Address, data: bytes) -> None:
        """Send a datagram to one host."""
        try:
            self.channel.sendto(data, (address.ip, address.port))
        except OSError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "beacon not sent: %s", 5, error
            )

    def receive(self) -> None:
        """Take in beacons until stopped."""
        while not self.stopping.is_set():
            try:
                data, _ = self.channel.recvfrom(MAX_DATAGRAM_BYTES)
                self.take_datagram(data[:1], data[1:])
            except MalformedBeacon as error:
                logging.log_every_n_seconds(
                    logging.WARNING, "malformed beacon: %s", 5, error
                )
            except OSError as error:
                logging.warning("beacons cannot be received: %s", error)
                self.stopping.wait(PERIOD_S)

    def take_datagram(self, kind: bytes, data: bytes) -> None:
        """Take in a datagram of a kind; raise ``MalformedBeacon``."""
        if kind == BEACON:
            self.take(decode_beacon(data, self.fleet.names_by_key))
        elif kind in (DIGEST, PASSED_DIGEST):
            self.take_digest(decode_digest(data, self.fleet.names_by_key))
        else:
            raise MalformedBeacon(f"kind {kind!r}")
        if kind == DIGEST:
            self.queue_digest(data)

    def queue_digest(self, data: bytes) -> None:
        """Let a digest be passed on."""
        try:
            self.to_pass_on.put_nowait(data)
        except queue.Full:
            logging.log_every_n_seconds(logging.WARNING, "digest not passed on", 5)

    def take(self, beacon: Beacon) -> None:
        """Take in a beacon: the host's state, loads and orders under way."""
        now_s = self.now_s()
        if not self.table.take(beacon, now_s):
            return
        near = beacon.data_centre == self.table.data_centre
        if near:
            self.heard_reads.extend(beacon.reads)
        for read in beacon.reads:
            self.fleet.record_remote_prefill(read)
        digested_s = self.digested_s.get(beacon.data_centre, -DIGESTED_S)
        if near or now_s - digested_s > DIGESTED_S:
            self.fleet.update_remote_loads(beacon.host, list(beacon.loads))
            self.fleet.update_loading(beacon.host, beacon.loading, now_s)
            self.fleet.update_silent(beacon.host, beacon.silent)

    def take_digest(self, digest: Digest) -> None:
        """Take in a digest: a data centre's hosts, and what they have under way."""
        now_s = self.now_s()
        for host in digest.hosts:
            self.table.take_host(host, now_s, digested=True)
        if digest.data_centre == self.table.data_centre:
            return
        for read in digest.reads:
            self.fleet.record_remote_prefill(read)
        if digest.tells_loads:
            self.digested_s[digest.data_centre] = now_s
            everyone = f"all of {digest.data_centre}"
            self.fleet.update_remote_loads(everyone, list(digest.loads))
            self.fleet.update_loading(everyone, digest.loading, now_s)
            self.fleet.update_silent(everyone, digest.silent)
