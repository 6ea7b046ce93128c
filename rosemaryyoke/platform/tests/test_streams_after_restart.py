"""Streams that callers resume after all hosts have ended and started again."""

import time

import pytest

from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.platform.tests.test_software_versions import (
    NEW,
    OLD,
    MixedFleet,
    assert_whole,
    count_mixed,
)

HOSTS = 2
STREAMS = 16
SETTLED_S = 0.8  # from a change of the upstreams to the end of all hosts
REJECTED_WITHIN_S = 0.5
LATER_S = 4.0  # after the start, a host knows the others


@pytest.fixture()
def fleet(request):
    fleet = MixedFleet(refuses=False)
    fleet.start(getattr(request, "param", (OLD, OLD, NEW, NEW)))
    time.sleep(SETTLED_S)
    yield fleet
    fleet.stop()


def restart_all(fleet, change=lambda: None):
    """End all hosts, change the upstreams, and start as many hosts."""
    while fleet.hosts:
        fleet.hosts.pop().kernel.stop()
    change()
    fleet.start_hosts(HOSTS)


def begin_some(fleet):
    """Begin streams at all hosts."""
    return [fleet.begin(number % HOSTS) for number in range(STREAMS)]


def take_up_all(fleet, begun):
    """Take streams up at all hosts; return their statuses and versions."""
    return [fleet.take_up(item, number % HOSTS) for number, item in enumerate(begun)]


def assert_rejected_or_whole(fleet, begun):
    """Check that no stream is mixed, and that rejections are fast."""
    started_s = time.monotonic()
    results = take_up_all(fleet, begun)
    assert time.monotonic() - started_s < REJECTED_WITHIN_S * len(begun)
    assert count_mixed(results) == 0
    assert {status for status, _ in results} <= {200, 503}


# Guards against streams of a version that has left, which go on at the other one.
@pytest.mark.parametrize("pause_s", (0.0, LATER_S))
def test_version_that_left_before_the_end_of_all_hosts(fleet, pause_s):
    begun = begin_some(fleet)
    fleet.remove_engines(OLD)
    time.sleep(SETTLED_S)
    restart_all(fleet)
    time.sleep(pause_s)
    assert_rejected_or_whole(fleet, begun)


# Guards against hosts that forget at a second start what the first had read.
def test_version_that_left_before_two_ends_of_all_hosts(fleet):
    begun = begin_some(fleet)
    fleet.remove_engines(OLD)
    time.sleep(SETTLED_S)
    restart_all(fleet)
    restart_all(fleet)
    assert_rejected_or_whole(fleet, begun)


# Guards against streams that go on at a version that came while no host ran.
@pytest.mark.parametrize("fleet", ((OLD, OLD),), indirect=True)
def test_version_that_is_replaced_while_all_hosts_are_down(fleet):
    begun = begin_some(fleet)

    def replace():
        fleet.add_engine(NEW)
        fleet.add_engine(NEW)
        fleet.remove_engines(OLD)

    restart_all(fleet, replace)
    assert_rejected_or_whole(fleet, begun)


def test_both_versions_serve_on(fleet):
    begun = begin_some(fleet)
    restart_all(fleet)
    assert_rejected_or_whole(fleet, begun)


# Guards against sound streams that are rejected for the kill of all hosts alone.
@pytest.mark.parametrize("fleet", ((OLD, OLD),), indirect=True)
def test_streams_of_the_only_version_go_on(fleet):
    begun = begin_some(fleet)
    restart_all(fleet)
    assert_whole(take_up_all(fleet, begun))


# Guards against a version that is remembered for good.
@pytest.mark.parametrize("fleet", ((OLD, OLD),), indirect=True)
def test_streams_after_a_start_go_on_with_new_versions(fleet):
    restart_all(fleet)
    for _ in range(2):
        fleet.add_engine(NEW)
    for host in fleet.hosts:
        wait_for(lambda: len(host.catalog.upstreams) == 4)
    begun = begin_some(fleet)
    time.sleep(SETTLED_S)
    assert_whole(take_up_all(fleet, begun))
