"""Answers of other hosts that reach a host long after they were given.

Pattern: a host stands still, or its link is full, while it waits for the state of
another one.
"""

import orjson
import pytest
from attrs import evolve
from result import Ok

from rosemaryyoke.catalog import catalog as catalogs
from rosemaryyoke.hosts import relay as relays, transfer as transfers
from rosemaryyoke.hosts.relay import CatalogRelay
from rosemaryyoke.hosts.tests.test_eras import (
    OtherHost,
    make_catalog,
    make_transfer,
    make_upstream,
)
from rosemaryyoke.hosts.tests.test_table import make_beacon
from rosemaryyoke.hosts.transfer import encode_state
from rosemaryyoke.http1 import Response
from rosemaryyoke.testing.clocks import ManualClock

HELD_UP_S = 5.0


@pytest.fixture()
def clock(monkeypatch):
    clock = ManualClock()
    for module in (catalogs, relays, transfers):
        monkeypatch.setattr(module, "time", clock)
    return clock


def make_current(clock):
    """Return the catalog of a host that the store has answered just now."""
    catalog = make_catalog(make_upstream("e1"))
    catalog.store_answered_s = clock.now_s
    return catalog


def make_follower(clock):
    """Return the catalog of a host that does not read the store, an hour old."""
    catalog = make_current(clock)
    catalog.unread_kinds.add("configuration")
    clock.now_s += 3_600.0
    return catalog


# Guards against a poll that confirms a view as of the moment at which its answer is
# read, and thereby the views of those that poll this host.
@pytest.mark.parametrize("held_up_s, age_s", ((0.0, 0.0), (0.9, 0.0), (HELD_UP_S, 4.0)))
def test_late_answer_to_poll_does_not_confirm_view(clock, held_up_s, age_s):
    follower = make_follower(clock)
    transfer = make_transfer(follower)
    relay = CatalogRelay(transfer.roles, follower, transfer)
    peer = evolve(make_beacon(2), store_reachable=True)
    relay.client = OtherHost(make_current(clock), peer.peer_address)

    def hold_up():
        clock.now_s += held_up_s
        relay.client.catalog.record_store_answer(clock.now_s)

    relay.client.on_request = hold_up
    assert relay.poll_peer(peer)
    assert follower.age_s() == pytest.approx(age_s)


# Guards against the same when a state is fetched, which is answered without a wait.
@pytest.mark.parametrize("held_up_s", (0.0, HELD_UP_S))
def test_late_state_does_not_confirm_view(clock, monkeypatch, held_up_s):
    follower = make_follower(clock)
    transfer = make_transfer(follower)
    value = orjson.loads(encode_state(make_current(clock)))

    def send_request(*arguments, **options):
        clock.now_s += held_up_s
        return Ok(Response(200, orjson.dumps({**value, "configuration": None})))

    monkeypatch.setattr(transfers, "send_request", send_request)
    assert transfer.fetch_from(make_beacon(2))
    assert follower.age_s() == pytest.approx(held_up_s)
