"""When weights were declared, as hosts that have just started learn it."""

import time

import orjson
import pytest
from result import Ok

from rosemaryyoke.catalog import WantedWeights
from rosemaryyoke.hosts import transfer as transfers
from rosemaryyoke.hosts.relay import decode_changes, encode_changes
from rosemaryyoke.hosts.tests.test_eras import (
    make_catalog,
    make_transfer,
    make_upstream,
)
from rosemaryyoke.hosts.tests.test_table import make_beacon
from rosemaryyoke.hosts.transfer import MAX_ASKED, encode_state
from rosemaryyoke.http1 import Response

MODEL = "m1"
ASSUMED_S, REAL_S = 11.0, 40.0
TOLERANCE_S = 0.5


def make_host(*ages, assumed=False):
    """Return the catalog of a host that knows when versions from 2 on were declared."""
    catalog = make_catalog(make_upstream("e1", weights={MODEL: 1}))
    for version, age_s in enumerate(ages, 2):
        catalog.update_wanted(WantedWeights(MODEL, version), age_s, assumed)
    return catalog


def state_of(catalog):
    """Return what a host hands to others, without its configuration."""
    value = orjson.loads(encode_state(catalog))
    del value["configuration"]
    return value


def outdated_s(catalog, version=1):
    """Return how long ago weights were declared that replace a version."""
    return catalog.outdated_s(MODEL, version, time.monotonic())


# Guards against a host that has just started and serves with weights too long.
def test_host_that_has_just_started_asks_when_weights_were_declared(monkeypatch):
    old, new = make_host(REAL_S), make_host(ASSUMED_S, assumed=True)
    new.unread_kinds.clear()
    transfer = make_transfer(new)
    transfer.roles.table.update_from_beacon(make_beacon(2), time.monotonic())
    calls = []

    def send(address, method, target, timeout_s, headers):
        calls.append(address)
        return Ok(Response(200, orjson.dumps(state_of(old))))

    monkeypatch.setattr(transfers, "send_request", send)
    for _ in range(3):
        transfer.fetch()
    assert outdated_s(new) == pytest.approx(REAL_S, abs=TOLERANCE_S)
    assert len(calls) == 1


def test_hosts_that_know_no_more_are_asked_once(monkeypatch):
    new = make_host(ASSUMED_S, assumed=True)
    transfer = make_transfer(new)
    for number in range(2, 2 * MAX_ASKED + 2):
        transfer.roles.table.update_from_beacon(make_beacon(number), time.monotonic())
    calls = []

    def send(address, method, target, timeout_s, headers):
        calls.append(address)
        state = state_of(make_host(ASSUMED_S, assumed=True))
        return Ok(Response(200, orjson.dumps(state)))

    monkeypatch.setattr(transfers, "send_request", send)
    for _ in range(3 * MAX_ASKED):
        transfer.fetch()
    assert len(calls) == len(set(calls)) == MAX_ASKED
    assert outdated_s(new) == pytest.approx(ASSUMED_S, abs=TOLERANCE_S)


# Guards against the age of the newest version for weights that an earlier one replaced.
def test_earlier_declarations_are_learned():
    old, new = make_host(REAL_S, 5.0), make_host()
    value = decode_changes(encode_changes(old, "", 1))
    assert make_transfer(new).apply(value, 0.0)
    assert outdated_s(new, 1) == pytest.approx(REAL_S, abs=TOLERANCE_S)
    assert outdated_s(new, 2) == pytest.approx(5.0, abs=TOLERANCE_S)


def test_assumed_ages_are_not_handed_on():
    new = make_host(ASSUMED_S, assumed=True)
    assert new.known_declarations() == {MODEL: []}
    known = make_host(REAL_S)
    assert make_transfer(known).apply(state_of(new), 0.0)
    assert outdated_s(known) == pytest.approx(REAL_S, abs=TOLERANCE_S)


# Hosts of the build before name no ages.
def test_state_without_ages_is_understood():
    value = state_of(make_host(REAL_S))
    del value["declared"]
    new = make_host()
    assert make_transfer(new).apply(value, 0.0)
    assert new.wanted == {MODEL: 2} and new.assumes_declarations()


# Guards against the same at hosts that hear of a version from one that has just
# started, too, as after a loss of power of all machines.
def test_version_of_unknown_age_is_old_at_a_host_that_starts():
    new = make_catalog(make_upstream("e1", weights={MODEL: 1}))
    new.max_assumed_age_s = ASSUMED_S
    state = state_of(make_host(ASSUMED_S, assumed=True))
    assert make_transfer(new).apply(state, 0.2, "h2")
    assert outdated_s(new) >= ASSUMED_S
