"""Answers are not lost when an engine takes over a request from one that stalls.

Pattern: the engine that is to resume a stream refuses late, fails, or sends nothing, or
the first engine goes on while the other one is asked.
"""

import time
from types import SimpleNamespace

import pytest
from result import Ok

from rosemaryyoke.http1.messages import encode_chunk
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.platform.tests.deployment import script_all, wait_for
from rosemaryyoke.platform.tests.test_stalled_engines import (
    LONG_DEADLINE,
    event_numbers,
    runs,
    stall_after,
)
from rosemaryyoke.rollout.messages import EngineReport

ALL_EVENTS = [1, 2, 3, 4, 5]
SHORT_STALL_S = 1.1  # ends within the handover
LATE_S = 0.5  # longer than the handover


def refuse_late(engine, message, caller):
    """Refuse a request that waited in a queue."""
    time.sleep(LATE_S)
    engine.reply(message, caller, 503, [(b"Not-Executed", b"1")])


def stay_mute(engine, message, caller):
    """Drop a request silently."""
    engine.executed.append(b"")
    time.sleep(3.0)
    raise OSError("no response")


def reply_with(status):
    """Return a step that answers with a short response."""

    def step(engine, message, caller):
        engine.reply(message, caller, status)

    return step


def stall_within_event(engine, message, caller):
    """Pause in the middle of the third event, then end the stream."""
    head = caller.begin_stream(200, b"OK", engine.headers(message))
    engine.executed.append(b"")
    caller.write_events(head, b"id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda")
    time.sleep(1.3)
    caller.write(encode_chunk(b"ta: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n"))
    caller.end_stream(b"")


def delay_reports(deployment, delay_s):
    """Let health checks of all engines take a while."""

    def report(address, timeout_s):
        time.sleep(min(delay_s, timeout_s))
        return Ok(EngineReport({MODEL: 1}, False, 0))

    forwarder = deployment.host.kernel.get("callers").handler.__self__
    forwarder.engines = SimpleNamespace(report=report)


# Guards against streams cut when the engine that should resume them refuses late.
def test_stream_is_not_cut_when_its_resumption_is_refused_late(deployment):
    script_all(deployment.engines, stall_after(2, 1.6), refuse_late)
    answer = deployment.stream(**LONG_DEADLINE).responses[0]
    assert answer.complete and event_numbers(answer) == ALL_EVENTS


# Guards against a handover to an engine that sends nothing, past events at hand.
def test_engine_that_goes_on_during_the_handover_is_not_left(deployment):
    script_all(deployment.engines, stall_after(2, SHORT_STALL_S), stay_mute)
    answer = deployment.stream().responses[0]
    assert answer.complete and event_numbers(answer) == ALL_EVENTS


# Guards against streams cut when the engine that should resume them answers otherwise.
@pytest.mark.parametrize("status", [400, 404, 409, 429, 500, 503])
def test_stream_is_not_cut_when_its_resumption_fails(deployment, status):
    script_all(deployment.engines, stall_after(2), reply_with(status))
    answer = deployment.stream(**LONG_DEADLINE).responses[0]
    assert answer.complete and event_numbers(answer) == ALL_EVENTS


# Guards against a health check whose duration counts as the engine's pause.
def test_event_that_arrives_during_the_health_check_keeps_the_engine(deployment):
    delay_reports(deployment, 0.2)
    script_all(deployment.engines, stall_after(2, SHORT_STALL_S))
    answer = deployment.stream(**LONG_DEADLINE).responses[0]
    assert answer.complete and event_numbers(answer) == ALL_EVENTS
    assert runs(deployment.engines) == 1


# Guards against a lost or doubled part of an event when its engine is returned to.
def test_event_is_whole_when_its_engine_pauses_within_it(deployment):
    script_all(deployment.engines, stall_within_event, 503, 503, 503)
    answer = deployment.stream(**LONG_DEADLINE).responses[0]
    whole = b"".join(b"id: %d\ndata: x\n\n" % number for number in ALL_EVENTS)
    assert answer.complete and answer.body == whole
    wait_for(
        lambda: not any(s.under_way for s in deployment.host.fleet.states.values())
    )
