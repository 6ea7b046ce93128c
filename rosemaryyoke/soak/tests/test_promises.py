"""Each promise finds what breaks it, and nothing in what keeps it."""

import pytest

from rosemaryyoke.soak.ledger import STREAM, UNSAFE
from rosemaryyoke.soak.promises import EVENTS, event_text, promises
from rosemaryyoke.soak.tests.builders import (
    make_ledger,
    make_order,
    make_ran,
    make_told,
)

OWN = "a success is whole, signed, and the request's own"
ONCE = "what may run once runs at most once"
NOT_RUN = "what is said not to have run has not, and will not"
RAN = "a success has run"
ACCOUNT = "upstreams learn the account, and never the key"
DENIED = "a proper request is not denied"
RESUMED = "a run that goes on begins after what came before it"
ORDERS = "one holder at a time orders an engine, and versions never fall"


def stream_of(*numbers):
    body = b"".join(event_text("stream-1", number) for number in numbers)
    return make_told("stream-1", STREAM, body=body)


def whole_stream():
    return stream_of(*range(1, EVENTS + 1))


def unsafe(**changes):
    return make_told("unsafe-1", UNSAFE, **changes)


BROKEN = [
    (OWN, make_ledger([make_told(body=b"safe-2 at p1")])),
    (OWN, make_ledger([make_told(request_named="safe-2")])),
    (OWN, make_ledger([make_told(signed_by="")])),
    (OWN, make_ledger([stream_of(1, 2, 3)])),
    (OWN, make_ledger([stream_of(1, 2, 2, 3, 4, 5, 6)])),
    (ONCE, make_ledger(ran=[make_ran("unsafe-1", UNSAFE)] * 2)),
    (
        NOT_RUN,
        make_ledger([unsafe(status=503)], [make_ran("unsafe-1", UNSAFE)]),
    ),
    (RAN, make_ledger([make_told()])),
    (RAN, make_ledger([make_told()], [make_ran(upstream="p2")])),
    (ACCOUNT, make_ledger([make_told()], [make_ran(account="t2")])),
    (ACCOUNT, make_ledger(ran=[make_ran(key_shown=True)])),
    (DENIED, make_ledger([make_told(status=404)])),
    (RESUMED, make_ledger(ran=[make_ran("stream-1", STREAM, first_event=3)])),
    (ORDERS, make_ledger(orders=[make_order(version=3), make_order(version=2)])),
    (ORDERS, make_ledger(orders=[make_order(), make_order(holder="b", at_s=1.5)])),
    (
        ORDERS,
        make_ledger(orders=[make_order(), make_order(holder="b", at_s=9.0)]),
    ),
]

KEPT = make_ledger(
    [make_told(), whole_stream(), unsafe(), make_told("unsafe-2", UNSAFE, status=502)],
    [
        make_ran(),
        make_ran("stream-1", STREAM),
        make_ran("stream-1", STREAM, first_event=3),
        make_ran("unsafe-1", UNSAFE),
        make_ran("unsafe-2", UNSAFE),
    ],
    [
        make_order(),
        make_order(holder="b", fencing=2, at_s=2.5),
        make_order(holder="c", fencing=2, at_s=2.6, excused=True),
    ],
)


@pytest.mark.parametrize("promise, ledger", BROKEN)
def test_promise_broken(promise, ledger):
    assert promises.get(promise)(ledger)


@pytest.mark.parametrize("promise", promises.names())
def test_promise_kept(promise):
    assert not promises.get(promise)(KEPT)


def test_promise_every_one_is_shown_broken():
    assert {promise for promise, _ in BROKEN} == set(promises.names())


def test_answer_that_breaks_off_early_breaks_nothing_if_it_says_so():
    cut = make_told("stream-1", STREAM, body=event_text("stream-1", 1), complete=False)
    assert not promises.get(OWN)(make_ledger([cut]))
