"""Hosts refresh an old view of the store elsewhere, without a herd of calls.

Pattern: the store answers one host of a fleet, or none, while the views of all grow
old.
"""

import math
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from attrs import define, evolve, field
from result import Err, Ok

from rosemaryyoke.catalog import catalog as catalogs
from rosemaryyoke.catalog.timing import DEFAULT_TIMING
from rosemaryyoke.hosts.tests.test_eras import make_catalog, make_upstream
from rosemaryyoke.hosts.tests.test_watchers import make_hosts, make_roles
from rosemaryyoke.hosts.view_guard import (
    CHECK_PERIOD_S,
    FETCH_WAIT_S,
    MAX_FETCHES,
    RETRY_S,
    TURN_S,
    StoreReader,
    ViewGuard,
    turn_delay_s,
)
from rosemaryyoke.hosts.watchers import WATCHERS
from rosemaryyoke.objects.feed import FeedError, Listing
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.rollout.tests.test_rollout import InlineExecutor
from rosemaryyoke.testing.clocks import ManualClock

SIZES = (9, 24, 74, 195)
# The rest of the time for a change is for telling the others, who fetch it.
TRIED_WITHIN_S = 1.8
CALL_S = 2.0  # until a call that gets no answer counts as lost
HANG_S = 3.0


@pytest.fixture()
def clock(monkeypatch):
    clock = ManualClock()
    monkeypatch.setattr(catalogs, "time", clock)
    return clock


@define
class ModelledReader:
    """Counts calls to a store that answers at once or not at all."""

    clock: ManualClock
    answers: bool = False
    started_s: list = field(factory=list)
    retry_at_s: float = -math.inf

    def forget_failures(self):
        """Call at the next request."""
        self.retry_at_s = -math.inf

    def stop(self):
        """Do nothing, as there is no thread."""

    def request(self, now_s):
        """Begin a call, unless one is under way or failed lately."""
        busy_s = max([-math.inf, *self.started_s]) + CALL_S
        if now_s >= busy_s and now_s >= self.retry_at_s:
            self.started_s.append(now_s)
            self.retry_at_s = now_s + CALL_S + RETRY_S[0]


class ModelledFleet:
    """Guards of hosts that know each other and believe some to read the store."""

    def __init__(self, count, clock, watchers=WATCHERS):
        hosts = make_hosts(count)
        self.clock = clock
        self.guards = []
        for name, roles in make_roles(hosts).items():
            for peer in roles.table.peers.values():
                peer.last_heard_s = clock.now_s + 100.0
            roles.store_failed_s = -math.inf
            catalog = make_catalog(make_upstream("e1"))
            catalog.unread_kinds.add("configuration")
            catalog.record_confirmation(0.0, "h1")
            reader = ModelledReader(clock)
            guard = ViewGuard(
                catalog, roles, None, reader, lambda: None, executor=InlineExecutor()
            )
            self.guards.append(guard)
        for guard in self.guards:
            for name in [host.host for host in hosts[:watchers]]:
                self.mark_reading(guard, name)

    def mark_reading(self, guard, name):
        """Let a host believe that another one, or itself, reads the store."""
        if name == guard.roles.host:
            guard.roles.store_read_s = math.inf
        else:
            peer = guard.roles.table.peers[name]
            peer.beacon = evolve(peer.beacon, reads_store=True)

    def run(self, duration_s):
        """Check all views for a time; return when the readers' calls began."""
        end_s = self.clock.now_s + duration_s
        while self.clock.now_s < end_s:
            for guard in self.guards:
                guard.check(self.clock.now_s)
            self.clock.now_s += CHECK_PERIOD_S
        return sorted(
            time_s for item in self.guards for time_s in item.reader.started_s
        )


# Guards against a fleet in which a change waits for hosts that fail one after another.
@pytest.mark.parametrize("count", SIZES)
def test_every_host_has_tried_store_in_time(clock, count):
    fleet = ModelledFleet(count, clock)
    started_s = clock.now_s
    calls_s = fleet.run(TRIED_WITHIN_S)
    assert all(guard.reader.started_s for guard in fleet.guards)
    assert calls_s[0] - started_s > DEFAULT_TIMING.max_age_s
    few = [time_s for time_s in calls_s if time_s < calls_s[0] + TURN_S - 0.01]
    assert len(few) <= max(4, count / 9)


# Guards against hosts that call a store which answers nobody, all of them all the time.
@pytest.mark.parametrize("count", SIZES)
def test_outage_brings_no_herd(clock, count):
    fleet = ModelledFleet(count, clock)
    started_s = clock.now_s
    calls_s = fleet.run(20.0)
    first = [time_s for time_s in calls_s if time_s < started_s + CALL_S]
    assert len(first) <= count
    later_s = 20.0 - CALL_S
    assert len(calls_s) - len(first) <= count * later_s / (CALL_S + RETRY_S[0])


def test_view_of_another_host_goes_before_store(clock):
    fleet = ModelledFleet(9, clock)
    guard, fetched = fleet.guards[0], []
    guard.transfer = SimpleNamespace(fetch_from=lambda peer: fetched.append(peer.host))
    clock.now_s += 2.0
    name, peer = list(guard.roles.table.peers.items())[-1]
    peer.beacon = evolve(peer.beacon, view_as_of_s=clock.now_s - 0.3)
    guard.check(clock.now_s)
    assert fetched == [name] and not guard.reader.started_s
    guard.check(clock.now_s)  # the host gave no answer, so that it is avoided
    assert fetched == [name]


def announce_view(guard, number, age_s, clock):
    """Let a guard hear of another host's view; return the name of the host."""
    name, peer = list(guard.roles.table.peers.items())[number]
    peer.beacon = evolve(peer.beacon, view_as_of_s=clock.now_s - age_s)
    return name


class StandingHosts:
    """Takes requests for the state of hosts, and answers none until released."""

    def __init__(self):
        self.asked = []
        self.released = threading.Event()

    def fetch_from(self, peer):
        """Wait until released; return whether the host answered."""
        self.asked.append(peer.host)
        self.released.wait(HANG_S)
        return False


@pytest.fixture()
def standing_hosts():
    hosts = StandingHosts()
    yield hosts
    hosts.released.set()


# Guards against a host that does nothing else while it waits for one that stands still.
def test_host_that_gives_no_answer_holds_up_nothing(clock, standing_hosts):
    guard = ModelledFleet(9, clock).guards[0]
    guard.transfer, guard.executor = standing_hosts, ThreadPoolExecutor(MAX_FETCHES)
    clock.now_s += 2.0
    names = {announce_view(guard, number, 0.3, clock) for number in (-2, -1)}
    started_s = time.monotonic()
    guard.check(clock.now_s)
    clock.now_s += FETCH_WAIT_S + 0.01
    guard.check(clock.now_s)
    assert time.monotonic() - started_s < HANG_S
    wait_for(lambda: set(standing_hosts.asked) == names)
    assert not guard.reader.started_s  # a current view may still be had
    clock.now_s += FETCH_WAIT_S + 0.01
    guard.check(clock.now_s)
    assert guard.reader.started_s


# Guards against a check under way that fails, as the host stops meanwhile.
def test_check_under_way_may_fetch_while_host_stops(clock):
    guard, fetched = ModelledFleet(9, clock).guards[0], []
    guard.transfer = SimpleNamespace(fetch_from=lambda peer: fetched.append(peer.host))
    guard.executor = ThreadPoolExecutor(MAX_FETCHES)
    clock.now_s += 2.0
    name = announce_view(guard, -1, 0.3, clock)
    guard.stop()
    guard.check(clock.now_s)
    wait_for(lambda: fetched == [name])
    guard.run()  # ends at once
    with pytest.raises(RuntimeError):
        guard.executor.submit(print)


# Guards against hosts that wait for each other's old views instead of the store.
def test_old_views_of_others_do_not_replace_store(clock):
    guard, fetched = ModelledFleet(9, clock).guards[0], []
    guard.transfer = SimpleNamespace(fetch_from=lambda peer: fetched.append(peer.host))
    clock.now_s += 2.0
    name = announce_view(guard, -1, DEFAULT_TIMING.max_age_s + 0.1, clock)
    guard.stale_since_s = clock.now_s - turn_delay_s(8)
    guard.check(clock.now_s)
    assert fetched == [name] and guard.reader.started_s


# Guards against a host that is asked again and again as it announced a newer view than
# it has.
def test_host_with_older_view_than_announced_is_avoided(clock):
    guard, fetched = ModelledFleet(9, clock).guards[0], []

    def fetch_from(peer):
        fetched.append(peer.host)
        guard.catalog.record_confirmation(1.0, peer.host)
        return True

    guard.transfer = SimpleNamespace(fetch_from=fetch_from)
    clock.now_s += 2.0
    name = announce_view(guard, -1, 0.3, clock)
    for _ in range(3):
        guard.check(clock.now_s)
        clock.now_s += CHECK_PERIOD_S
        guard.catalog.confirmed_s = clock.now_s - 2.0
    assert fetched == [name]


def test_missing_watcher_is_replaced_by_host_that_store_answers(clock):
    fleet = ModelledFleet(9, clock, WATCHERS - 1)
    candidates = []
    for guard in fleet.guards:
        guard.check(clock.now_s)
        candidates += [guard.roles.host] * len(guard.reader.started_s)
    assert len(candidates) == 1
    asked = next(g for g in fleet.guards if g.roles.host == candidates[0])
    assert not asked.roles.is_watcher(clock.now_s)
    asked.roles.record_store_read(True, clock.now_s)
    assert asked.roles.is_watcher(clock.now_s)
    assert not asked.roles.is_candidate(clock.now_s)


def test_turns_grow():
    delays = [turn_delay_s(position) for position in range(243)]
    assert delays[0] == delays[2] == 0.0 and delays[3] == TURN_S
    assert delays == sorted(delays) and delays[-1] == pytest.approx(4 * TURN_S)


class ScriptedFollower:
    """The part of a follower that a store reader uses."""

    def __init__(self, catalog, outcomes):
        self.catalog, self.outages, self.listed = catalog, [], []
        self.source = SimpleNamespace(feed=self)
        self.outcomes = outcomes

    def list(self, kind):
        """Return the next outcome."""
        return self.outcomes.pop(0)

    def listing_handlers(self):
        """Return handlers of three kinds."""
        return [(kind, self.listed.append) for kind in ("a", "b", "c")]

    def handle_store_success(self, outage_s):
        """Note an outage."""
        self.outages.append(outage_s)


def test_reader_confirms_view_as_of_its_first_call():
    catalog = make_catalog(make_upstream("e1"))
    catalog.unread_kinds.add("configuration")
    (roles,) = make_roles(make_hosts(1)).values()
    listings = [Ok(Listing(number)) for number in (5, 6, 7)]
    follower, told = ScriptedFollower(catalog, listings), []
    reader = StoreReader(follower, roles, lambda: told.append(True))
    assert not catalog.is_fresh()
    assert reader.read()
    assert catalog.is_fresh() and told and len(follower.listed) == 3
    assert follower.outages  # nobody had confirmed the view before


def test_failed_reader_waits_and_keeps_view():
    catalog = make_catalog(make_upstream("e1"))
    (roles,) = make_roles(make_hosts(1)).values()
    as_of_s = catalog.as_of_s()
    outcomes = [Ok(Listing(5)), Err(FeedError("status 503"))]
    reader = StoreReader(ScriptedFollower(catalog, outcomes), roles, lambda: None)
    assert not reader.read()
    assert catalog.as_of_s() == as_of_s and reader.failed
    reader.request(reader.retry_at_s - 0.01)
    assert not reader.is_reading
    reader.request(reader.retry_at_s)
    assert reader.is_reading


# Guards against registrations kept for upstreams that are gone (DRAIN), because
# the store once rejected this host.
def test_earlier_failure_is_no_outage(clock):
    fleet = ModelledFleet(9, clock)
    guard = fleet.guards[0]
    guard.catalog.confirmed_s = clock.now_s - 1.5
    follower = ScriptedFollower(guard.catalog, [Ok(Listing(5))] * 3)
    guard.reader = StoreReader(follower, guard.roles, lambda: None, failed=True)
    guard.check(clock.now_s)
    guard.reader.read()
    assert follower.outages == []
