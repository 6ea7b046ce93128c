"""Streams whose upstream sends bytes now and then, but no whole event."""

import time

import pytest

from rosemaryyoke.platform.tests.deployment import script_all

RESUMED_WITHIN_S = 2.0  # callers leave a stream after two seconds without an event
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
LONG = {"Deadline-Ms": "6000"}


def trickle(whole_events):
    """Return a step that sends events, then a byte now and then."""

    def step(engine, message, caller):
        head = caller.begin_stream(200, b"OK", engine.headers(message))
        caller.write_events(head, EVENTS if whole_events else b"id: 1\nda")
        until_s = time.monotonic() + 4.0
        while time.monotonic() < until_s:
            time.sleep(0.2)
            caller.write_events(b"", b"x" if whole_events else b"a")
        raise OSError("given up")

    return step


# Guards against a stalled stream that never ends since a byte comes now and then.
@pytest.mark.parametrize("whole_events", (True, False))
def test_stream_that_trickles_goes_on_at_another_upstream(deployment, whole_events):
    script_all(deployment.engines, trickle(whole_events), 200)
    started_s = time.monotonic()
    answer = deployment.stream(**LONG).responses[0]
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id")]
    assert answer.complete and len(ids) == 5
    assert time.monotonic() - started_s < RESUMED_WITHIN_S


# Guards against slow streams that are cut although each event comes in time.
def test_stream_whose_events_come_in_parts_is_not_moved(deployment):
    def slow(engine, message, caller):
        head = caller.begin_stream(200, b"OK", engine.headers(message))
        for number in range(1, 6):
            for part in (b"id: %d\n" % number, b"data: x\n\n"):
                caller.write_events(head, part)
                head = b""
                time.sleep(0.2)
        caller.end_stream(b"")

    script_all(deployment.engines, slow)
    answer = deployment.stream(**LONG).responses[0]
    assert answer.complete and answer.body.count(b"data: x") == 5
    assert sum(len(engine.received) for engine in deployment.engines) == 1
