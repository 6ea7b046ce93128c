"""Room at brittle upstreams, divided among hosts without a coordinator."""

import pytest

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.messages import ResponseMetadata
from rosemaryyoke.fleet import Chooser, Fleet
from rosemaryyoke.fleet.room import (
    BRITTLE_TTL_S,
    PLACEMENT_TTL_S,
    BrittleReport,
    room_share,
    usable_slots,
)
from rosemaryyoke.fleet.state import ActiveRequest
from rosemaryyoke.fleet.tests.builders import NOW_S, make_request, make_state

PLAIN = ResponseMetadata(b"r1", True, False)
BRITTLE = ResponseMetadata(b"r1", True, False, brittle=True)


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.at_s = NOW_S

    def __call__(self):
        return self.at_s


def make_fleet(clock, slots=6, hosts=1, count=2):
    """Return the fleet of a host with engines, whose first answer says brittle."""
    fleet = Fleet(Catalog(), now_s=clock)
    for number in range(count):
        fleet.states[f"e{number}"] = make_state(f"e{number}", slots=slots)
    fleet.update_hosts("h0", [f"h{number}" for number in range(hosts)])
    return fleet


@pytest.fixture()
def clock():
    return Clock()


@pytest.mark.parametrize("slots", (1, 2, 4, 6, 48, 128))
@pytest.mark.parametrize("count", (1, 3, 9, 65, 195))
def test_shares_of_all_hosts_add_up_to_the_usable_slots(slots, count):
    hosts = [f"h{number}" for number in range(count)]
    shares = [room_share(slots, "e1", host, hosts) for host in hosts]
    assert sum(shares) == usable_slots(slots) <= max(1, slots - 1)
    assert max(shares) - min(shares) <= 1


def test_hosts_without_a_share_differ_from_one_upstream_to_the_next():
    hosts = [f"h{number}" for number in range(9)]
    have = {
        host
        for upstream in ("a", "b", "c", "d")
        for host in hosts
        if room_share(6, upstream, host, hosts)
    }
    assert len(have) >= 8


def test_no_more_than_the_share_is_placed_however_fast(clock):
    # Guards against requests that are placed before the earlier ones are under way.
    fleet = make_fleet(clock, slots=6, hosts=2)
    fleet.record_notices(fleet.states["e0"], BRITTLE, NOW_S)
    chooser, placed = Chooser(), 0
    while not chooser.choose(
        make_request(), list(fleet.states.values()), set(), NOW_S
    ).is_err():
        chosen = chooser.choose(
            make_request(), list(fleet.states.values()), set(), NOW_S
        ).ok_value
        chosen.state.room.place(NOW_S)
        placed += 1
        assert placed < 20
    assert placed == sum(state.room.share for state in fleet.states.values())


def test_placement_that_is_never_sent_frees_its_place(clock):
    state = make_fleet(clock, slots=2).states["e0"]
    state.room.brittle_s = NOW_S
    state.room.place(NOW_S)
    assert not state.has_place(NOW_S)
    assert state.has_place(NOW_S + PLACEMENT_TTL_S)


def test_request_that_ends_frees_its_place(clock):
    state = make_fleet(clock, slots=2).states["e0"]
    state.room.brittle_s = NOW_S
    state.room.place(NOW_S)
    active = ActiveRequest(1, 1, NOW_S)
    state.begin(active)
    assert not state.has_place(NOW_S + 1.0)
    state.end(active, NOW_S + 1.0)
    assert state.has_place(NOW_S + 1.0)


def test_requests_beyond_the_room_are_rejected_with_a_retry_time(clock):
    fleet = make_fleet(clock, slots=2)
    fleet.record_notices(fleet.states["e0"], BRITTLE, NOW_S)
    for state in fleet.states.values():
        state.room.place(NOW_S)
    states = list(fleet.states.values())
    refused = Chooser().choose(make_request(), states, set(), NOW_S).err_value
    assert refused.message == "no upstream has room" and 0 < refused.retry_after_s < 1


def test_whole_service_is_brittle_once_one_answer_says_so(clock):
    fleet = make_fleet(clock)
    fleet.record_notices(fleet.states["e0"], BRITTLE, NOW_S)
    assert all(state.is_brittle(NOW_S) for state in fleet.states.values())


def test_each_upstream_ends_it_by_an_answer_to_a_later_request(clock):
    fleet = make_fleet(clock)
    first, second = fleet.states.values()
    fleet.record_notices(first, BRITTLE, NOW_S)
    fleet.record_notices(first, PLAIN, NOW_S - 0.1)
    assert first.is_brittle(NOW_S)
    fleet.record_notices(first, PLAIN, NOW_S + 0.1)
    assert not first.is_brittle(NOW_S) and second.is_brittle(NOW_S)


def test_it_ends_by_itself_without_answers(clock):
    fleet = make_fleet(clock)
    fleet.record_notices(fleet.states["e0"], BRITTLE, NOW_S)
    assert not fleet.states["e1"].is_brittle(NOW_S + BRITTLE_TTL_S)


def test_other_hosts_learn_of_it(clock):
    fleet, other = make_fleet(clock), make_fleet(clock)
    fleet.record_notices(fleet.states["e0"], BRITTLE, NOW_S)
    other.record_brittle("h1", fleet.brittle_reports())
    assert all(state.is_brittle(NOW_S) for state in other.states.values())
    other.record_brittle("h1", (BrittleReport(7, NOW_S),))


def test_new_upstream_of_the_service_is_brittle_from_its_start(clock):
    # Guards against the one that comes back after a fall getting all that waits.
    fleet = make_fleet(clock)
    fleet.record_notices(fleet.states["e0"], BRITTLE, NOW_S)
    fleet._update_upstream(make_state("e9").upstream, None)
    assert fleet.states["e9"].is_brittle(NOW_S)


def test_upstreams_that_are_not_brittle_have_no_bound(clock):
    state = make_fleet(clock, slots=1).states["e0"]
    for _ in range(10):
        state.room.place(NOW_S)
        state.begin(ActiveRequest(1, 1, NOW_S))
    assert state.has_place(NOW_S)
