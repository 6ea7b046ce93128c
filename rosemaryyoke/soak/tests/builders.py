"""Builders of history entries for tests."""

from attrs import evolve

from rosemaryyoke.platform.standins.simulated_upstreams import CLOSED, COMPLETE
from rosemaryyoke.soak.history import (
    SAFE,
    STREAM,
    BrokenOff,
    CallResult,
    CrashedRun,
    Disruption,
    Execution,
    History,
    OrderExecution,
)
from rosemaryyoke.soak.invariants import MIN_COMPARED_CALLS, body_text


def make_history(
    calls=(),
    executions=(),
    orders=(),
    disruptions=(),
    broken_off=(),
    crashed_runs=(),
    limits=(),
    cuts=(),
    brittle_times=(),
    stale_uses=(),
    changes=(),
):
    """Return a history with the given entries."""
    history = History(
        disruptions=list(disruptions),
        broken_off=list(broken_off),
        crashed_runs=list(crashed_runs),
        limits=list(limits),
        cuts=list(cuts),
        brittle_times=list(brittle_times),
        stale_uses=list(stale_uses),
        changes=list(changes),
    )
    for item in calls:
        history.record_call(item)
    for item in executions:
        history.record_execution(item)
    for item in orders:
        history.record_order(item)
    return history


def make_call(request="safe-1", kind=SAFE, **changes):
    """Return the result of a call that upstream p1 answered with a success."""
    call = CallResult(
        request,
        kind,
        "front-0",
        sent_s=1.0,
        wait_s=0.1,
        status=200,
        complete=True,
        echoed_request=request,
        signed_by="p1",
        body=body_text(request, "p1"),
        account="t1",
        ending=COMPLETE,
        limit_s=3.0,
    )
    return evolve(call, **changes)


def make_cut_call(request="stream-1", kind=STREAM, **changes):
    """Return the result of a call whose connection closed after the answer's head."""
    cut = {"body": b"", "complete": False, "ending": CLOSED, **changes}
    return make_call(request, kind, **cut)


def make_unanswered_call(request="safe-1", kind=SAFE, **changes):
    """Return the result of a call whose connection closed without any answer."""
    none = {"status": 0, "echoed_request": "", "signed_by": "", **changes}
    return make_cut_call(request, kind, **none)


def make_execution(request="safe-1", kind=SAFE, **changes):
    """Return an execution at upstream p1."""
    execution = Execution(
        request, "p1", kind, "t1", has_authorization=False, first_event=1, at_s=1.0
    )
    return evolve(execution, **changes)


def make_order(**changes):
    """Return an order at engine e1."""
    order = OrderExecution(
        "e1", "front-0", fencing=1, version=2, at_s=1.0, possibly_delayed=False
    )
    return evolve(order, **changes)


def make_disruption(started_s, ended_s):
    """Return an unplanned fault."""
    return Disruption("host killed", started_s, ended_s)


def make_broken_off(upstream="p1", at_s=1.1):
    """Return the entry of an upstream that ended its executions."""
    return BrokenOff(upstream, at_s)


def make_crashed_runs(times_s, part="bad"):
    """Return runs that crashed upstreams at some times because of one part."""
    return [CrashedRun(part, f"e{n}", at_s) for n, at_s in enumerate(times_s)]


def make_compared_calls(failed):
    """Return calls at a cut host, of which some failed, and as many at another one."""
    calls = [
        make_call(f"safe-{number}", sent_s=5.0, status=503 if number < failed else 200)
        for number in range(MIN_COMPARED_CALLS)
    ]
    others = [evolve(call, host="front-1", status=200) for call in calls]
    return calls + [evolve(call, request=f"{call.request}b") for call in others]
