"""What hosts know of the origins of each other's streams."""

import random
import threading
import time
from types import SimpleNamespace

import pytest

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.hosts.origin_exchange import (
    ASK_TIMEOUT_S,
    ASKED,
    EARLIER,
    OWN,
    SOLE,
    START_S,
    SUSPENDED_S,
    TOLD_HOSTS,
    UNKNOWN,
    OriginExchange,
)
from rosemaryyoke.http1 import Address
from rosemaryyoke.origins import origin_key
from rosemaryyoke.quarantine import request_key

SERVICE, OLD, NEW = "llm", "v1", "v2"
STREAMS = 40


class Fleet:
    """Hosts whose datagrams are handed over at once, or lost."""

    def __init__(self, count, loss=0.0):
        self.generator, self.loss = random.Random(1), loss
        self.lock, self.datagrams = threading.Lock(), 0
        self.exchanges, self.down = {}, set()
        for number in range(count):
            self.add(number)

    def add(self, number):
        """Add a host that runs for long enough to have heard of the others."""
        address = Address("127.0.0.1", 10_000 + number)
        beacons = SimpleNamespace(handlers={}, send_to_all=self.send_to_all)
        table = SimpleNamespace(
            host=f"h{number}",
            own_address=address,
            live_peers=lambda now_s: self.peers_of(address),
        )
        catalog = SimpleNamespace(upstreams={}, is_fresh=lambda: True)
        exchange = OriginExchange(table, beacons, catalog)
        exchange.read_versions = lambda since_s: True
        exchange.served.started_s -= START_S
        exchange.served.add_past(())
        self.exchanges[address] = exchange
        return exchange

    def peers_of(self, own):
        """Return the live hosts but one."""
        return [
            SimpleNamespace(
                beacon=SimpleNamespace(host=item.table.host, peer_address=address)
            )
            for address, item in self.exchanges.items()
            if address != own and address not in self.down
        ]

    def send_to_all(self, data, destinations):
        """Hand a datagram over, unless it is lost."""
        for address in destinations:
            with self.lock:
                self.datagrams += 1
                lost = self.generator.random() < self.loss
            if not lost and address not in self.down:
                self.exchanges[address].beacons.handlers[data[:1]](data[1:])

    def serve(self, *versions):
        """Let upstreams of some software versions serve."""
        upstreams = {
            name: Upstream(name, SERVICE, Address("127.0.0.1", 1), "z1", 4)
            for name in versions
        }
        for exchange in self.exchanges.values():
            exchange.catalog.upstreams = {
                name: Upstream(name, SERVICE, upstream.address, "z1", 4, software=name)
                for name, upstream in upstreams.items()
            }
            exchange.update_versions()

    def hosts(self):
        """Return the exchanges of all hosts that run."""
        return [
            exchange
            for address, exchange in self.exchanges.items()
            if address not in self.down
        ]

    def stop(self, exchange):
        """Stop a host."""
        self.down.add(exchange.table.own_address)

    def tick(self):
        """Let the hosts tell once more what is pending."""
        for exchange in self.hosts():
            exchange.tick()


def begin_streams(fleet, versions=(OLD, NEW), host=0):
    """Begin streams at one host, and return their versions by request."""
    exchange = fleet.hosts()[host]
    begun = {}
    for number in range(STREAMS):
        request, software = b"r%d" % number, versions[number % len(versions)]
        exchange.record_begin(request, [SERVICE], software)
        begun[request] = software
    return begun


def resolve_all(exchange, begun):
    """Return how many streams a host resolves rightly; fail if one is wrong."""
    right = 0
    for request, software in begun.items():
        found = exchange.resolve([SERVICE], request)
        assert found.origin in (None, origin_key(software))
        right += found.origin is not None
    return right


# Guards against streams that no one knows, as their host stopped or datagrams are lost.
@pytest.mark.parametrize(
    "count, loss", [(2, 0.0), (9, 0.0), (9, 0.3), (24, 0.3), (30, 0.2), (195, 0.2)]
)
def test_origins_are_known_everywhere_after_their_host_has_stopped(count, loss):
    fleet = Fleet(count, loss)
    fleet.serve(OLD, NEW)
    begun = begin_streams(fleet)
    fleet.tick()
    fleet.stop(fleet.hosts()[0])
    for exchange in random.Random(2).sample(fleet.hosts(), min(count - 1, 4)):
        assert resolve_all(exchange, begun) >= 0.95 * STREAMS


def test_host_that_began_a_stream_need_not_ask():
    fleet = Fleet(3)
    fleet.serve(OLD, NEW)
    begun = begin_streams(fleet)
    before = fleet.datagrams
    found = fleet.hosts()[0].resolve([SERVICE], b"r0")
    assert (found.source, found.origin) == (OWN, origin_key(begun[b"r0"]))
    assert fleet.datagrams == before


def test_new_host_asks_the_others():
    fleet = Fleet(9)
    fleet.serve(OLD, NEW)
    begun = begin_streams(fleet)
    new = fleet.add(9)
    fleet.serve(OLD, NEW)
    assert resolve_all(new, begun) == STREAMS
    assert new.resolve([SERVICE], b"r1").age_s is not None


# Guards against the cost of telling in a fleet with one version, which needs none.
def test_nothing_is_told_while_one_version_serves():
    fleet = Fleet(9)
    fleet.serve(OLD)
    begin_streams(fleet, (OLD,))
    fleet.tick()
    assert fleet.datagrams == 0


def test_each_stream_is_told_to_few_hosts():
    fleet = Fleet(195)
    fleet.serve(OLD, NEW)
    begin_streams(fleet)
    fleet.tick()
    assert fleet.datagrams <= 2 * TOLD_HOSTS * STREAMS
    knowing = [item for item in fleet.hosts()[1:] if item.memory.origins]
    assert len(knowing) > 20


# Guards against streams from before a release, which began when nothing was told.
def test_streams_that_began_before_a_release_are_told_when_it_begins():
    fleet = Fleet(9)
    fleet.serve(OLD)
    begun = begin_streams(fleet, (OLD,))
    fleet.serve(OLD, NEW)
    fleet.stop(fleet.hosts()[0])
    new = fleet.add(9)
    fleet.serve(OLD, NEW)
    assert resolve_all(new, begun) == STREAMS


def test_stream_that_no_host_knows_goes_on_at_the_sole_version():
    fleet = Fleet(3)
    fleet.serve(OLD)
    found = fleet.hosts()[0].resolve([SERVICE], b"unknown")
    assert (found.source, found.origin) == (SOLE, origin_key(OLD))
    assert fleet.hosts()[0].resolve([SERVICE], None).origin is not None


# Guards against a host that has just started and takes what it sees for all there was.
def test_past_is_read_before_a_stream_is_rejected():
    fleet = Fleet(1)
    fleet.serve(OLD)
    exchange = fleet.hosts()[0]
    exchange.served.past_known = False
    exchange.read_past = lambda: exchange.served.add_past([(SERVICE, OLD)])
    assert exchange.resolve([SERVICE], b"unknown").origin == origin_key(OLD)


def test_stream_is_not_guessed_while_the_past_is_unknown():
    fleet = Fleet(1)
    fleet.serve(OLD)
    exchange = fleet.hosts()[0]
    exchange.served.past_known = False
    assert exchange.resolve([SERVICE], b"unknown").origin is None
    exchange.served.seen[SERVICE][OLD].first_s -= 10.0
    fleet.serve(OLD, NEW)
    assert exchange.resolve([SERVICE], b"unknown").origin is None


def test_stream_that_no_host_knows_is_not_guessed_among_two_versions():
    fleet = Fleet(3)
    fleet.serve(OLD, NEW)
    started_s = time.monotonic()
    found = fleet.hosts()[0].resolve([SERVICE], b"unknown")
    assert (found.origin, found.source) == (None, UNKNOWN)
    assert time.monotonic() - started_s < ASK_TIMEOUT_S


# Guards against streams of routes with several services that no other host knows.
def test_streams_of_services_with_different_versions_are_told():
    fleet = Fleet(3)
    for exchange in fleet.hosts():
        exchange.catalog.upstreams = {
            service: Upstream(
                service, service, Address("127.0.0.1", 1), "z1", 4, software=software
            )
            for service, software in (("a", OLD), ("b", NEW))
        }
        exchange.update_versions()
    first, second = fleet.hosts()[:2]
    first.record_begin(b"r1", ["a", "b"], NEW)
    assert second.resolve(["a", "b"], b"r1").origin == origin_key(NEW)
    assert second.resolve(["a"], b"unknown").origin == origin_key(OLD)


# Guards against a guess while hosts that may know do not reply.
def test_earlier_version_is_taken_only_if_all_hosts_reply(monkeypatch):
    fleet = Fleet(3)
    fleet.serve(OLD)
    exchange = fleet.hosts()[0]
    exchange.served.seen[SERVICE][OLD].first_s -= 10.0
    fleet.serve(OLD, NEW)
    found = exchange.resolve([SERVICE], b"unknown")
    assert (found.source, found.origin) == (EARLIER, origin_key(OLD))
    fleet.loss = 1.0
    assert exchange.resolve([SERVICE], b"unknown").origin is None


# Guards against the only version in a view that is older than the stream.
def test_sole_version_is_not_taken_without_an_answer_of_the_store():
    fleet = Fleet(3)
    fleet.serve(OLD)
    exchange = fleet.hosts()[0]
    exchange.read_versions = lambda since_s: False
    found = exchange.resolve([SERVICE], b"unknown")
    assert (found.origin, found.is_current) == (None, False)


def test_second_version_that_the_store_has_is_no_longer_sole():
    fleet = Fleet(3)
    fleet.serve(OLD)
    exchange = fleet.hosts()[0]
    begun = begin_streams(fleet, (OLD,))

    def read(since_s):
        assert since_s <= time.monotonic()
        exchange.add_versions([(SERVICE, NEW)])
        return True

    exchange.read_versions = read
    # The other hosts are asked, and none has heard of the stream.
    assert exchange.resolve([SERVICE], b"unknown").source == EARLIER
    for request in begun:  # own streams are told once versions are mixed
        assert fleet.hosts()[1].memory.find(request_key(request), time.monotonic())


# Guards against a host that nobody contradicts, since it reaches no other one.
def test_earlier_version_is_not_taken_by_an_isolated_host():
    fleet = Fleet(3)
    fleet.serve(OLD)
    exchange = fleet.hosts()[0]
    exchange.served.seen[SERVICE][OLD].first_s -= 10.0
    fleet.serve(OLD, NEW)
    for other in fleet.hosts()[1:]:
        fleet.stop(other)
    assert exchange.resolve([SERVICE], b"unknown").origin is None


# Guards against versions that came and left while a host did not follow the store.
@pytest.mark.parametrize("suspended", (False, True))
def test_past_is_read_again_after_a_gap(suspended):
    fleet = Fleet(1)
    fleet.serve(OLD)
    exchange = fleet.hosts()[0]
    assert exchange.resolve([SERVICE], b"unknown").origin == origin_key(OLD)
    if suspended:
        exchange.ticked_s -= SUSPENDED_S + 0.1
    else:
        exchange.catalog.is_fresh = lambda: False
    exchange.tick()
    exchange.catalog.is_fresh = lambda: True
    exchange.tick()
    assert exchange.resolve([SERVICE], b"unknown").origin is None
    exchange.read_past = lambda: exchange.served.add_past([(SERVICE, NEW)])
    assert exchange.resolve([SERVICE], b"unknown").origin is None
    exchange.served.seen[SERVICE].pop(NEW)
    assert exchange.resolve([SERVICE], b"unknown").origin == origin_key(OLD)


# Guards against streams that nobody knows once their host stops during an outage.
def test_streams_are_told_while_the_store_is_away():
    fleet = Fleet(3)
    fleet.serve(OLD)
    begun = begin_streams(fleet, (OLD,))
    for exchange in fleet.hosts():
        exchange.catalog.is_fresh = lambda: False
        exchange.read_versions = lambda since_s: False
    fleet.tick()
    fleet.hosts()[0].record_begin(b"later", [SERVICE], OLD)
    fleet.stop(fleet.hosts()[0])
    begun[b"later"] = OLD
    assert resolve_all(fleet.hosts()[0], begun) == STREAMS + 1


def test_origin_that_was_asked_for_is_remembered():
    fleet = Fleet(3)
    fleet.serve(OLD, NEW)
    begun = begin_streams(fleet, (NEW,))
    new = fleet.add(3)
    fleet.serve(OLD, NEW)
    request = next(iter(begun))
    assert new.resolve([SERVICE], request).source == ASKED
    assert new.memory.find(request_key(request), time.monotonic()) is not None


@pytest.mark.parametrize("kind", [b"O", b"A", b"R"])
def test_malformed_datagram_is_refused(kind):
    exchange = Fleet(1).hosts()[0]
    with pytest.raises(ValueError):
        exchange.beacons.handlers[kind](b"123")
