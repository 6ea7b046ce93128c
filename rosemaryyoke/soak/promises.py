"""The promises, each a check of the ledger that returns what broke it."""

from typing import Callable

from rosemaryyoke.core import Registry
from rosemaryyoke.soak.ledger import STREAM, UNSAFE, Ledger, Ordered, Told

EVENTS = 6
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DENIALS = frozenset({400, 401, 403, 404, 405, 413, 431})
SUCCESS = 200
LEASE_S = 1.0  # of the soak's settings

Check = Callable[[Ledger], list[str]]

promises: Registry[Check] = Registry("promise")


def event_text(request: str, number: int) -> bytes:
    """Return an event as the stand-in engines make it."""
    return b"id: %d\ndata: %s %d\n\n" % (number, request.encode(), number)


def body_text(request: str, upstream: str) -> bytes:
    """Return a body as the stand-in upstreams make it."""
    return f"{request} at {upstream}".encode()


@promises.register("a success is whole, signed, and the request's own")
def check_own_answers(ledger: Ledger) -> list[str]:
    """Compare each success with what the upstream that signed it makes."""
    return [
        f"{told}"
        for told in ledger.told.values()
        if told.status == SUCCESS and not is_own(told)
    ]


def is_own(told: Told) -> bool:
    """Tell whether a success is the request's own, and whole where it says so."""
    if told.request_named != told.request or not told.signed_by:
        return False
    if told.kind == STREAM:
        whole = b"".join(event_text(told.request, n + 1) for n in range(EVENTS))
        return told.body == whole if told.complete else whole.startswith(told.body)
    whole = body_text(told.request, told.signed_by)
    return told.body == whole if told.complete else whole.startswith(told.body)


@promises.register("what may run once runs at most once")
def check_at_most_once(ledger: Ledger) -> list[str]:
    """Find keys that ran twice."""
    return [
        f"{runs}"
        for runs in ledger.ran.values()
        if len(runs) > 1 and runs[0].kind == UNSAFE
    ]


@promises.register("what is said not to have run has not, and will not")
def check_not_run(ledger: Ledger) -> list[str]:
    """Find runs of requests whose answer says that there was none."""
    return [
        f"{told} but {ledger.ran[told.request]}"
        for told in ledger.told.values()
        if told.kind == UNSAFE
        and told.status in NOT_RUN_STATUSES
        and ledger.ran.get(told.request)
    ]


@promises.register("a success has run")
def check_ran(ledger: Ledger) -> list[str]:
    """Find successes without a run at the upstream that signed them."""
    return [
        f"{told}"
        for told in ledger.told.values()
        if told.status == SUCCESS
        and told.signed_by not in {run.upstream for run in ledger.ran[told.request]}
    ]


@promises.register("upstreams learn the account, and never the key")
def check_accounts(ledger: Ledger) -> list[str]:
    """Find runs that bear another account, a key, or a request that nobody sent."""
    return [
        f"{run}"
        for request, runs in ledger.ran.items()
        for run in runs
        if run.key_shown
        or (request in ledger.told and run.account != ledger.told[request].account)
    ]


@promises.register("a proper request is not denied")
def check_denials(ledger: Ledger) -> list[str]:
    """Find proper requests that were answered as improper ones."""
    return [f"{told}" for told in ledger.told.values() if told.status in DENIALS]


@promises.register("a run that goes on begins after what came before it")
def check_resumed(ledger: Ledger) -> list[str]:
    """Find streams that went on at an event which no run before reached."""
    return [
        f"{runs}"
        for runs in ledger.ran.values()
        if runs[0].kind == STREAM and runs[0].first_event != 1
    ]


@promises.register("one holder at a time orders an engine, and versions never fall")
def check_orders(ledger: Ledger) -> list[str]:
    """Compare each engine's orders with those before them."""
    broken = []
    last: dict[str, Ordered] = {}
    for order in ledger.orders:
        before = last.get(order.upstream)
        if before is not None and conflict(before, order):
            broken.append(f"{order} after {before}")
        last[order.upstream] = order
    return broken


def conflict(before: Ordered, order: Ordered) -> bool:
    """Tell whether an order may not follow another at the same engine."""
    if order.version < before.version:
        return True
    if order.excused or order.holder == before.holder:
        return False
    taken_early = order.at_s - before.at_s < LEASE_S
    return taken_early or order.fencing <= before.fencing
