"""Builders of history entries for tests."""

from attrs import evolve

from rosemaryyoke.soak.history import (
    SAFE,
    CallResult,
    Execution,
    History,
    OrderExecution,
)
from rosemaryyoke.soak.invariants import body_text


def make_history(calls=(), executions=(), orders=()):
    """Return a history with the given entries."""
    history = History()
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
    )
    return evolve(call, **changes)


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
