"""Send and receive beacons over UDP, one task for each direction."""

import random
import socket
import threading
import time
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.fleet import Fleet, PromptRead
from rosemaryyoke.hosts.codec import (
    Beacon,
    MalformedBeacon,
    decode_beacon,
    encode_beacon,
)
from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.http1 import Address

PERIOD_S = 0.3
PERIOD_S_PER_PEER = 0.012  # keeps large fleets within the budget of control
MAX_DATAGRAM_BYTES = 65_507
BURST_BYTES = 16_384  # a quarter of what a link of 5 Mbit/s took at once
BURST_PAUSE_S = 0.03

MakeBeacon = Callable[[int, tuple[PromptRead, ...]], Beacon]


@define(eq=False)
class Beacons:
    """Tells the other hosts of this one, and hears of them."""

    table: HostTable
    fleet: Fleet
    make: MakeBeacon
    sequence: int = 0
    turn: int = 0
    stopping: threading.Event = field(factory=threading.Event)
    lock: threading.Lock = field(factory=threading.Lock)
    channel: socket.socket | None = None

    def start(self) -> None:
        """Bind, and start both tasks."""
        address = self.table.own_address
        self.channel = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.channel.bind((address.ip, address.port))
        for target in (self.receive, self.send):
            name = f"beacons-{target.__name__}"
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """End both tasks."""
        self.stopping.set()

    def send(self) -> None:
        """Send a beacon to the others, again and again."""
        while not self.stopping.is_set():
            self.send_now()
            peers = len(self.table.peers)
            self.stopping.wait(max(PERIOD_S, PERIOD_S_PER_PEER * peers))

    def send_now(self) -> None:
        """Send a beacon at once."""
        with self.lock:
            self.sequence += 1
            self.turn += 1
            reads = self.fleet.reads_to_tell()
            data = encode_beacon(self.make(self.sequence, reads))
            destinations = self.table.destinations(time.monotonic(), self.turn)
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
                self.take(decode_beacon(data, self.fleet.names_by_key))
            except MalformedBeacon as error:
                logging.log_every_n_seconds(
                    logging.WARNING, "malformed beacon: %s", 5, error
                )
            except OSError as error:
                logging.warning("beacons cannot be received: %s", error)
                self.stopping.wait(PERIOD_S)

    def take(self, beacon: Beacon) -> None:
        """Take in a beacon: the host's state, loads and orders under way."""
        now_s = time.monotonic()
        if not self.table.take(beacon, now_s):
            return
        self.fleet.take_loads(beacon.host, list(beacon.loads))
        for read in beacon.reads:
            self.fleet.hear_read(read)
        self.fleet.take_loading(beacon.host, beacon.loading, now_s)
