"""Each invariant reports a history that violates it, and accepts one that does not."""

import pytest
from attrs import evolve

from rosemaryyoke.platform.standins.caching_engines import (
    CachedPart,
    CacheKey,
    StaleUse,
)
from rosemaryyoke.platform.standins.simulated_upstreams import (
    ABANDONED,
    NOT_CONNECTED,
    RESET,
)
from rosemaryyoke.soak.history import (
    STREAM,
    UNSAFE,
    BrittleTime,
    CutOff,
    Disruption,
    MarkedChange,
    NamedLimit,
)
from rosemaryyoke.soak.invariants import (
    EVENTS,
    REJECTING_FAULT,
    check_changes,
    event_text,
    invariants,
)
from rosemaryyoke.soak.tests.builders import (
    make_broken_off,
    make_call,
    make_compared_calls,
    make_crashed_runs,
    make_cut_call,
    make_disruption,
    make_execution,
    make_history,
    make_order,
    make_unanswered_call,
)

OWN = "a success is complete, signed and belongs to its request"
ONCE = "an unsafe request is executed at most once"
NOT_RUN = "a request reported as not run is never executed"
RAN = "a success has been executed by its upstream"
ACCOUNT = "upstreams receive the account and never the key"
REJECTED = "a valid request is not rejected"
RESUMED = "the first execution of a stream starts at its first event"
VERSIONS = "a stream goes on at the software version that began it"
ORDERS = "an engine has one order holder at a time and versions never decrease"
CRASHING = "what crashed several upstreams reaches few more"
LIMIT = "an upstream gets no more than the limit that it names"
LOST = "an accepted request is not lost"
CUT = "hosts cut off from upstreams serve by way of others"
BRITTLE = "brittle upstreams seldom fall over"
STALE = "a request begins on cache entries of its own weights alone"
CHANGES = "hosts act on changes while the store rejects some of them"
LATE_CHANGE = MarkedChange("marked-0", 5.0, 7.0, ["front-1"])
STALE_USE = StaleUse(
    b"stream-1", "e1", 2, CacheKey(b"s:1", b"m1", "aa"), CachedPart("e2", 1)
)
THREE_FALLS_S = [5.0, 6.0, 7.0]
CUT_HOST = CutOff(["front-0"], 1.0, 9.0)


def make_executions(times_s):
    return [make_execution(f"safe-{at_s}", at_s=at_s) for at_s in times_s]


FIVE_S = [1.0, 1.1, 1.2, 1.3, 2.0]
LATE_S = [5.1, 8.1, 8.2, 8.3]


def make_stream_call(*numbers):
    body = b"".join(event_text("stream-1", number) for number in numbers)
    return make_call("stream-1", STREAM, body=body)


def make_complete_stream_call():
    return make_stream_call(*range(1, EVENTS + 1))


def make_unsafe_call(**changes):
    return make_call("unsafe-1", UNSAFE, **changes)


VIOLATIONS = [
    (OWN, make_history([make_call(body=b"safe-2 at p1")])),
    (OWN, make_history([make_call(echoed_request="safe-2")])),
    (OWN, make_history([make_call(signed_by="")])),
    (OWN, make_history([make_stream_call(1, 2, 3)])),
    (OWN, make_history([make_stream_call(1, 2, *range(2, EVENTS + 1))])),
    (ONCE, make_history(executions=[make_execution("unsafe-1", UNSAFE)] * 2)),
    (
        NOT_RUN,
        make_history(
            [make_unsafe_call(status=503)], [make_execution("unsafe-1", UNSAFE)]
        ),
    ),
    (RAN, make_history([make_call()])),
    (RAN, make_history([make_call()], [make_execution(upstream="p2")])),
    (ACCOUNT, make_history([make_call()], [make_execution(account="t2")])),
    (ACCOUNT, make_history(executions=[make_execution(has_authorization=True)])),
    (REJECTED, make_history([make_call(status=404)])),
    (
        RESUMED,
        make_history(executions=[make_execution("stream-1", STREAM, first_event=3)]),
    ),
    (ORDERS, make_history(orders=[make_order(version=3), make_order(version=2)])),
    (ORDERS, make_history(orders=[make_order(), make_order(holder="b", at_s=1.5)])),
    (
        ORDERS,
        make_history(orders=[make_order(), make_order(holder="b", at_s=9.0)]),
    ),
    (LOST, make_history([make_cut_call()])),
    (LOST, make_history([make_cut_call(ending=RESET)])),
    (LOST, make_history([make_unanswered_call()], [make_execution()])),
    (LOST, make_history([make_unanswered_call(ending=RESET)], [make_execution()])),
    (LOST, make_history([make_unanswered_call(wait_s=0.3)])),
    (
        LOST,
        make_history([make_cut_call(sent_s=9.0)], disruptions=[make_disruption(1, 5)]),
    ),
    (LOST, make_history([make_cut_call()], disruptions=[make_disruption(2, 5)])),
    (
        LOST,
        make_history(
            [make_cut_call()],
            [make_execution("stream-1", STREAM)],
            broken_off=[make_broken_off("p2"), make_broken_off(at_s=0.9)],
        ),
    ),
    (CRASHING, make_history(crashed_runs=make_crashed_runs(FIVE_S + LATE_S))),
    (
        VERSIONS,
        make_history(
            executions=[
                make_execution(kind=STREAM),
                make_execution(kind=STREAM, first_event=3, software="v2"),
            ]
        ),
    ),
    (
        CRASHING,
        make_history(crashed_runs=make_crashed_runs(FIVE_S[:3] + LATE_S, "/read/1")),
    ),
    (
        LIMIT,
        make_history(
            executions=make_executions([4.0 + 0.5 * n for n in range(9)]),
            limits=[NamedLimit("p1", 0.25, 0.5)],
        ),
    ),
    (
        LIMIT,
        make_history(
            executions=make_executions([9.0] * 9),
            limits=[NamedLimit("p1", 0.5, 0.5, 9.5)],
            disruptions=[make_disruption(1.0, 5.0)],
        ),
    ),
    (
        CRASHING,
        make_history(
            crashed_runs=make_crashed_runs(FIVE_S + LATE_S),
            disruptions=[make_disruption(0.0, 2.0)],
        ),
    ),
    (CUT, make_history(make_compared_calls(failed=8), cuts=[CUT_HOST])),
    (BRITTLE, make_history(brittle_times=[BrittleTime(2, 1.0, 9.0, THREE_FALLS_S)])),
    (STALE, make_history(stale_uses=[STALE_USE])),
    (CHANGES, make_history(changes=[LATE_CHANGE])),
]

VALID_HISTORY = make_history(
    [
        make_call(),
        make_complete_stream_call(),
        make_unsafe_call(),
        make_call("unsafe-2", UNSAFE, status=502),
    ],
    [
        make_execution(),
        make_execution("stream-1", STREAM),
        make_execution("stream-1", STREAM, first_event=3),
        make_execution("unsafe-1", UNSAFE),
        make_execution("unsafe-2", UNSAFE),
    ],
    [
        make_order(),
        make_order(holder="b", fencing=2, at_s=2.5),
        make_order(holder="c", fencing=2, at_s=2.6, possibly_delayed=True),
    ],
    crashed_runs=make_crashed_runs(FIVE_S + [4.9] * 9 + LATE_S[1:])
    + make_crashed_runs([9.0] * 4, "other"),
    limits=[NamedLimit("p1", 0.0, 0.5), NamedLimit("p2", 2.0, 0.0)],
)


@pytest.mark.parametrize("invariant, history", VIOLATIONS)
def test_violation_is_reported(invariant, history):
    assert invariants.get(invariant)(history.copy())


@pytest.mark.parametrize("invariant", invariants.names())
def test_valid_history_is_accepted(invariant):
    assert not invariants.get(invariant)(VALID_HISTORY.copy())


def test_every_invariant_has_a_violation_case():
    assert {invariant for invariant, _ in VIOLATIONS} == set(invariants.names())


def test_truncated_answer_marked_incomplete_is_no_violation():
    cut = make_cut_call(body=event_text("stream-1", 1))
    assert not invariants.get(OWN)(make_history([cut]))


@pytest.mark.parametrize(
    "call",
    [
        make_call(status=503),
        make_cut_call(wait_s=2.95),
        make_unanswered_call(wait_s=0.1),
        make_unanswered_call(ending=RESET, wait_s=0.5),
        make_unanswered_call(ending=NOT_CONNECTED, wait_s=0.5),
        make_cut_call(ending=ABANDONED, wait_s=5.0),
    ],
)
def test_refused_expired_or_unread_request_is_not_lost(call):
    assert not invariants.get(LOST)(make_history([call]))


@pytest.mark.parametrize("bounds", [(0.0, 0.5), (1.05, 2.0), (0.0, 9.0)])
def test_request_near_an_unplanned_fault_is_not_lost(bounds):
    history = make_history([make_cut_call()], disruptions=[make_disruption(*bounds)])
    assert not invariants.get(LOST)(history)


def test_request_that_its_upstream_broke_off_is_not_lost():
    history = make_history(
        [make_cut_call()],
        [make_execution("stream-1", STREAM)],
        broken_off=[make_broken_off()],
    )
    assert not invariants.get(LOST)(history)


def test_crash_near_a_killed_host_is_excused():
    history = make_history(
        crashed_runs=make_crashed_runs(FIVE_S + LATE_S),
        disruptions=[make_disruption(4.0, 5.5)],
    )
    assert not invariants.get(CRASHING)(history)


def test_limit_that_has_ended_or_a_killed_host_excuses():
    executions = make_executions([9.0 + 0.01 * n for n in range(20)])
    ended = NamedLimit("p1", 1.0, 0.5, 8.9)
    assert not invariants.get(LIMIT)(
        make_history(executions=executions, limits=[ended])
    )
    history = make_history(
        executions=executions,
        limits=[NamedLimit("p1", 1.0, 0.5)],
        disruptions=[make_disruption(5.0, 6.5)],
    )
    assert not invariants.get(LIMIT)(history)


@pytest.mark.parametrize(
    "history",
    [
        make_history(make_compared_calls(failed=6), cuts=[CUT_HOST]),
        make_history(
            make_compared_calls(failed=20), cuts=[evolve(CUT_HOST, ended_s=5)]
        ),
        make_history(
            make_compared_calls(failed=20),
            cuts=[CUT_HOST],
            disruptions=[make_disruption(1.0, 3.0)],
        ),
    ],
)
def test_cut_host_that_serves_or_is_disturbed_is_no_violation(history):
    assert not invariants.get(CUT)(history)


def test_few_falls_of_brittle_upstreams_or_some_near_a_killed_host_are_allowed():
    few = make_history(brittle_times=[BrittleTime(2, 1.0, 9.0, THREE_FALLS_S[:2])])
    assert not invariants.get(BRITTLE)(few)
    excused = make_history(
        brittle_times=[BrittleTime(2, 1.0, 9.0, THREE_FALLS_S)],
        disruptions=[make_disruption(4.0, 4.5)],
    )
    assert not invariants.get(BRITTLE)(excused)


def test_late_change_is_a_violation_unless_another_fault_disturbs_it():
    rejecting = Disruption(REJECTING_FAULT, 4.9, 8.0)
    assert check_changes(make_history(changes=[LATE_CHANGE], disruptions=[rejecting]))
    assert not check_changes(make_history(changes=[MarkedChange("marked-0", 5.0, 7.0)]))
    frozen = Disruption("host frozen", 1.0, 2.5)
    history = make_history(changes=[LATE_CHANGE], disruptions=[rejecting, frozen])
    assert not check_changes(history)
