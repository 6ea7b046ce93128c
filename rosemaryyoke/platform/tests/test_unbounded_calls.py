"""Calls of a host to an engine that answers without end: reports, orders and probes.

Pattern: an engine in trouble sends bytes that are no answer, in a head or a body, until
its connection is closed.
"""

import time

import pytest

from rosemaryyoke.catalog import Catalog, Upstream
from rosemaryyoke.exchanges.connections import ConnectionPool
from rosemaryyoke.fleet import Fleet
from rosemaryyoke.forwarding.reachability import Reachability
from rosemaryyoke.http1 import Address
from rosemaryyoke.platform.tests.test_unbounded_responses import (
    MIB,
    UNBOUNDED_BODIES,
    UNBOUNDED_HEADS,
    fill,
)
from rosemaryyoke.platform.upstream_calls import PlatformEngines
from rosemaryyoke.rollout.messages import OrderOutcome, WeightsOrder
from rosemaryyoke.testing.raw_server import RawServer

FORMS = {**UNBOUNDED_HEADS, **UNBOUNDED_BODIES}
TIMEOUT_S = 2.0
MAX_READ_BYTES = 12 * MIB  # of which all but 256 KB are in socket buffers


@pytest.fixture()
def start_server():
    servers = []

    def start(kind, **options):
        begin, pattern = FORMS[kind]
        servers.append(RawServer(begin([]), fill(pattern), **options))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def make_order(address):
    """Return an order to load weights."""
    return WeightsOrder(
        upstream="e1",
        address=address,
        model="m1",
        version=2,
        holder="h1",
        fencing=1,
        expected_orders=0,
        timeout_s=TIMEOUT_S,
    )


def check_given_up(server, started_s):
    """Check that a call ended in time and read little."""
    assert time.monotonic() - started_s < TIMEOUT_S + 0.5
    assert server.sent_bytes < MAX_READ_BYTES


# Guards against reports that are kept for as long as they come.
@pytest.mark.parametrize("kind", FORMS)
def test_report_without_end_is_given_up(start_server, kind):
    server, started_s = start_server(kind), time.monotonic()
    report = PlatformEngines().report(Address.parse(server.address), TIMEOUT_S)
    assert report.is_err()
    check_given_up(server, started_s)


# Guards against the same in answers to orders, which may have been carried out.
@pytest.mark.parametrize("kind", FORMS)
def test_answer_without_end_leaves_order_unknown(start_server, kind):
    server, started_s = start_server(kind), time.monotonic()
    outcome = PlatformEngines().order(make_order(Address.parse(server.address)))
    # The first of many answers is whole.
    is_whole = kind == "late answers"
    assert outcome is (OrderOutcome.ACCEPTED if is_whole else OrderOutcome.UNKNOWN)
    check_given_up(server, started_s)


# Guards against a probe that reads what an engine sends unasked.
def test_probe_reads_nothing(start_server):
    server = start_server("body", waits=False)
    upstream = Upstream("e1", "llm", Address.parse(server.address), "z1", 1)
    reachability = Reachability(Fleet(Catalog()), ConnectionPool())
    started_s = time.monotonic()
    reachability.connect(upstream)
    assert time.monotonic() - started_s < TIMEOUT_S
    server.thread.join(TIMEOUT_S)
    assert not server.thread.is_alive() and server.sent_bytes < MAX_READ_BYTES
