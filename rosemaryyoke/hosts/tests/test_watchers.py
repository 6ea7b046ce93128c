"""Few hosts read the store, whichever hosts fail or lose it.

Pattern: a large fleet at rest; a store that is down, or that rejects a third of the
hosts; hosts that are cut off from the others.
"""

from collections import Counter

from attrs import evolve

from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.hosts.tests.test_table import make_beacon
from rosemaryyoke.hosts.watchers import (
    FIRST_CHOICES,
    RELAYS_PER_DATA_CENTRE,
    STORE_FAILURE_TTL_S,
    WATCHERS,
    WatcherRoles,
)
from rosemaryyoke.http1 import Address

DATA_CENTRES = 6


def make_hosts(count):
    """Return the states of hosts spread over the data centres."""
    return [
        evolve(
            make_beacon(number, data_centre=f"z{number % DATA_CENTRES}"),
            peer_address=Address(f"10.0.{number % DATA_CENTRES}.{number}", 70),
            store_reachable=True,
        )
        for number in range(count)
    ]


def make_roles(hosts, known=None):
    """Return the roles of all hosts, each of which knows the given states."""
    found = {}
    for host in hosts:
        table = HostTable(host.peer_address, host.host, host.data_centre)
        for other in hosts if known is None else known:
            if other.host != host.host:
                table.update_host(other, 0.0, from_digest=True)
        found[host.host] = WatcherRoles(host.host, host.data_centre, table)
    return found


def watchers(roles, now_s=0.0):
    return {name for name, item in roles.items() if item.is_watcher(now_s)}


def test_watchers_few_in_large_fleet():
    roles = make_roles(make_hosts(195))
    assert len(watchers(roles)) == WATCHERS


def test_polls_are_spread_over_relays():
    hosts = make_hosts(195)
    roles = make_roles(hosts)
    data_centres = {host.host: host.data_centre for host in hosts}
    polled = Counter()
    for name, item in roles.items():
        peers = item.peers_to_poll(0.0)
        assert bool(peers) == (name not in watchers(roles))
        polled.update(peer.host for peer in peers[:1])
        if peers and peers[0].host not in watchers(roles):
            assert peers[0].data_centre == data_centres[name]
    assert len(polled) <= DATA_CENTRES * RELAYS_PER_DATA_CENTRE + WATCHERS
    assert max(polled.values()) <= 195 / DATA_CENTRES


def test_small_fleet_polls_watchers_directly():
    roles = make_roles(make_hosts(9))
    chosen = watchers(roles)
    assert len(chosen) == WATCHERS
    for name in roles.keys() - chosen:
        assert {peer.host for peer in roles[name].peers_to_poll(0.0)} == chosen


def test_watchers_are_replaced_when_store_rejects_hosts():
    hosts = make_hosts(40)
    first = watchers(make_roles(hosts))
    known = [evolve(item, store_reachable=item.host not in first) for item in hosts]
    roles = make_roles(hosts, known)
    for name in first:
        roles[name].record_store_call(False, 0.0)
    assert len(watchers(roles)) == WATCHERS and not watchers(roles) & first


def test_outage_leaves_few_probing_hosts():
    hosts = make_hosts(195)
    roles = make_roles(hosts, [evolve(item, store_reachable=False) for item in hosts])
    for item in roles.values():
        item.record_store_call(False, 0.0)
    assert not watchers(roles)
    probing = [name for name, item in roles.items() if item.is_prober(0.0)]
    assert len(probing) == FIRST_CHOICES
    after_s = STORE_FAILURE_TTL_S + 0.1
    assert all(item.reaches_store(after_s) for item in roles.values())


def test_isolated_host_reads_store():
    (roles,) = make_roles(make_hosts(1)).values()
    assert roles.is_watcher(0.0) and roles.peers_to_poll(0.0) == []


def test_unresponsive_watcher_is_avoided():
    roles = make_roles(make_hosts(9))
    follower = roles[min(roles.keys() - watchers(roles))]
    preferred = follower.peers_to_poll(0.0)[0].host
    follower.record_poll_failure(preferred, refused=False, now_s=0.0)
    assert preferred not in {peer.host for peer in follower.peers_to_poll(1.0)}
    follower.record_poll_failure(preferred, refused=True, now_s=0.0)
    assert preferred in {peer.host for peer in follower.peers_to_poll(1.0)}
