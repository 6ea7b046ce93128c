"""Limits that upstreams name, divided among hosts without a coordinator."""

import math
import random

import pytest
from attrs import define, field
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.messages import ResponseMetadata
from rosemaryyoke.fleet import Chooser, Fleet
from rosemaryyoke.fleet.rate_limits import (
    ENDED_REPORT_S,
    MIN_SHARING_HOSTS,
    host_share_per_s,
)
from rosemaryyoke.fleet.tests.builders import NOW_S, make_request, make_state

UNLIMITED = ResponseMetadata(b"r1", True, False)
WINDOW_S = 4.0
STEP_S = 0.05


def limited(limit_per_s):
    """Return the metadata of an answer that names a limit."""
    return ResponseMetadata(b"r1", True, False, limit_per_s=limit_per_s)


@define(eq=False)
class Hosts:
    """The fleets of several hosts, each with one engine, on one clock."""

    count: int
    limit_per_s: float
    clock_s: float = NOW_S
    fleets: list[Fleet] = field(factory=list)
    sent_s: list[float] = field(factory=list)

    def __attrs_post_init__(self):
        names = [f"h{number}" for number in range(self.count)]
        for name in names:
            fleet = Fleet(Catalog(), now_s=lambda: self.clock_s)
            fleet.states["e1"] = make_state("e1")
            fleet.update_hosts(name, names)
            self.fleets.append(fleet)

    def limit(self, fleet):
        """Return a host's limit of the engine."""
        return fleet.states["e1"].notices.limit

    def offer(self, fleet):
        """Let a host send a request if it may; the answer names the limit."""
        if self.limit(fleet).wait_s(self.clock_s) > 0:
            return
        self.limit(fleet).consume(self.clock_s)
        self.sent_s.append(self.clock_s)
        fleet.record_notices(
            fleet.states["e1"], limited(self.limit_per_s), self.clock_s
        )

    def run(self, seconds):
        """Offer a request of each host at each step."""
        for _ in range(round(seconds / STEP_S)):
            self.clock_s += STEP_S
            for fleet in random.sample(self.fleets, len(self.fleets)):
                self.offer(fleet)

    def most_in_window(self, since_s):
        """Return the most requests within a window."""
        times_s = [at_s for at_s in self.sent_s if at_s > since_s]
        return max(
            (sum(t <= at_s < t + WINDOW_S for at_s in times_s) for t in times_s),
            default=0,
        )


def allowed(limit_per_s):
    """Return how many requests an upstream may get within a window."""
    return 1.5 * WINDOW_S * limit_per_s + 5


# Guards against hosts whose shares together exceed the limit, whatever its size.
@pytest.mark.parametrize("count", [1, 3, 8, 195])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.25, 1.9, 2.5, 20.0])
def test_hosts_together_keep_the_limit(count, limit_per_s):
    hosts = Hosts(count, limit_per_s)
    hosts.run(STEP_S)
    since_s = hosts.clock_s
    hosts.run(20.0)
    assert hosts.most_in_window(since_s) <= allowed(limit_per_s)
    if limit_per_s:
        assert len(hosts.sent_s) - count >= 0.5 * limit_per_s * 20.0 - 1


# Guards against hosts that count the others differently while some join or fail.
def test_hosts_that_disagree_on_members_keep_the_limit():
    generator = random.Random(3)
    for limit_per_s in (0.25, 2.0, 20.0):
        hosts = Hosts(12, limit_per_s)
        hosts.run(STEP_S)
        since_s = hosts.clock_s
        for _ in range(10):
            for number, fleet in enumerate(hosts.fleets):
                known = {f"h{n}" for n in generator.sample(range(12), 11)}
                fleet.update_hosts(f"h{number}", known)
            hosts.run(1.0)
        assert hosts.most_in_window(since_s) <= allowed(limit_per_s)


def test_huge_limit_hinders_nothing():
    hosts = Hosts(3, 1e9)
    hosts.run(2.0)
    assert len(hosts.sent_s) == 3 * round(2.0 / STEP_S)


def test_small_limit_is_shared_by_few_hosts():
    names = [f"h{number}" for number in range(195)]
    shares = [host_share_per_s(0.25, "e1", name, names) for name in names]
    sharing = [share for share in shares if share]
    assert len(sharing) == MIN_SHARING_HOSTS and math.isclose(sum(sharing), 0.2)


def test_host_without_share_sends_nothing_until_it_hears_of_the_end():
    hosts = Hosts(195, 0.25)
    hosts.run(STEP_S)
    idle = next(item for item in hosts.fleets if not hosts.limit(item).share_per_s)
    active = next(item for item in hosts.fleets if hosts.limit(item).share_per_s)
    assert math.isinf(hosts.limit(idle).wait_s(hosts.clock_s + 1e6))
    hosts.clock_s += 5.0
    active.record_notices(active.states["e1"], UNLIMITED, hosts.clock_s)
    (report,) = active.limit_reports()
    assert report.limit_per_s is None
    idle.record_limits("h9", [report])
    assert hosts.limit(idle).wait_s(hosts.clock_s) == 0.0
    hosts.clock_s += ENDED_REPORT_S + 1.0
    assert not active.limit_reports()


# Guards against an answer that was late on its way and seems to end a newer limit.
def test_answer_to_an_earlier_request_does_not_end_the_limit():
    hosts = Hosts(1, 2.0)
    (fleet,) = hosts.fleets
    state = fleet.states["e1"]
    fleet.record_notices(state, limited(2.0), hosts.clock_s - 0.5)
    fleet.record_notices(state, UNLIMITED, hosts.clock_s - 0.1)
    assert state.notices.limit.limit_per_s == 2.0
    hosts.clock_s += 1.0
    fleet.record_notices(state, UNLIMITED, hosts.clock_s - 0.1)
    assert state.notices.limit.limit_per_s is None


def test_older_report_does_not_restore_an_ended_limit():
    hosts = Hosts(2, 2.0)
    first, second = hosts.fleets
    for fleet in hosts.fleets:
        fleet.record_notices(fleet.states["e1"], limited(2.0), hosts.clock_s)
    reports = second.limit_reports()
    hosts.clock_s += 1.0
    first.record_notices(first.states["e1"], UNLIMITED, hosts.clock_s - 0.1)
    first.record_limits("h1", reports)
    assert hosts.limit(first).limit_per_s is None


# Guards against an allowance that is full again with each change of the limit.
def test_limit_that_changes_with_each_answer_is_kept():
    hosts = Hosts(8, 2.0)
    hosts.run(STEP_S)
    since_s = hosts.clock_s
    for number in range(200):
        hosts.limit_per_s = 2.0 - 0.1 * (number % 2)
        hosts.run(STEP_S)
        for fleet in hosts.fleets:
            fleet.record_limits("h0", hosts.fleets[0].limit_reports())
    assert hosts.most_in_window(since_s) <= allowed(2.0)


def test_malformed_limit_changes_nothing():
    hosts = Hosts(1, 2.0)
    (fleet,) = hosts.fleets
    state = fleet.states["e1"]
    malformed = ResponseMetadata(b"r1", True, False, malformed_limit=b"nan")
    fleet.record_notices(state, malformed, hosts.clock_s)
    assert state.notices.limit.limit_per_s is None
    fleet.record_notices(state, limited(2.0), hosts.clock_s)
    fleet.record_notices(state, malformed, hosts.clock_s + 1.0)
    assert state.notices.limit.limit_per_s == 2.0


def make_limited_states(*limits):
    """Return engines, of which those with a limit have used their allowance."""
    states = []
    for number, limit_per_s in enumerate(limits):
        state = make_state(f"e{number}")
        states.append(state)
        if limit_per_s is not None:
            limit = state.notices.limit
            limit.observe(limit_per_s, NOW_S)
            limit.divide(state.upstream.name, "h1", ("h1",), NOW_S)
            limit.bucket.level = 0.0
    return states


def test_work_goes_elsewhere_before_it_waits():
    states = make_limited_states(2.0, None, 2.0)
    for seed in range(20):
        chooser = Chooser(generator=random.Random(seed))
        chosen = chooser.choose(make_request(), states, set(), NOW_S)
        assert chosen.ok_value.state.upstream.name == "e1"


def test_rejection_tells_when_an_upstream_takes_work_again():
    states = make_limited_states(0.5, 2.0)
    chosen = Chooser().choose(make_request(), states, set(), NOW_S)
    assert isinstance(chosen, Err)
    assert chosen.err_value.message == "every upstream is at its limit"
    wait_s = states[1].notices.wait_s(NOW_S)
    assert 0.0 < chosen.err_value.min_retry_after_s == wait_s < 1.0
    assert not isinstance(
        Chooser().choose(make_request(), states, set(), NOW_S + wait_s + 0.001), Err
    )


def test_limited_upstream_is_no_last_resort():
    states = make_limited_states(2.0, 2.0)
    for state in states:
        state.record_failure(NOW_S)
    assert isinstance(Chooser().choose(make_request(), states, set(), NOW_S), Err)


def test_host_without_share_rejects_with_a_finite_delay():
    (state,) = make_limited_states(0.25)
    others = tuple(f"h{number}" for number in range(195))
    state.notices.limit.divide("e0", "not among them", others, NOW_S)
    chosen = Chooser().choose(make_request(), [state], set(), NOW_S)
    assert 0.0 < chosen.err_value.min_retry_after_s < 2.0
