"""The promises, each a check of the ledger that returns what broke it."""

from typing import Callable

from rosemaryyoke.core import Registry
from rosemaryyoke.soak.history import (
    STREAM,
    UNSAFE,
    CallResult,
    History,
    OrderExecution,
)

EVENTS = 6
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REJECTION_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 431})
SUCCESS = 200
LEASE_S = 1.0  # of the soak's settings

Check = Callable[[History], list[str]]

invariants: Registry[Check] = Registry("promise")


def event_text(request: str, number: int) -> bytes:
    """Return an event as the stand-in engines make it."""
    return b"id: %d\ndata: %s %d\n\n" % (number, request.encode(), number)


def body_text(request: str, upstream: str) -> bytes:
    """Return a body as the stand-in upstreams make it."""
    return f"{request} at {upstream}".encode()


@invariants.register("a success is whole, signed, and the request's own")
def check_own_answers(history: History) -> list[str]:
    """Compare each success with what the upstream that signed it makes."""
    return [
        f"{call}"
        for call in history.calls.values()
        if call.status == SUCCESS and not is_own_answer(call)
    ]


def is_own_answer(call: CallResult) -> bool:
    """Tell whether a success is the request's own, and whole where it says so."""
    if call.echoed_request != call.request or not call.signed_by:
        return False
    if call.kind == STREAM:
        whole = b"".join(event_text(call.request, n + 1) for n in range(EVENTS))
        return call.body == whole if call.complete else whole.startswith(call.body)
    whole = body_text(call.request, call.signed_by)
    return call.body == whole if call.complete else whole.startswith(call.body)


@invariants.register("what may run once runs at most once")
def check_at_most_once(history: History) -> list[str]:
    """Find keys that ran twice."""
    return [
        f"{runs}"
        for runs in history.executions.values()
        if len(runs) > 1 and runs[0].kind == UNSAFE
    ]


@invariants.register("what is said not to have run has not, and will not")
def check_not_run(history: History) -> list[str]:
    """Find runs of requests whose answer says that there was none."""
    return [
        f"{call} but {history.executions[call.request]}"
        for call in history.calls.values()
        if call.kind == UNSAFE
        and call.status in NOT_RUN_STATUSES
        and history.executions.get(call.request)
    ]


@invariants.register("a success has run")
def check_success_ran(history: History) -> list[str]:
    """Find successes without a run at the upstream that signed them."""
    return [
        f"{call}"
        for call in history.calls.values()
        if call.status == SUCCESS
        and call.signed_by
        not in {run.upstream for run in history.executions[call.request]}
    ]


@invariants.register("upstreams learn the account, and never the key")
def check_accounts(history: History) -> list[str]:
    """Find runs that bear another account, a key, or a request that nobody sent."""
    return [
        f"{run}"
        for request, runs in history.executions.items()
        for run in runs
        if run.has_authorization
        or (request in history.calls and run.account != history.calls[request].account)
    ]


@invariants.register("a proper request is not denied")
def check_rejections(history: History) -> list[str]:
    """Find proper requests that were answered as improper ones."""
    return [
        f"{call}"
        for call in history.calls.values()
        if call.status in REJECTION_STATUSES
    ]


@invariants.register("a run that goes on begins after what came before it")
def check_resumed(history: History) -> list[str]:
    """Find streams that went on at an event which no run before reached."""
    return [
        f"{runs}"
        for runs in history.executions.values()
        if runs[0].kind == STREAM and runs[0].first_event != 1
    ]


@invariants.register("one holder at a time orders an engine, and versions never fall")
def check_orders(history: History) -> list[str]:
    """Compare each engine's orders with those before them."""
    broken = []
    last: dict[str, OrderExecution] = {}
    for order in history.orders:
        before = last.get(order.upstream)
        if before is not None and orders_conflict(before, order):
            broken.append(f"{order} after {before}")
        last[order.upstream] = order
    return broken


def orders_conflict(before: OrderExecution, order: OrderExecution) -> bool:
    """Tell whether an order may not follow another at the same engine."""
    if order.version < before.version:
        return True
    if order.possibly_delayed or order.holder == before.holder:
        return False
    before_lease_expiry = order.at_s - before.at_s < LEASE_S
    return before_lease_expiry or order.fencing <= before.fencing
