"""Changes in the store while it rejects the hosts that read it for the others.

Pattern: the store leaves most hosts without an answer, resets their connections or
rejects their calls; an operator changes the configuration and an engine drains.
"""

import time

import pytest

from rosemaryyoke.platform.tests.store_links import (
    BUSY,
    CUT,
    LIMITED,
    RESETTING,
    LinkedFleet,
)

SMALL, LARGE = 9, 26  # hosts; the large fleet has relays
IN_FORCE_S = 2.0  # the default bound of a drain, and of a configuration
LEARNED_S = 1.5


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
