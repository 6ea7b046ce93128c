"""Digests between data centres, in a fleet too large for a full mesh of beacons."""

import time
from collections import Counter

import pytest
from attrs import define, evolve, field

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.messages import ResponseMetadata
from rosemaryyoke.fleet import Fleet, LimitReport, PromptPrefill, upstream_key
from rosemaryyoke.fleet.cache_estimate import HashedPart
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.hosts import BeaconService, HostTable
from rosemaryyoke.hosts.beacons import SHARED_DIGEST
from rosemaryyoke.hosts.codec import (
    Digest,
    MalformedBeacon,
    decode_beacon,
    decode_digest,
    encode_beacon,
    encode_digest,
)
from rosemaryyoke.hosts.tests.test_table import make_beacon
from rosemaryyoke.http1 import Address

DATA_CENTRES = ("z0", "z1", "z2", "z3")
HOSTS_EACH = 21
PERIOD_S = 0.9
DISCOVERY_ROUNDS = 12
ENGINE = "e1"
RUNNING = 2  # requests at the engine, from each host


@define(eq=False)
class SimulatedHost:
    """A simulated host that sends through the simulated network."""

    network: "SimulatedNetwork"
    beacons: BeaconService
    identity: object

    def sendto(self, data, place):
        """Deliver a datagram through the network."""
        self.network.deliver(self, data, Address(*place))

    def make_beacon(self, sequence, reads):
        """Return this host's beacon with its current loads."""
        loads = tuple(self.beacons.fleet.own_loads())
        return evolve(
            self.identity,
            sequence=sequence,
            loads=loads,
            reads=reads,
            departures=self.beacons.fleet.departures(),
            known_addresses=self.beacons.table.sample_addresses(self.network.clock_s),
        )


@define(eq=False)
class SimulatedNetwork:
    """Simulated hosts in four data centres that share three seeds."""

    hosts_each: int = HOSTS_EACH
    clock_s: float = 100.0
    hosts: dict[Address, SimulatedHost] = field(factory=dict)
    datagrams: Counter = field(factory=Counter)
    bytes_between: int = 0

    def __attrs_post_init__(self):
        for place, data_centre in enumerate(DATA_CENTRES):
            for number in range(self.hosts_each):
                self.add(place * 50 + number + 1, data_centre)
        seeds = list(self.hosts)[:: self.hosts_each + 1][:3]
        for host in self.hosts.values():
            host.beacons.table.add_candidates(seeds, self.clock_s)

    def add(self, number, data_centre):
        """Add a host without candidate addresses."""
        identity = make_beacon(number, data_centre=data_centre, store_reachable=True)
        fleet = Fleet(Catalog(), now_s=lambda: self.clock_s)
        fleet.states[ENGINE] = make_state(ENGINE)
        fleet.names_by_key = {upstream_key(ENGINE): ENGINE}
        table = HostTable(identity.peer_address, identity.host, data_centre)
        beacons = BeaconService(table, fleet, None, now_s=lambda: self.clock_s)
        host = SimulatedHost(self, beacons, identity)
        beacons.udp_socket, beacons.make_beacon = host, host.make_beacon
        self.hosts[identity.peer_address] = host

    def deliver(self, sender, data, address):
        """Deliver a datagram immediately; drop it if the receiver is gone."""
        receiver = self.hosts.get(address)
        if receiver is None:
            return
        self.datagrams[address] += 1
        if receiver.identity.data_centre != sender.identity.data_centre:
            self.bytes_between += len(data)
        receiver.beacons.handle_datagram(data[:1], data[1:])

    def run_rounds(self, rounds):
        """Let every host send once in each round, spread over its period."""
        for _ in range(rounds):
            for host in list(self.hosts.values()):
                host.beacons.send_now()
                self.relay_digests()
                self.clock_s += PERIOD_S / len(self.hosts)

    def relay_digests(self):
        """Relay all queued digests."""
        for host in self.hosts.values():
            while not host.beacons.relay_queue.empty():
                host.beacons.relay_digest(host.beacons.relay_queue.get())

    def live_peer_count(self, host):
        """Return the number of peers that a host considers live."""
        return len(host.beacons.table.live_peers(self.clock_s))

    def digest_sender(self, data_centre):
        """Return the one host that sends the digests of a data centre."""
        senders = [
            host
            for host in self.hosts.values()
            if host.identity.data_centre == data_centre
            and host.beacons.table.digest_receivers(self.clock_s)
        ]
        assert len(senders) == 1
        return senders[0]


@pytest.fixture()
def network():
    """Return a network whose hosts have discovered one another."""
    network = SimulatedNetwork()
    network.run_rounds(DISCOVERY_ROUNDS)
    return network


def test_large_fleet_discovers_all_hosts(network):
    others = len(network.hosts) - 1
    assert {network.live_peer_count(host) for host in network.hosts.values()} == {
        others
    }


def test_large_fleet_sends_few_datagrams(network):
    network.datagrams.clear()
    network.bytes_between = 0
    network.run_rounds(4)
    most = max(network.datagrams.values()) / 4
    assert most <= HOSTS_EACH + 6 * len(DATA_CENTRES)
    direct = 300 * len(network.hosts) * (len(network.hosts) - HOSTS_EACH)
    assert network.bytes_between / 4 < direct / 20


def test_loads_of_each_host_are_counted_once(network):
    for host in network.hosts.values():
        fleet = host.beacons.fleet
        for _ in range(RUNNING):
            fleet.begin(fleet.states[ENGINE], tokens=100, prefill_tokens=0)
    network.run_rounds(8)
    for host in network.hosts.values():
        remote = host.beacons.fleet.states[ENGINE].remote.values()
        fresh = [item for item in remote if network.clock_s - item.received_s < 2.0]
        others = len(network.hosts) - 1
        assert sum(item.running for item in fresh) == pytest.approx(
            RUNNING * others, 0.01
        )


def test_reads_reach_every_data_centre(network):
    parts = (HashedPart(7, 600), HashedPart(8, 900))
    first = next(iter(network.hosts.values()))
    first.beacons.fleet.unsent_prefills.append(PromptPrefill(ENGINE, parts))
    network.run_rounds(2)
    for host in network.hosts.values():
        if host is not first:
            assert (
                host.beacons.fleet.states[ENGINE].cache_estimate.cached_prefix_tokens(
                    parts
                )
                == 1500
            )


@pytest.mark.parametrize("hosts_each", [3, HOSTS_EACH])
def test_announcement_reaches_other_hosts_with_the_next_datagrams(hosts_each):
    """Pattern: an engine leaves, and the store does not say so yet."""
    network = SimulatedNetwork(hosts_each=hosts_each)
    network.run_rounds(DISCOVERY_ROUNDS)
    fleets = [host.beacons.fleet for host in network.hosts.values()]
    leaving = ResponseMetadata(b"r1", True, False, leaving=True)
    fleets[0].record_notices(fleets[0].states[ENGINE], leaving)
    network.run_rounds(2)
    assert all(fleet.states[ENGINE].draining for fleet in fleets)


def test_digest_sender_is_replaced_after_failure(network):
    failed = network.digest_sender("z2")
    del network.hosts[failed.identity.peer_address]
    network.run_rounds(8)
    others = len(network.hosts) - 1
    assert {network.live_peer_count(host) for host in network.hosts.values()} == {
        others
    }


def test_new_host_is_discovered_by_all(network):
    data_centre = "z3"
    network.add(199, data_centre)
    new = list(network.hosts.values())[-1]
    seeds = list(network.hosts)[:3]
    new.beacons.table.add_candidates(seeds, network.clock_s)
    network.run_rounds(6)
    others = len(network.hosts) - 1
    assert {network.live_peer_count(host) for host in network.hosts.values()} == {
        others
    }


def test_small_fleet_sends_no_digests():
    network = SimulatedNetwork(hosts_each=3)
    network.run_rounds(6)
    assert {network.live_peer_count(host) for host in network.hosts.values()} == {11}
    assert not any(
        host.beacons.load_digest_received_s for host in network.hosts.values()
    )


def test_digest_round_trip():
    hosts = (make_beacon(3, sequence=9, leaving=True, configuration=4),)
    digest = Digest("z1", hosts=hosts, departures=(7, 2**64 - 1))
    decoded = decode_digest(encode_digest(digest), {})
    identity = decoded.hosts[0]
    assert decoded.departures == digest.departures
    assert identity.host == "h3" and identity.leaving and identity.configuration == 4
    assert (identity.peer_address, identity.sequence) == (hosts[0].peer_address, 9)


@pytest.mark.parametrize("header", [b"", b"\x00", b"\x00\x00", b"\x06\x06"])
def test_digest_with_malformed_share_is_not_relayed(network, header):
    beacons = next(iter(network.hosts.values())).beacons
    digest = header + (encode_digest(Digest("z1")) if len(header) > 1 else b"")
    with pytest.raises(MalformedBeacon):
        beacons.handle_datagram(SHARED_DIGEST, digest)
    assert beacons.relay_queue.empty()


def test_lost_relay_leaves_no_host_without_loads(network):
    """Pattern: a host dies that relays the digests of another data centre."""
    sender = network.digest_sender("z2")
    relays = next(
        addresses
        for addresses in sender.beacons.table.digest_receivers(network.clock_s)
        if network.hosts[addresses[0]].identity.data_centre == "z0"
    )
    del network.hosts[relays[0]]
    network.run_rounds(2)
    for host in network.hosts.values():
        if host.identity.data_centre == "z0":
            received_s = host.beacons.load_digest_received_s["z2"]
            assert network.clock_s - received_s < 2 * PERIOD_S


def test_limits_of_upstreams_reach_other_data_centres():
    now_s = time.monotonic()
    reports = (
        LimitReport("e1", 1.9, now_s - 1.0),
        LimitReport("e2", None, now_s - 2.0),
        LimitReport("unknown", 1.0, now_s),
    )
    names = {upstream_key(name): name for name in ("e1", "e2")}
    beacon = decode_beacon(encode_beacon(make_beacon(2, limits=reports)), names)
    digest = decode_digest(encode_digest(Digest("z2", limits=reports)), names)
    for message in (beacon, digest):
        assert [(i.upstream, i.limit_per_s) for i in message.limits] == [
            ("e1", 1.9),
            ("e2", None),
        ]
        for sent, received in zip(reports, message.limits):
            assert abs(sent.observed_s - received.observed_s) < 0.05
