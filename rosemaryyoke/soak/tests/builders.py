"""Entries of the ledger, for tests."""

from attrs import evolve

from rosemaryyoke.soak.ledger import SAFE, Ledger, Ordered, Ran, Told
from rosemaryyoke.soak.promises import body_text


def make_ledger(told=(), ran=(), orders=()):
    """Return a ledger with entries."""
    ledger = Ledger()
    for item in told:
        ledger.tell(item)
    for item in ran:
        ledger.run(item)
    for item in orders:
        ledger.order(item)
    return ledger


def make_told(request="safe-1", kind=SAFE, **changes):
    """Return what a caller was told: a success of upstream p1."""
    told = Told(
        request,
        kind,
        "front-0",
        sent_s=1.0,
        wait_s=0.1,
        status=200,
        complete=True,
        request_named=request,
        signed_by="p1",
        body=body_text(request, "p1"),
        account="t1",
    )
    return evolve(told, **changes)


def make_ran(request="safe-1", kind=SAFE, **changes):
    """Return a run at upstream p1."""
    ran = Ran(request, "p1", kind, "t1", key_shown=False, first_event=1, at_s=1.0)
    return evolve(ran, **changes)


def make_order(**changes):
    """Return an order at engine e1."""
    order = Ordered("e1", "front-0", fencing=1, version=2, at_s=1.0, excused=False)
    return evolve(order, **changes)
