"""Which host requests are forwarded to, without a network."""

import time
from collections import Counter

from attrs import evolve

from rosemaryyoke.fleet import service_key
from rosemaryyoke.forwarding.hosts import ForwardingHosts
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.http1 import Address

LLM = frozenset([service_key("llm")])
SERVICES = ("llm",)
DRAWS = 400


def make_hosts(*changes):
    """Return the forwarding hosts of one that knows others with some changes."""
    table = HostTable(Address("10.0.0.1", 1), "h0", "z1")
    hosts = ForwardingHosts(table)
    for number, change in enumerate(changes, 1):
        address = Address(f"10.0.1.{number}", 1000)
        host = HostState(f"h{number}", 1, 1, address, address, "z1", ready=True)
        table.update_host(evolve(host, **change), time.monotonic(), from_digest=False)
    return hosts


def draw(hosts, **options):
    """Return how often each host is chosen."""
    arguments = {"services": SERVICES, "configuration": 0, "excluded": ()} | options
    chosen = [hosts.choose(**arguments) for _ in range(DRAWS)]
    return Counter(state.upstream.name for state in chosen if state is not None)


def test_only_hosts_that_reach_the_service_and_serve_are_chosen():
    changes = [{"unreachable": LLM}, {"leaving": True}, {"ready": False}, {}]
    assert set(draw(make_hosts(*changes))) == {"h4"}
    assert not draw(make_hosts(*changes[:3]))


def test_hosts_that_do_not_reach_another_service_are_chosen():
    other = frozenset([service_key("records")])
    assert set(draw(make_hosts({"unreachable": other}))) == {"h1"}


def test_hosts_of_the_same_data_centre_are_preferred():
    hosts = make_hosts({}, {"data_centre": "z2"}, {"data_centre": "z2"})
    assert set(draw(hosts)) == {"h1"}


def test_few_hosts_do_not_bear_their_whole_data_centre():
    cut = {"unreachable": LLM}
    away = {"data_centre": "z2"}
    counts = draw(make_hosts(cut, cut, {}, away, away, away))
    assert set(counts) == {"h3", "h4", "h5", "h6"}
    assert counts["h3"] < DRAWS / 2


def test_hosts_with_an_older_configuration_are_the_last_choice():
    hosts = make_hosts({"configuration": 4}, {"configuration": 5})
    assert set(draw(hosts, configuration=5)) == {"h2"}
    assert set(draw(hosts, configuration=6)) == {"h1", "h2"}


def test_requests_spread_over_195_hosts_by_what_is_under_way():
    hosts = make_hosts(*({} for _ in range(194)))
    for _ in range(DRAWS):
        hosts.begin(hosts.choose(SERVICES, 0, ()))
    assert max(len(state.under_way) for state in hosts.states.values()) <= 6


def test_host_that_failed_is_left_alone_for_a_time():
    hosts = make_hosts({}, {})
    hosts.choose(SERVICES, 0, ())
    hosts.states["h1"].suspect_until_s = time.monotonic() + 5.0
    assert set(draw(hosts)) == {"h2"}
