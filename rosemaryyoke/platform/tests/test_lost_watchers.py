"""Changes in the store while it rejects the hosts that read it for the others.

Pattern: the store leaves most hosts without an answer, resets their connections or
rejects their calls; an operator changes the configuration and an engine drains.
"""

import time

import pytest

from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.platform.tests.store_links import (
    BUSY,
    CUT,
    ENGINE,
    LIMITED,
    LOST,
    RESETTING,
    LinkedFleet,
)

SMALL, LARGE = 9, 26  # hosts; the large fleet has relays
IN_FORCE_S = 2.0  # the default bound of a drain, and of a configuration
LEARNED_S = 1.5
SLOW_S = 0.4
CALLS_COUNTED_S = 8.0
CALLS_AT_REST_PER_S = 3 / 1.2 + 3 * 2 / 4.0


@pytest.fixture()
def make_fleet():
    fleets = []

    def make(count):
        fleet = LinkedFleet()
        fleets.append(fleet)
        fleet.start(count)
        time.sleep(LEARNED_S)
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def print_duration(started_s):
    print(f"in force after {time.monotonic() - started_s:.2f} s")


# Guards against a fleet that tries one host after the other until it finds one that the
# store serves, and acts on an older configuration meanwhile.
@pytest.mark.parametrize("trouble", (CUT, RESETTING, BUSY, LIMITED))
def test_changes_are_in_force_while_two_hosts_reach_store(make_fleet, trouble):
    fleet = make_fleet(SMALL)
    fleet.reject(fleet.ranked()[:-2], trouble)
    started_s = fleet.change(2)
    fleet.wait_in_force(2, IN_FORCE_S)
    print_duration(started_s)


# Guards against the same where relays stand between the watchers and the others.
@pytest.mark.parametrize("trouble", (CUT, BUSY))
def test_changes_are_in_force_while_one_host_of_large_fleet_reaches_store(
    make_fleet, trouble
):
    fleet = make_fleet(LARGE)
    fleet.reject(fleet.ranked()[:-1], trouble)
    started_s = fleet.change(2)
    fleet.wait_in_force(2, IN_FORCE_S)
    print_duration(started_s)


# Guards against hosts that remember for seconds that the store did not answer them, and
# don't try it when it turns away the others instead.
@pytest.mark.parametrize("trouble", (CUT, BUSY))
def test_changes_are_in_force_when_store_turns_to_other_hosts(make_fleet, trouble):
    fleet = make_fleet(SMALL)
    order = fleet.ranked()
    for version, rejected in enumerate((order[:5], order[5:], order[:7], order[2:]), 2):
        fleet.reject(rejected, trouble)
        started_s = fleet.change(version)
        fleet.wait_in_force(version, IN_FORCE_S)
        print_duration(started_s)
        fleet.set_engine(ENGINE, "ready")
        fleet.wait_returned(5.0)


# Guards against an old state at a host that starts while the store rejects it, and at
# those that relied on a watcher that ends meanwhile.
def test_changes_are_in_force_while_hosts_join_and_end(make_fleet):
    fleet = make_fleet(SMALL)
    order = fleet.ranked()
    fleet.reject(order[:-2], CUT)
    fleet.hosts[order[0]].kernel.stop()
    started_s = fleet.change(2)
    joined = fleet.add_host(CUT)
    left = [number for number in range(SMALL + 1) if number != order[0]]
    fleet.wait_in_force(2, IN_FORCE_S, [n for n in left if fleet.hosts[n] != joined])
    print_duration(started_s)
    wait_for(joined.is_ready, IN_FORCE_S)
    fleet.wait_in_force(2, 0.5, left)


# Guards against hosts that wait for the answers of watchers that stand still, while the
# store rejects most of the others.
@pytest.mark.parametrize("trouble", (CUT, BUSY))
def test_changes_are_in_force_while_watchers_stand_still(make_fleet, trouble):
    fleet = make_fleet(SMALL)
    order = fleet.ranked()
    frozen, rejected, left = order[:2], order[2:-2], order[2:]
    fleet.reject(rejected, trouble)
    fleet.freeze(frozen)
    started_s = fleet.change(2)
    fleet.wait_in_force(2, IN_FORCE_S, left)
    print_duration(started_s)


# Guards against a watch of the configuration that nobody answers any more after an
# outage, while upstreams are read again.
def test_changes_are_in_force_after_watches_were_lost(make_fleet):
    fleet = make_fleet(1)
    fleet.reject([0], LOST)
    wait_for(lambda: not any(host.catalog.is_fresh() for host in fleet.hosts), 8.0)
    fleet.reject((), LOST)
    wait_for(lambda: all(host.catalog.is_fresh() for host in fleet.hosts), 8.0)
    started_s = fleet.change(2)
    fleet.wait_in_force(2, IN_FORCE_S)
    print_duration(started_s)


# Guards against a store that is taken for lost because it is slow, so that all hosts
# call it, and against changes that are late then.
def test_slow_store_is_not_taken_for_lost(make_fleet):
    fleet = make_fleet(SMALL)
    fleet.store.call_delay_s = SLOW_S
    time.sleep(LEARNED_S)
    before = fleet.calls()
    time.sleep(CALLS_COUNTED_S)
    rate = (fleet.calls() - before) / CALLS_COUNTED_S
    print(f"{rate:.1f} calls/s of a slow store")
    assert rate <= CALLS_AT_REST_PER_S
    started_s = fleet.change(2)
    fleet.wait_in_force(2, IN_FORCE_S)
    print_duration(started_s)


# Guards against more calls at rest than before hosts checked the age of their views:
# three watchers made one of 1.2 s for the upstreams and two of 4 s for the rest.
def test_store_calls_at_rest_do_not_grow(make_fleet):
    fleet = make_fleet(SMALL)
    time.sleep(LEARNED_S)
    before = fleet.calls()
    time.sleep(CALLS_COUNTED_S)
    rate = (fleet.calls() - before) / CALLS_COUNTED_S
    print(f"{rate:.1f} calls/s at rest")
    assert rate <= CALLS_AT_REST_PER_S
