"""Beacons and digests over UDP: threads to send, receive and relay them."""

import math
import queue
import random
import socket
import struct
import threading
import time
from collections import deque
from contextlib import suppress
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.fleet import Fleet, PromptPrefill, upstream_key
from rosemaryyoke.hosts.codec import (
    Beacon,
    Digest,
    MalformedBeacon,
    QuarantineNotice,
    decode_beacon,
    decode_digest,
    decode_notice,
    encode_beacon,
    encode_digest,
    encode_notice,
)
from rosemaryyoke.hosts.digests import batched, make_digests, make_host_digests
from rosemaryyoke.hosts.pacer import Pacer
from rosemaryyoke.hosts.table import (
    MIN_PEERS_FOR_HIERARCHY,
    HostTable,
    peers_in_data_centre,
)
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects.eras import EraRecord

BEACON_PERIOD_S = 0.3
# Per destination; in a large fleet, beacons sent more often cost more than they gain.
BEACON_PERIOD_PER_HOST_S = 0.02
# Hosts that start together would otherwise send at the same moments for good, and a
# datagram that meets the others' bursts at a full link would be lost every time.
PERIOD_JITTER = (0.7, 1.3)
MAX_DATAGRAM_BYTES = 65_507
MAX_PENDING_READS = 96
RELAY_QUEUE_SIZE = 64  # digests; further ones are dropped
HOST_DIGEST_PERIOD_S = 1.0  # host states change less than loads, and are valid for 4 s
# Loads in beacons from other data centres are ignored for this long after a digest with
# loads; several digests may be lost before beacons are used again.
DIGEST_LOADS_VALID_S = 4.0

# Also how often the quarantine is reviewed.
NOTICE_PERIOD_S = 0.1
NOTICE_MIN_INTERVAL_S = 0.02  # collects what one crash ends at this host
# With up to 16 parts each, the rows of a datagram stay below 1,400 bytes.
OUTCOMES_PER_NOTICE = 8
BANS_PER_NOTICE = 8

# Kinds of datagrams: the first byte.
BEACON = b"B"
# The receiver relays it to a share of its data centre, given by a header.
SHARED_DIGEST = b"S"
RELAYED_DIGEST = b"P"  # the receiver does not relay it
QUARANTINE_NOTICE = b"Q"  # sent to all hosts, also of other data centres
SHARE_HEADER = struct.Struct("<BB")  # number of this share, count of shares

# Of hosts and data centres; a datagram has room for names of 65 KB.
MAX_NAME_CHARS = 255
MAX_DATA_CENTRES = 64  # ten times those of the largest deployment planned for

MakeBeacon = Callable[[int, tuple[PromptPrefill, ...]], Beacon]


@define(eq=False)
class BeaconService:
    """Broadcasts this host's state and receives the state of the others.

    In a large fleet, beacons stay within a data centre. One host of each data centre
    sends digests of all its hosts to the other data centres, where they are relayed.
    ``handlers`` are those of other services, by the kind of datagram;
    ``addressed_handlers`` also get the sender's IP address.
    """

    table: HostTable
    fleet: Fleet
    make_beacon: MakeBeacon
    pacer: Pacer = field(factory=Pacer)
    sequence: int = 0
    round_number: int = 0
    stopping: threading.Event = field(factory=threading.Event)
    lock: threading.Lock = field(factory=threading.Lock)
    pending_reads: deque[PromptPrefill] = field(
        factory=lambda: deque(maxlen=MAX_PENDING_READS)
    )
    relay_queue: queue.Queue[bytes] = field(
        factory=lambda: queue.Queue(RELAY_QUEUE_SIZE)
    )
    load_digest_received_s: dict[str, float] = field(factory=dict)
    host_digest_sent_s: float = -math.inf
    news: threading.Event = field(factory=threading.Event)
    handlers: dict[bytes, Callable[[bytes], None]] = field(factory=dict)
    addressed_handlers: dict[bytes, Callable[[bytes, str], None]] = field(factory=dict)
    eras: EraRecord = field(factory=EraRecord)
    udp_socket: socket.socket | None = None
    now_s: Callable[[], float] = time.monotonic

    def start(self) -> None:
        """Bind the UDP socket and start the threads."""
        address = self.table.own_address
        self.udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp_socket.bind((address.ip, address.port))
        self.fleet.quarantine.on_news = self.news.set
        for target in (self.receive, self.send, self.relay, self.send_notices):
            name = f"beacons-{target.__name__}"
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """Signal the threads to end and close the socket."""
        self.stopping.set()
        self.news.set()
        if self.udp_socket is not None:
            # A close does not end a call that waits for datagrams, which keeps the
            # port. Linux ends it at a shutdown, which it reports as not connected.
            with suppress(OSError):
                self.udp_socket.shutdown(socket.SHUT_RDWR)
            self.udp_socket.close()

    def send(self) -> None:
        """Send beacons and digests periodically until stopped."""
        while not self.stopping.is_set():
            try:
                self.send_round()
            except Exception:
                logging.exception("sending beacons failed")
                self.stopping.wait(BEACON_PERIOD_S)

    def send_round(self) -> None:
        """Send a beacon and the digests that are due, each with a pause after it."""
        with self.lock:
            beacon, destination_count = self.send_beacon()
        self.stopping.wait(next_pause_s(destination_count) / 2)
        with self.lock:
            self.send_digests(beacon)
        self.stopping.wait(next_pause_s(destination_count) / 2)

    def send_now(self) -> None:
        """Send a beacon, and digests if due, without waiting for the next round."""
        with self.lock:
            beacon, _ = self.send_beacon()
            self.send_digests(beacon)

    def announce(self) -> None:
        """Send this host's state to all other hosts, also of other data centres."""
        with self.lock:
            beacon, _ = self.send_beacon()
            peers = self.table.live_peers(self.now_s())
            if len(peers) < MIN_PEERS_FOR_HIERARCHY:
                return
            own = self.table.data_centre
            remote = [
                peer.beacon.peer_address
                for peer in peers
                if peer.beacon.data_centre != own
            ]
            for digest in make_host_digests(own, [beacon]):
                self.send_to_all(RELAYED_DIGEST + encode_digest(digest), remote)

    def send_beacon(self) -> tuple[Beacon, int]:
        """Send a beacon; return it and the number of its destinations."""
        self.sequence += 1
        self.round_number += 1
        reads = self.fleet.next_unsent_prefills()
        beacon = self.make_beacon(self.sequence, reads)
        destinations = self.table.beacon_destinations(self.now_s(), self.round_number)
        self.send_to_all(BEACON + encode_beacon(beacon), destinations)
        self.pending_reads.extend(reads)
        return beacon, len(destinations)

    def send_digests(self, beacon: Beacon) -> None:
        """Send digests with this host's last beacon, if this host is to send them."""
        now_s = self.now_s()
        receivers = self.table.digest_receivers(now_s)
        reads = tuple(self.pending_reads)
        self.pending_reads.clear()
        if receivers:
            with_hosts = now_s - self.host_digest_sent_s >= HOST_DIGEST_PERIOD_S
            if with_hosts:
                self.host_digest_sent_s = now_s
            for digest in make_digests(
                self.table, self.fleet, beacon, reads, now_s, with_hosts
            ):
                self.send_shares(encode_digest(digest), receivers)
        self.send_missing_hosts(now_s)

    def send_shares(self, data: bytes, receivers: list[list[Address]]) -> None:
        """Send a digest to the relays of each data centre.

        The shares move on with each round, so that a lost relay leaves no host out.
        """
        for relays in receivers:
            for number, address in enumerate(relays):
                share = (number + self.round_number) % len(relays)
                header = SHARE_HEADER.pack(share, len(relays))
                self.send_to_all(SHARED_DIGEST + header + data, [address])

    def send_missing_hosts(self, now_s: float) -> None:
        """Send unlisted remote peers the hosts of their own data centres."""
        for data_centre, unlisted in self.table.unlisted_peers_by_data_centre(
            now_s
        ).items():
            hosts = peers_in_data_centre(self.table.live_peers(now_s), data_centre)
            for digest in make_host_digests(
                data_centre, [peer.beacon for peer in hosts]
            ):
                addresses = [peer.beacon.peer_address for peer in unlisted]
                self.send_to_all(RELAYED_DIGEST + encode_digest(digest), addresses)

    def send_notices(self) -> None:
        """Review the quarantine and send its notices until stopped."""
        while not self.stopping.is_set():
            self.news.wait(NOTICE_PERIOD_S)
            self.news.clear()
            try:
                self.fleet.quarantine.review()
                self.send_due_notices()
            except Exception:
                logging.exception("reviewing the quarantine failed")
            self.stopping.wait(NOTICE_MIN_INTERVAL_S)

    def send_due_notices(self) -> None:
        """Send all live hosts what they should know of prompts that crash engines."""
        outcomes, bans = self.fleet.quarantine.take_due()
        peers = self.table.live_peers(self.now_s())
        destinations = [peer.beacon.peer_address for peer in peers]
        notices = [
            QuarantineNotice(self.table.host, outcomes=part)
            for part in batched(outcomes, OUTCOMES_PER_NOTICE)
        ] + [
            QuarantineNotice(self.table.host, bans=part)
            for part in batched(bans, BANS_PER_NOTICE)
        ]
        for notice in notices:
            self.send_to_all(QUARANTINE_NOTICE + encode_notice(notice), destinations)

    def relay(self) -> None:
        """Relay queued digests until stopped."""
        while not self.stopping.is_set():
            try:
                data = self.relay_queue.get(timeout=BEACON_PERIOD_S)
            except queue.Empty:
                continue
            try:
                self.relay_digest(data)
            except Exception:
                logging.exception("relaying a digest failed")

    def relay_digest(self, data: bytes) -> None:
        """Send a digest to this relay's share of the hosts of its data centre."""
        share, count = decode_share(data)
        local_peers = self.table.local_peers(self.table.live_peers(self.now_s()))
        addresses = [
            peer.beacon.peer_address
            for peer in local_peers
            if upstream_key(peer.beacon.host) % count == share
        ]
        self.send_to_all(RELAYED_DIGEST + data[SHARE_HEADER.size :], addresses)

    def send_to_all(self, data: bytes, destinations: list[Address]) -> None:
        """Send a datagram to hosts in random order, as fast as the pacer allows."""
        random.shuffle(destinations)
        for address in destinations:
            pause_s = self.pacer.reserve(len(data))
            if pause_s:
                self.stopping.wait(pause_s)
            if self.stopping.is_set():
                return
            self.send_datagram(address, data)

    def send_datagram(self, address: Address, data: bytes) -> None:
        """Send a datagram to one host; log a failure."""
        try:
            self.udp_socket.sendto(data, (address.ip, address.port))
        except OSError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "sending a datagram failed: %s", 5, error
            )

    def receive(self) -> None:
        """Receive datagrams until stopped."""
        while not self.stopping.is_set():
            try:
                data, sender = self.udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
                if self.stopping.is_set():
                    return
                self.handle_datagram(data[:1], data[1:], sender)
            except MalformedBeacon as error:
                logging.log_every_n_seconds(
                    logging.WARNING, "malformed datagram: %s", 5, error
                )
            except OSError as error:
                if self.stopping.is_set():
                    return
                logging.warning("receiving a datagram failed: %s", error)
                self.stopping.wait(BEACON_PERIOD_S)
            except Exception:
                logging.exception("handling a datagram failed")

    def handle_datagram(
        self, kind: bytes, data: bytes, sender: tuple[str, int] = ("", 0)
    ) -> None:
        """Decode and handle a datagram; raise ``MalformedBeacon`` if it is invalid."""
        if kind == BEACON:
            self.handle_beacon(decode_beacon(data, self.fleet.names_by_key))
        elif kind == RELAYED_DIGEST:
            self.handle_digest(decode_digest(data, self.fleet.names_by_key))
        elif kind == QUARANTINE_NOTICE:
            notice = decode_notice(data)
            self.fleet.quarantine.receive(notice.host, notice.outcomes, notice.bans)
        elif kind == SHARED_DIGEST:
            decode_share(data)
            digest = data[SHARE_HEADER.size :]
            self.handle_digest(decode_digest(digest, self.fleet.names_by_key))
            self.queue_digest(data)
        elif kind in self.handlers:
            self.run_handler(self.handlers[kind], data)
        elif kind in self.addressed_handlers:
            self.run_handler(self.addressed_handlers[kind], data, sender[0])
        else:
            raise MalformedBeacon(f"unknown datagram kind {kind!r}")

    def run_handler(self, handler: Callable[..., None], *arguments: object) -> None:
        """Let another service handle a datagram; raise ``MalformedBeacon``."""
        try:
            handler(*arguments)
        except ValueError as error:
            raise MalformedBeacon(str(error)) from error

    def queue_digest(self, data: bytes) -> None:
        """Queue a digest for the relay; drop it if the queue is full."""
        try:
            self.relay_queue.put_nowait(data)
        except queue.Full:
            logging.log_every_n_seconds(
                logging.WARNING, "relay queue is full; dropping a digest", 5
            )

    def handle_beacon(self, beacon: Beacon) -> None:
        """Apply a beacon: the host's state, loads and upstreams loading weights."""
        check_names(beacon.host, beacon.data_centre)
        now_s = self.now_s()
        self.eras.learn(beacon.era, beacon.host)
        if not self.table.update_from_beacon(beacon, now_s):
            return
        is_local = beacon.data_centre == self.table.data_centre
        if is_local:
            self.pending_reads.extend(beacon.reads)
        self.fleet.record_departures(beacon.host, beacon.departures)
        self.fleet.quarantine.receive(beacon.host, (), beacon.bans)
        self.fleet.record_limits(beacon.host, beacon.limits)
        self.fleet.record_brittle(beacon.host, beacon.brittle)
        for read in beacon.reads:
            self.fleet.record_remote_prefill(read)
        load_digest_received_s = self.load_digest_received_s.get(
            beacon.data_centre, -DIGEST_LOADS_VALID_S
        )
        if is_local or now_s - load_digest_received_s > DIGEST_LOADS_VALID_S:
            self.fleet.update_remote_loads(beacon.host, list(beacon.loads))
            self.fleet.update_loading(beacon.host, beacon.loading, now_s)
            self.fleet.update_silent(beacon.host, beacon.silent)

    def handle_digest(self, digest: Digest) -> None:
        """Apply a digest: a data centre's hosts, reads and summed loads."""
        check_names(digest.data_centre)
        for host in digest.hosts:
            check_names(host.host, host.data_centre)
        now_s = self.now_s()
        for host in digest.hosts:
            self.table.update_host(host, now_s, from_digest=True)
        if digest.data_centre == self.table.data_centre:
            return
        self.fleet.record_departures(digest.data_centre, digest.departures)
        self.fleet.quarantine.receive(digest.data_centre, (), digest.bans)
        self.fleet.record_limits(digest.data_centre, digest.limits)
        self.fleet.record_brittle(digest.data_centre, digest.brittle)
        for read in digest.reads:
            self.fleet.record_remote_prefill(read)
        known = self.load_digest_received_s
        if digest.has_loads and (
            digest.data_centre in known or len(known) < MAX_DATA_CENTRES
        ):
            self.load_digest_received_s[digest.data_centre] = now_s
            source = f"all of {digest.data_centre}"
            self.fleet.update_remote_loads(
                source, list(digest.loads), DIGEST_LOADS_VALID_S
            )
            self.fleet.update_loading(source, digest.loading, now_s)
            self.fleet.update_silent(source, digest.silent)


def check_names(*names: str) -> None:
    """Raise ``MalformedBeacon`` if a name is too long to be one."""
    if any(len(name) > MAX_NAME_CHARS for name in names):
        raise MalformedBeacon("a name is too long")


def decode_share(data: bytes) -> tuple[int, int]:
    """Return the number of a share and their count; raise ``MalformedBeacon``."""
    if len(data) < SHARE_HEADER.size:
        raise MalformedBeacon("the share of a digest is missing")
    share, count = SHARE_HEADER.unpack_from(data)
    if share >= count:
        raise MalformedBeacon(f"share {share} of {count} does not exist")
    return share, count


def next_pause_s(destination_count: int) -> float:
    """Return a randomly varied period between beacons, in seconds."""
    period_s = max(BEACON_PERIOD_S, BEACON_PERIOD_PER_HOST_S * destination_count)
    return period_s * random.uniform(*PERIOD_JITTER)
