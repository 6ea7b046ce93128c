"""Hosts whose views are of different eras of the store agree by the greater one.

Pattern: the store was restored from a copy; some hosts have read it since, others not.
"""

import time
from typing import Callable

import orjson
from attrs import define, evolve, field
from result import Ok

from rosemaryyoke.catalog import Catalog, Upstream
from rosemaryyoke.catalog.model import Configuration
from rosemaryyoke.fleet import Fleet
from rosemaryyoke.hosts import BeaconService, HostTable
from rosemaryyoke.hosts.codec import decode_beacon, encode_beacon
from rosemaryyoke.hosts.relay import CatalogRelay, encode_changes
from rosemaryyoke.hosts.tests.test_table import OWN, make_beacon
from rosemaryyoke.hosts.transfer import StateTransfer, encode_state
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.http1 import Address, Response


def make_upstream(name, **changes):
    return Upstream(name, "s", Address("10.1.0.1", 80), "z1", 1, **changes)


def make_catalog(*upstreams, era=0):
    """Return the catalog of a host that has read the store in an era."""
    catalog = Catalog()
    catalog.update_configuration(Configuration(1, (), {}), b"")
    catalog.eras.learn(era, "store")
    catalog.replace_upstreams({item.name: item for item in upstreams}, era)
    catalog.record_store_answer(time.monotonic())
    return catalog


def make_transfer(catalog):
    roles = WatcherRoles("h1", "z1", HostTable(OWN, "h1", "z1"))
    return StateTransfer(None, catalog, roles, catalog.replace_upstreams)


@define
class OtherHost:
    """Answers polls from its catalog."""

    catalog: Catalog
    address: Address
    targets: list = field(factory=list)
    on_request: Callable[[], None] = lambda: None

    def request(self, method, target, body=None, timeout_s=1.0, headers=()):
        """Answer a poll."""
        self.targets.append(target)
        self.on_request()
        return Ok(Response(200, encode_changes(self.catalog, "", 1)))

    def close(self):
        """Close the connection."""


def test_beacon_carries_the_era():
    beacon = make_beacon(2, era=7)
    assert decode_beacon(encode_beacon(beacon), {}) == beacon


def test_host_learns_of_the_era_from_beacons_even_stale_ones():
    fleet = Fleet(Catalog())
    service = BeaconService(HostTable(OWN, "h1", "z1"), fleet, None)
    service.handle_beacon(make_beacon(2, sequence=5, era=3))
    assert service.eras.current == 3
    service.handle_beacon(make_beacon(2, sequence=4, era=4))
    service.handle_beacon(make_beacon(3, era=2))
    assert service.eras.current == 4


def test_followers_keep_the_greater_era():
    follower = make_catalog(make_upstream("e1"), era=3)
    older = make_catalog(make_upstream("e2"), era=2)
    transfer = make_transfer(follower)
    value = orjson.loads(encode_state(older))
    assert not transfer.apply({**value, "configuration": None}, 0.0, "h2")
    assert set(follower.upstreams) == {"e1"} and follower.upstreams_era == 3
    newer = make_catalog(make_upstream("e3"), era=4)
    value = orjson.loads(encode_state(newer))
    assert transfer.apply({**value, "configuration": None}, 0.0, "h3")
    assert set(follower.upstreams) == {"e3"} and follower.upstreams_era == 4
    assert follower.eras.current == 4


def test_follower_avoids_a_watcher_of_an_older_era():
    follower = make_catalog(make_upstream("e1"), era=3)
    transfer = make_transfer(follower)
    relay = CatalogRelay(transfer.roles, follower, transfer)
    peer = evolve(make_beacon(2), store_reachable=True)
    relay.client = OtherHost(make_catalog(make_upstream("e2"), era=2), OWN)
    relay.client.address = peer.peer_address
    assert not relay.poll_peer(peer)
    assert relay.generation == "" and relay.client is None
    assert transfer.roles.avoid_until_s[peer.host] > time.monotonic()
    assert set(follower.upstreams) == {"e1"}


def test_followers_get_the_era_with_unchanged_upstreams():
    watcher = make_catalog(make_upstream("e1"), era=2)
    generation = watcher.generation
    watcher.replace_upstreams(dict(watcher.registered), 3)
    assert watcher.generation != generation
    follower = make_catalog(make_upstream("e1"), era=2)
    transfer = make_transfer(follower)
    peer = make_beacon(2)
    relay = CatalogRelay(transfer.roles, follower, transfer)
    relay.client = OtherHost(watcher, peer.peer_address)
    assert relay.poll_peer(peer)
    assert follower.upstreams_era == follower.eras.current == 3


def test_drain_binds_a_follower_whose_next_watcher_missed_it():
    follower = make_catalog(make_upstream("e1", draining=True, born_ms=1), era=2)
    transfer = make_transfer(follower)
    other = make_catalog(make_upstream("e1", born_ms=1, written_era=2), era=3)
    value = {**orjson.loads(encode_state(other)), "configuration": None}
    transfer.apply(value, 0.0, "h2")
    assert follower.upstreams["e1"].draining
    unrelated = {"era": 3, "complete": False, "upstreams": [], "removed": []}
    transfer.apply(unrelated, 0.0, "h2")
    transfer.apply(value, 0.0, "h3")
    assert follower.upstreams["e1"].draining


def test_removal_binds_a_follower_whose_next_watcher_missed_it():
    follower = make_catalog(make_upstream("e1", born_ms=1), make_upstream("e2"), era=2)
    follower.replace_upstreams({"e2": make_upstream("e2")}, 2)
    transfer = make_transfer(follower)
    upstreams = make_upstream("e1", born_ms=1, written_era=2), make_upstream("e2")
    other = make_catalog(*upstreams, era=3)
    value = {**orjson.loads(encode_state(other)), "configuration": None}
    transfer.apply(value, 0.0, "h2")
    assert set(follower.upstreams) == {"e2"}
    written = evolve(upstreams[0], written_era=3)
    other.replace_upstreams({"e1": written, "e2": upstreams[1]}, 3)
    value = {**orjson.loads(encode_state(other)), "configuration": None}
    transfer.apply(value, 0.0, "h2")
    assert set(follower.upstreams) == {"e1", "e2"}
