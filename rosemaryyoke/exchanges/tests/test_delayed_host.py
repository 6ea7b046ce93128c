"""Delays of this host are not taken for those of an upstream.

Pattern: a host that is short of processor time, or waits for a slow caller, looks at
its sockets only after a deadline, when the upstream's bytes have long arrived.
"""

import threading
import time
from contextlib import suppress

import pytest

from rosemaryyoke.exchanges.attempt import (
    AttemptFailed,
    ResponseReceived,
    StreamCompleted,
)
from rosemaryyoke.exchanges.tests.builders import (
    RESPONSE,
    STREAM_HEAD,
    Sockets,
    make_attempt,
)
from rosemaryyoke.http1.messages import LAST_CHUNK, encode_chunk

PAST_S = -1.0


@pytest.fixture()
def sockets():
    opened = Sockets()
    yield opened
    opened.close()


# Guards against a failure for a request whose response had arrived.
def test_response_that_is_ready_at_the_deadline_is_delivered(sockets):
    sockets.upstream.sendall(RESPONSE)
    outcome = make_attempt(sockets, left_s=PAST_S).run()
    assert isinstance(outcome, ResponseReceived) and outcome.message.body == b"ok"


# Guards against streams moved or cut although their events had arrived.
def test_event_that_is_ready_is_no_stall(sockets):
    stalls = []
    sockets.upstream.sendall(STREAM_HEAD + encode_chunk(b"id: 1\ndata: x\n\n"))
    attempt = make_attempt(sockets, streams=True)
    attempt.progress_deadline_s = time.monotonic() + PAST_S
    attempt.on_stall = lambda: stalls.append(True) or True
    threading.Timer(0.1, sockets.upstream.sendall, (LAST_CHUNK,)).start()
    outcome = attempt.run()
    assert isinstance(outcome, StreamCompleted) and not stalls


def test_late_response_is_not_awaited_after_the_deadline(sockets):
    outcome = make_attempt(sockets, left_s=0.05).run()
    assert isinstance(outcome, AttemptFailed) and outcome.deadline_exceeded


def flood_with(sockets, data, left_s):
    """Send data without end; return the outcome of the attempt and its duration."""
    sockets.upstream.sendall(STREAM_HEAD)
    stopping = threading.Event()

    def flood():
        with suppress(OSError):
            while not stopping.is_set():
                sockets.upstream.sendall(encode_chunk(data))

    def read_all():
        with suppress(OSError):
            while sockets.caller.recv(65_536):
                pass

    attempt = make_attempt(sockets, streams=True, left_s=left_s)
    for task in (flood, read_all):
        threading.Thread(target=task, daemon=True).start()
    started_s = time.monotonic()
    outcome = attempt.run()
    took_s = time.monotonic() - started_s
    stopping.set()
    return outcome, took_s


def test_flood_of_events_does_not_outlast_the_deadline(sockets):
    outcome, took_s = flood_with(sockets, b"data: x\n\n" * 100, left_s=0.2)
    assert isinstance(outcome, AttemptFailed) and outcome.deadline_exceeded
    assert took_s < 1.0


def test_flood_without_events_ends_before_the_deadline(sockets):
    outcome, took_s = flood_with(sockets, b"x" * 1_000, left_s=5.0)
    assert isinstance(outcome, AttemptFailed) and not outcome.deadline_exceeded
    assert outcome.reason == "an event is too large"
    assert took_s < 1.0
