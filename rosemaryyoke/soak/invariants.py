"""Invariants: each checks the history and returns the violations found."""

from typing import Callable

from rosemaryyoke.core import Registry
from rosemaryyoke.platform.standins.simulated_upstreams import (
    CLOSED,
    RESET,
)
from rosemaryyoke.soak.history import (
    STREAM,
    UNSAFE,
    CallResult,
    CutOff,
    Execution,
    History,
    MarkedChange,
    OrderExecution,
)

EVENTS = 12
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REJECTION_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 431})
SUCCESS = 200
LEASE_S = 1.0  # matches the settings of the soak's hosts
STABLE_S = 3.0  # time after an unplanned fault in which requests may be lost
LOSS_SLACK_S = 0.2  # a request not passed on may cross the host's close for this long
CRASHES_BEFORE_BAN = 5
REQUEST_CRASHES_BEFORE_BAN = 3
MAX_LATE_CRASHES = 3
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK = 5  # requests
HOST_DISRUPTIONS = frozenset({"host killed", "host frozen"})
REJECTING_FAULT = "store rejects most hosts"
CUT_OFF_FAULT = "hosts cut off from upstreams"
MAX_FALLS = 2
FALLS_PER_UPSTREAM = 0.1
MIN_COMPARED_CALLS = 20
SERVED_SHARE_OF_OTHERS = 2 / 3
LIMIT_MARGIN_S = 0.1  # hosts end a request this long before its deadline

Check = Callable[[History], list[str]]

invariants: Registry[Check] = Registry("invariant")


def event_text(request: str, number: int) -> bytes:
    """Return an event in the form that the stand-in engines send."""
    return b"id: %d\ndata: %s %d\n\n" % (number, request.encode(), number)


def body_text(request: str, upstream: str) -> bytes:
    """Return a body in the form that the stand-in upstreams send."""
    return f"{request} at {upstream}".encode()


@invariants.register("a success is complete, signed and belongs to its request")
def check_own_answers(history: History) -> list[str]:
    """Compare each success with the answer expected from the signing upstream."""
    return [
        f"{call}"
        for call in history.calls.values()
        if call.status == SUCCESS and not is_own_answer(call)
    ]


def is_own_answer(call: CallResult) -> bool:
    """Return whether a success belongs to its request, and is whole if complete."""
    if call.echoed_request != call.request or not call.signed_by:
        return False
    if call.kind == STREAM:
        expected = b"".join(event_text(call.request, n + 1) for n in range(EVENTS))
        return (
            call.body == expected if call.complete else expected.startswith(call.body)
        )
    expected = body_text(call.request, call.signed_by)
    return call.body == expected if call.complete else expected.startswith(call.body)


@invariants.register("an unsafe request is executed at most once")
def check_at_most_once(history: History) -> list[str]:
    """Find unsafe requests that were executed more than once."""
    return [
        f"{runs}"
        for runs in history.executions.values()
        if len(runs) > 1 and runs[0].kind == UNSAFE
    ]


@invariants.register("a request reported as not run is never executed")
def check_not_run(history: History) -> list[str]:
    """Find executions of unsafe requests whose status says that they did not run."""
    return [
        f"{call} but {history.executions[call.request]}"
        for call in history.calls.values()
        if call.kind == UNSAFE
        and call.status in NOT_RUN_STATUSES
        and history.executions.get(call.request)
    ]


@invariants.register("a success has been executed by its upstream")
def check_success_ran(history: History) -> list[str]:
    """Find successes without an execution at the upstream that signed them."""
    return [
        f"{call}"
        for call in history.calls.values()
        if call.status == SUCCESS
        and call.signed_by
        not in {run.upstream for run in history.executions.get(call.request, [])}
    ]


@invariants.register("upstreams receive the account and never the key")
def check_accounts(history: History) -> list[str]:
    """Find executions with a caller's key, or with another account than the call."""
    return [
        f"{run}"
        for request, runs in history.executions.items()
        for run in runs
        if run.has_authorization
        or (request in history.calls and run.account != history.calls[request].account)
    ]


@invariants.register("a valid request is not rejected")
def check_rejections(history: History) -> list[str]:
    """Find valid requests that were rejected as invalid."""
    return [
        f"{call}"
        for call in history.calls.values()
        if call.status in REJECTION_STATUSES
    ]


@invariants.register("the first execution of a stream starts at its first event")
def check_resumed(history: History) -> list[str]:
    """Find streams whose first execution does not start at event 1."""
    return [
        f"{runs}"
        for runs in history.executions.values()
        if runs[0].kind == STREAM and runs[0].first_event != 1
    ]


@invariants.register("a stream goes on at the software version that began it")
def check_software_versions(history: History) -> list[str]:
    """Find streams that went on at a version that had not run them before."""
    violations = []
    for runs in history.executions.values():
        versions: set[str] = set()
        for run in runs:
            if run.first_event > 1 and run.software not in versions:
                violations.append(f"{runs}")
            versions.add(run.software)
    return violations


@invariants.register(
    "an engine has one order holder at a time and versions never decrease"
)
def check_orders(history: History) -> list[str]:
    """Compare each order with the preceding order to the same engine."""
    violations = []
    last: dict[str, OrderExecution] = {}
    for order in history.orders:
        before = last.get(order.upstream)
        if before is not None and orders_conflict(before, order):
            violations.append(f"{order} after {before}")
        last[order.upstream] = order
    return violations


def orders_conflict(before: OrderExecution, order: OrderExecution) -> bool:
    """Return whether an order must not follow another at the same engine."""
    if order.version < before.version:
        return True
    if order.possibly_delayed or order.holder == before.holder:
        return False
    before_lease_expiry = order.at_s - before.at_s < LEASE_S
    return before_lease_expiry or order.fencing <= before.fencing


@invariants.register("an accepted request is not lost")
def check_not_lost(history: History) -> list[str]:
    """Find requests that a host read and did not answer, without an excuse."""
    return [
        f"{call} executed {history.executions.get(call.request, [])}"
        for call in history.calls.values()
        if is_unanswered(call, history.executions.get(call.request, []))
        and not is_disrupted(call, history)
        and not is_broken_off(call, history)
    ]


def is_unanswered(call: CallResult, runs: list[Execution]) -> bool:
    """Return whether a host read a request and closed without a whole answer.

    A host that closes a connection with unread bytes resets it, so that a reset before
    any answer says that the request, if not executed, was not read.
    """
    if call.ending not in (CLOSED, RESET):
        return False
    if call.wait_s >= call.limit_s - LIMIT_MARGIN_S:
        return False
    if call.status or runs:
        return True
    return call.ending == CLOSED and call.wait_s > LOSS_SLACK_S


def is_disrupted(call: CallResult, history: History) -> bool:
    """Return whether an unplanned fault may have caused the end of a call."""
    return any(
        item.started_s <= call.ended_s and item.ended_s >= call.sent_s - STABLE_S
        for item in history.disruptions
    )


def is_broken_off(call: CallResult, history: History) -> bool:
    """Return whether an upstream that executed a request ended it midway."""
    upstreams = {run.upstream for run in history.executions.get(call.request, [])}
    return any(
        item.upstream in upstreams and call.sent_s <= item.at_s <= call.ended_s
        for item in history.broken_off
    )


@invariants.register("what crashed several upstreams reaches few more")
def check_crashing_parts(history: History) -> list[str]:
    """Find parts and targets that go on to crash upstreams at undisturbed hosts."""
    runs_by_part: dict[str, list[float]] = {}
    for run in history.crashed_runs:
        runs_by_part.setdefault(run.part, []).append(run.at_s)
    violations = []
    for part, times_s in runs_by_part.items():
        before_ban = CRASHES_BEFORE_BAN
        if part.startswith("/"):
            before_ban = REQUEST_CRASHES_BEFORE_BAN
        known_s = sorted(times_s)[:before_ban][-1] + STABLE_S
        late = [
            at_s
            for at_s in times_s
            if at_s > known_s and not is_host_disturbed(at_s, history)
        ]
        if len(late) > MAX_LATE_CRASHES:
            violations.append(f"{part} crashed {len(late)} upstreams more")
    return violations


def is_host_disturbed(at_s: float, history: History) -> bool:
    """Return whether a host was killed or frozen shortly before a moment."""
    return any(
        item.name in HOST_DISRUPTIONS
        and item.started_s <= at_s <= item.ended_s + STABLE_S
        for item in history.disruptions
    )


@invariants.register("an upstream gets no more than the limit that it names")
def check_limits(history: History) -> list[str]:
    """Find windows in which an upstream with a limit ran too many requests.

    Windows begin when all hosts have had time to learn of the limit.
    """
    runs_by_upstream: dict[str, list[float]] = {}
    for runs in history.executions.values():
        for run in runs:
            runs_by_upstream.setdefault(run.upstream, []).append(run.at_s)
    violations = []
    for limit in history.limits:
        allowed = 1.5 * LIMIT_WINDOW_S * limit.limit_per_s + LIMIT_SLACK
        times_s = [
            at_s
            for at_s in runs_by_upstream.get(limit.upstream, ())
            if limit.started_s + STABLE_S <= at_s <= limit.ended_s
            and not is_host_disturbed(at_s, history)
        ]
        most = max((count_in_window(times_s, at_s) for at_s in times_s), default=0)
        if most > allowed:
            violations.append(f"{limit} got {most} requests in {LIMIT_WINDOW_S} s")
    return violations


def count_in_window(times_s: list[float], start_s: float) -> int:
    """Return how many moments are within a window."""
    return sum(start_s <= at_s < start_s + LIMIT_WINDOW_S for at_s in times_s)


@invariants.register("hosts cut off from upstreams serve by way of others")
def check_cut_hosts(history: History) -> list[str]:
    """Compare what cut hosts and the others serve while nothing else is disturbed."""
    violations = []
    for cut in history.cuts:
        calls = [call for call in history.calls.values() if is_in_cut(call, cut)]
        calls = [call for call in calls if not is_disturbed_beside_cuts(call, history)]
        inside = [is_served(call) for call in calls if call.host in cut.hosts]
        others = [is_served(call) for call in calls if call.host not in cut.hosts]
        if min(len(inside), len(others)) < MIN_COMPARED_CALLS:
            continue
        share, usual = sum(inside) / len(inside), sum(others) / len(others)
        if share < SERVED_SHARE_OF_OTHERS * usual:
            violations.append(f"{cut} served {share:.2f}, the others {usual:.2f}")
    return violations


def is_in_cut(call: CallResult, cut: CutOff) -> bool:
    """Return whether a call was made while a cut was known."""
    return cut.started_s + STABLE_S <= call.sent_s and call.ended_s <= cut.ended_s


def is_served(call: CallResult) -> bool:
    """Return whether a call brought a whole answer."""
    return call.status == SUCCESS and call.complete


def is_disturbed_beside_cuts(call: CallResult, history: History) -> bool:
    """Return whether a fault other than a cut may have caused the end of a call."""
    return any(
        item.started_s <= call.ended_s and item.ended_s >= call.sent_s - STABLE_S
        for item in history.disruptions
        if item.name != CUT_OFF_FAULT
    )


@invariants.register("brittle upstreams seldom fall over")
def check_brittle_upstreams(history: History) -> list[str]:
    """Find times in which brittle upstreams fell more often than they may."""
    violations = []
    for item in history.brittle_times:
        falls = [at_s for at_s in item.falls_s if not is_host_disturbed(at_s, history)]
        if len(falls) > MAX_FALLS + FALLS_PER_UPSTREAM * item.upstreams:
            violations.append(f"{item}")
    return violations


@invariants.register("a request begins on cache entries of its own weights alone")
def check_cache_versions(history: History) -> list[str]:
    """Find requests that began on entries of another version of their model."""
    return [f"{use}" for use in history.stale_uses]


@invariants.register("hosts act on changes while the store rejects some of them")
def check_changes(history: History) -> list[str]:
    """Find hosts that lack a route in time, though nothing else was disturbed."""
    return [
        f"{item}"
        for item in history.changes
        if item.late_hosts and not is_disturbed_beside_rejections(item, history)
    ]


def is_disturbed_beside_rejections(change: MarkedChange, history: History) -> bool:
    """Return whether another fault may have caused that a change is late."""
    return any(
        item.started_s <= change.checked_s
        and item.ended_s > change.acknowledged_s - STABLE_S
        for item in history.disruptions
        if item.name != REJECTING_FAULT
    )
