"""Membership over real loopback links: late starts, separate rings, partitions."""

import time

import pytest

from rosemaryyoke.bench.spread import Node
from rosemaryyoke.core import Kernel, Metrics, PoolService, TimerService
from rosemaryyoke.membership import FAILED, SUSPECT
from rosemaryyoke.testing.builders import free_port

WAIT_S = 30.0


@pytest.fixture()
def make_node():
    pool = PoolService()
    shared = Kernel()
    shared.add("metrics", Metrics())
    shared.add("pool", pool)
    shared.add("timer", TimerService(pool.executor))
    shared.start()
    nodes = []

    def make(name, port, seeds):
        nodes.append(Node(name, port, seeds, shared))
        nodes[-1].start()
        return nodes[-1]

    yield make
    for node in nodes:
        node.links.stop()
        node.peers.stop()
    shared.stop()


def wait_for(condition):
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def knows_live(node, *names):
    live = {member.name for member in node.table.all() if member.live}
    return live >= set(names)


def test_seed_that_starts_late_is_joined(make_node):
    ports = [free_port() for _ in range(3)]
    seeds = [f"127.0.0.1:{port}" for port in ports]
    early = make_node("early", ports[0], seeds)
    time.sleep(0.5)
    late = make_node("late", ports[1], [])
    wait_for(lambda: knows_live(early, "late") and knows_live(late, "early"))


def test_separate_rings_merge(make_node):
    ports = [free_port() for _ in range(4)]
    seeds = [f"127.0.0.1:{port}" for port in ports]
    left = [make_node(f"left{n}", ports[n], [seeds[0]]) for n in (0, 1)]
    right = [make_node(f"right{n}", ports[n + 2], [seeds[2]]) for n in (0, 1)]
    wait_for(lambda: knows_live(left[1], "left0") and knows_live(right[1], "right0"))
    bridge = make_node("bridge", free_port(), [seeds[1], seeds[3]])
    names = ("left0", "left1", "right0", "right1", "bridge")
    nodes = (*left, *right, bridge)
    wait_for(lambda: all(knows_live(node, *names) for node in nodes))


def test_mutually_failed_hosts_rejoin(make_node):
    ports = [free_port(), free_port()]
    one = make_node("one", ports[0], [])
    other = make_node("other", ports[1], [f"127.0.0.1:{ports[0]}"])
    wait_for(lambda: knows_live(one, "other") and knows_live(other, "one"))
    one.table.mark("other", FAILED)
    other.table.mark("one", FAILED)
    wait_for(lambda: knows_live(one, "other") and knows_live(other, "one"))


def test_false_suspicion_is_refuted(make_node):
    ports = [free_port(), free_port()]
    one = make_node("one", ports[0], [])
    make_node("other", ports[1], [f"127.0.0.1:{ports[0]}"])
    wait_for(lambda: knows_live(one, "other"))
    one.links.suspect("other", "test")
    assert one.table.members["other"].standing == SUSPECT
    wait_for(lambda: knows_live(one, "other"))


def test_stopped_host_is_marked_failed(make_node):
    ports = [free_port(), free_port()]
    one = make_node("one", ports[0], [])
    other = make_node("other", ports[1], [f"127.0.0.1:{ports[0]}"])
    wait_for(lambda: knows_live(one, "other") and knows_live(other, "one"))
    other.links.stop()
    other.peers.stop()
    other.links.maintain_links = lambda: None
    wait_for(lambda: one.table.members["other"].standing == FAILED)
