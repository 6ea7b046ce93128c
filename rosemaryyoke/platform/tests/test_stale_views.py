"""Streams that callers resume at a host whose view of the store is old."""

import time

import pytest

from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import make_configuration
from rosemaryyoke.platform.standins.servers import StoreStandin
from rosemaryyoke.platform.tests.deployment import start_host, wait_for
from rosemaryyoke.platform.tests.store_links import CUT, SILENT_WATCHES, StoreLink
from rosemaryyoke.platform.tests.test_software_versions import (
    LEARNED_S,
    NEW,
    OLD,
    TAKE_UPS,
    MixedFleet,
    assert_whole,
    count_mixed,
)

REJECTED_WITHIN_S = 0.5
GOES_ON_WITHIN_S = 0.25
RECOVERED_WITHIN_S = 4.0
HOSTS = 5  # more than read the store
CONFIGURATION_IN_FORCE_S = 2.0


@pytest.fixture()
def fleet():
    fleet = MixedFleet(refuses=False)
    fleet.start((OLD, OLD))
    yield fleet
    fleet.stop()


@pytest.fixture()
def link(fleet):
    link = StoreLink(fleet.store)
    yield link
    link.stop()


def add_isolated_host(fleet, link, trouble):
    """Start a host that knows no other one; the trouble begins before it finds any."""
    host = start_host(link)
    fleet.hosts.append(host)
    wait_for(host.is_ready)
    wait_for(lambda: len(host.catalog.upstreams) == fleet.registered())
    wait_for(lambda: host.version_register.stored is not None)
    link.trouble = trouble
    assert not host.table.live_peers(time.monotonic())
    return host


def add_new_engines(fleet, count=2):
    """Start engines of the new version, and wait until the first two hosts know."""
    for _ in range(count):
        fleet.add_engine(NEW)
    for host in fleet.hosts[:2]:
        wait_for(lambda: len(host.catalog.upstreams) == fleet.registered())


# Guards against streams that go on at the only version known from before a cut, and of
# a watch that the store no longer answers.
@pytest.mark.parametrize("trouble", (CUT, SILENT_WATCHES))
def test_stream_goes_on_at_no_other_version_at_a_host_with_an_old_view(
    fleet, link, trouble
):
    add_isolated_host(fleet, link, trouble)
    add_new_engines(fleet)
    time.sleep(LEARNED_S)
    begun = [fleet.begin() for _ in range(TAKE_UPS)]
    results = [fleet.take_up(item, 2) for item in begun]
    assert count_mixed(results) == 0
    assert {status for status, _ in results} <= {200, 503}


# Guards against callers that wait, or begin anew, where another host serves them.
def test_stream_is_rejected_at_once_for_another_host(fleet, link):
    host = add_isolated_host(fleet, link, CUT)
    wait_for(lambda: not host.catalog.is_fresh(), 8.0)
    request, _ = fleet.begin()
    started_s = time.monotonic()
    answer = fleet.send(2, **{"Last-Event-Id": "2", "Resumes": request})
    assert time.monotonic() - started_s < REJECTED_WITHIN_S
    assert answer.status == 503
    assert float(find_header(answer.headers, b"retry-after")) < REJECTED_WITHIN_S
    assert fleet.take_up((request, [OLD] * 2), 1)[0] == 200


# Guards against sound streams that wait for the store at hosts in touch with it.
def test_streams_of_the_only_version_go_on_soon(fleet):
    begun = [fleet.begin() for _ in range(TAKE_UPS)]
    fleet.hosts.pop(0).kernel.stop()
    results, durations = [], []
    for item in begun:
        started_s = time.monotonic()
        results.append(fleet.take_up(item, 0))
        durations.append(time.monotonic() - started_s)
    print(f"taken up within {max(durations):.3f} s")
    assert_whole(results)
    assert max(durations) < GOES_ON_WITHIN_S


# Guards against a host that knows as much as the host whose state it started on.
def test_host_that_started_without_the_store_takes_streams_once_it_answers(fleet, link):
    link.trouble = CUT
    host = start_host(link, [item.settings.peers for item in fleet.hosts])
    fleet.hosts.append(host)
    wait_for(host.is_ready, 10.0)
    unknown = {"Last-Event-Id": "2", "Resumes": "unknown"}
    assert fleet.send(2, **unknown).status == 503
    link.trouble = None
    started_s = time.monotonic()
    wait_for(lambda: fleet.send(2, **unknown).status == 200, RECOVERED_WITHIN_S)
    print(f"taken up {time.monotonic() - started_s:.1f} s after the store answered")


@pytest.fixture()
def links():
    store = StoreStandin()
    store.set("config", "main", make_configuration(1))
    links = [StoreLink(store) for _ in range(HOSTS)]
    yield links
    for part in (*links, store):
        part.stop()


# Guards against hosts that poll one which the store no longer answers, and which does
# not know yet: they keep the older configuration, and keys that were revoked.
def test_configuration_is_in_force_behind_a_silent_watcher(links):
    hosts = []
    for link in links:
        hosts.append(start_host(link, [host.settings.peers for host in hosts]))
    for host in hosts:
        wait_for(host.is_ready, 10.0)
        wait_for(lambda: len(host.table.live_peers(time.monotonic())) == HOSTS - 1)
    wait_for(lambda: sum(host.relay.client is not None for host in hosts) == HOSTS - 3)
    polled = {host.relay.client.address for host in hosts if host.relay.client}
    time.sleep(LEARNED_S)
    for host, link in zip(hosts, links):
        if host.settings.peers in polled:
            link.trouble = CUT
    assert 0 < sum(link.trouble is not None for link in links) < HOSTS
    started_s = time.monotonic()
    links[0].store.set("config", "main", make_configuration(2))
    wait_for(
        lambda: all(host.catalog.configuration.version == 2 for host in hosts),
        CONFIGURATION_IN_FORCE_S,
    )
    print(f"in force after {time.monotonic() - started_s:.2f} s")
    for host in hosts:
        host.kernel.stop()
