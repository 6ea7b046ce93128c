"""Beacon broadcasts over links that drop datagrams beyond their queue size."""

import statistics
import threading
import time
from collections import Counter

from attrs import define, evolve, field

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.fleet import Fleet, PromptPrefill, UpstreamLoad, upstream_key
from rosemaryyoke.fleet.cache_estimate import HashedPart
from rosemaryyoke.fleet.notices import (
    MAX_REPORTED_DEPARTURES,
    Incarnation,
    incarnation_key,
)
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.hosts import BeaconService, HostTable
from rosemaryyoke.hosts.beacons import SHARE_HEADER, next_pause_s
from rosemaryyoke.hosts.codec import encode_beacon
from rosemaryyoke.hosts.pacer import Pacer
from rosemaryyoke.hosts.table import DIGEST_RECEIVERS_PER_DATA_CENTRE
from rosemaryyoke.hosts.tests.test_table import OWN, make_beacon
from rosemaryyoke.http1 import Address
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.testing.builders import free_port, is_free

PEERS = 64
ENGINES = 70
LINK_MBPS = 5.0
LINK_BYTES_PER_S = LINK_MBPS * 1e6 / 8
LINK_QUEUE_BYTES = 64_000
MAX_DATAGRAM_BYTES = 1_400  # below the size at which IP fragments a datagram


@define(eq=False)
class LimitedLink:
    """A link that drops datagrams when its queue is full."""

    queued_bytes: float = 0.0
    updated_s: float = 0.0
    delivered: list = field(factory=list)

    def sendto(self, data, address):
        """Queue a datagram, or drop it if the queue is full."""
        now_s = time.monotonic()
        self.queued_bytes -= min(
            self.queued_bytes, (now_s - self.updated_s) * LINK_BYTES_PER_S
        )
        self.updated_s = now_s
        if self.queued_bytes + len(data) <= LINK_QUEUE_BYTES:
            self.queued_bytes += len(data)
            self.delivered.append((address, data))


def full_beacon():
    """Return a beacon with load on every engine and a third of them loading."""
    names = [f"i-1161a27b{n:02x}" for n in range(ENGINES)]
    parts = tuple(HashedPart(2**63 + n, 2_000) for n in range(3))
    return make_beacon(
        1,
        loads=tuple(UpstreamLoad(name, 3, 9_000, 27_000) for name in names),
        loading=tuple(names[: ENGINES // 3]),
        reads=tuple(PromptPrefill(name, parts, True) for name in names[:12]),
        departures=tuple(incarnation_key(Incarnation(name, OWN)) for name in names)[
            :MAX_REPORTED_DEPARTURES
        ],
    )


def make_beacons(link):
    table = HostTable(OWN, "h1", "z1")
    for number in range(2, PEERS + 2):
        table.update_from_beacon(make_beacon(number), time.monotonic())
    beacon = full_beacon()
    beacons = BeaconService(
        table, Fleet(Catalog()), lambda *_: beacon, Pacer(LINK_MBPS)
    )
    beacons.udp_socket = link
    return beacons


def test_round_of_beacons_fits_link_queue():
    link = LimitedLink()
    make_beacons(link).send_now()
    assert len({address for address, _ in link.delivered}) == PEERS


def test_lost_beacons_vary_between_rounds():
    delivered_first = []
    for _ in range(2):
        link = LimitedLink(
            queued_bytes=LINK_QUEUE_BYTES - 10_000, updated_s=time.monotonic()
        )
        make_beacons(link).send_now()
        delivered_first.append([address for address, _ in link.delivered[:5]])
    assert delivered_first[0] != delivered_first[1]


def test_full_beacon_is_not_fragmented():
    assert len(encode_beacon(full_beacon())) <= MAX_DATAGRAM_BYTES


def test_beacon_marks_engines_as_loading():
    beacons = make_beacons(LimitedLink())
    beacons.fleet.states["e1"] = make_state("e1")
    beacons.handle_beacon(evolve(make_beacon(2, sequence=2), loading=("e1", "unknown")))
    assert beacons.fleet.states["e1"].loading(time.monotonic())


def test_all_relayed_digests_fit_link_queue():
    """Pattern: a relay passes on several datagrams in a row while it sends beacons."""
    link = LimitedLink()
    beacons = make_beacons(link)
    count = DIGEST_RECEIVERS_PER_DATA_CENTRE
    share = SHARE_HEADER.pack(0, count)
    names = [f"h{number}" for number in range(2, PEERS + 2)]
    expected = sum(upstream_key(name) % count == 0 for name in names)
    sender = threading.Thread(target=beacons.send_now)
    sender.start()
    for number in range(4):  # host states, loads and prefills
        beacons.relay_digest(share + bytes([number]) * 1_100)
    sender.join()
    relayed = Counter(data[1] for _, data in link.delivered if data[:1] == b"P")
    assert relayed == {number: expected for number in range(4)}


def test_hosts_that_start_together_drift_apart():
    """Pattern: all hosts start at once, and send in periods of the same length."""
    sent_s = [sum(next_pause_s(30) for _ in range(8)) for _ in range(200)]
    period_s = statistics.mean(sent_s) / 8
    assert abs(period_s - 0.6) < 0.05
    assert statistics.pstdev(sent_s) > period_s / 4


# Guards against a host that hears no other host after one unexpected error.
def test_receiving_goes_on_after_an_unexpected_error():
    table = HostTable(OWN, "h1", "z1")
    service = BeaconService(table, Fleet(Catalog()), lambda *_: None)
    handled = threading.Event()

    def handle(data):
        if data == b"bad":
            raise RuntimeError("unexpected")
        handled.set()

    service.handlers[b"X"] = handle
    datagrams = [b"Xgood", b"Xbad", b"\xff" * 9, b""]

    class Socket:
        def recvfrom(self, size):
            if datagrams:
                return datagrams.pop(), OWN
            service.stopping.set()
            return b"Xgood", OWN

    service.udp_socket = Socket()
    service.receive()
    assert handled.is_set()


# Guards against a host that falls silent after one unexpected error.
def test_sending_goes_on_after_an_unexpected_error():
    table = HostTable(OWN, "h1", "z1")
    rounds = []

    def make(sequence, reads):
        rounds.append(sequence)
        if len(rounds) > 1:
            service.stopping.set()
        raise RuntimeError("unexpected")

    service = BeaconService(table, Fleet(Catalog()), make)
    service.send()
    assert len(rounds) == 2


# Guards against a host that cannot start at the address of one that has stopped.
def test_stopped_service_leaves_its_port():
    own_address = Address("127.0.0.1", free_port())
    table = HostTable(own_address, "h1", "z1")
    beacon = full_beacon()
    service = BeaconService(table, Fleet(Catalog()), lambda *_: beacon)
    service.start()
    assert not is_free(own_address.port)
    service.stop()
    wait_for(lambda: is_free(own_address.port))
