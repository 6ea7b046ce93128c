"""Completions whose engine breaks off, and what callers get byte for byte."""

import itertools

import orjson
import pytest

from rosemaryyoke.entry.tests.api_host import ApiHost
from rosemaryyoke.entry.tests.broken_streams import (
    ANSWERS,
    BREAKS,
    FOREIGN,
    FRAMINGS,
    LATE_BREAKS,
    TOKENS,
    answer_in_place,
    break_off,
    break_off_late,
    go_on,
    resume_missing,
    send_truncated,
)
from rosemaryyoke.entry.tests.test_truncated_heads import read

STREAM, BUFFERED = True, False
HEAD_BYTES, STREAM_BYTES = 70, 640  # of the longest answer
WHOLE, FAILED = "whole", "failed"
TEXT = "".join(TOKENS)
SOME_BREAKS = ("chunked within an event", "length after an event", "within a chunk")
SOME_ANSWERS = (
    "500 send_with_length",
    "503 send_chunked",
    "no stream, length",
    "token without a text",
    "event that is no object",
)


@pytest.fixture(scope="module")
def host():
    host = ApiHost()
    yield host
    host.close()


def complete(host, stream=STREAM):
    """Ask for a completion; return the bytes of the response."""
    body = {"model": "m", "prompt": "p", "max_tokens": len(TOKENS), "stream": stream}
    return host.call("POST", "/v1/completions", orjson.dumps(body))


def check_response(data):
    """Check all bytes of a response; return its outcome and number of tokens."""
    assert FOREIGN not in data
    response = read(data)
    body = bytes(response.body)
    if response.status != 200:
        assert response.status == 503 and orjson.loads(body)["error"]["code"]
        return FAILED, 0
    if not body.startswith(b"id: "):
        value = orjson.loads(body)
        assert value["choices"][0]["text"] == TEXT
        assert value["usage"]["completion_tokens"] == len(TOKENS)
        return WHOLE, len(TOKENS)
    return check_events(body)


def check_events(body):
    """Check all events of a stream; return its outcome and number of tokens."""
    *events, rest = body.split(b"\n\n")
    assert rest == b""
    outcome = FAILED
    if events[-1] == b"data: [DONE]":
        outcome = WHOLE
        events.pop()
    last = events.pop()
    for count, event in enumerate(events, 1):
        identifier, data = event.split(b"\n")
        assert identifier.startswith(b"id: ") and identifier.endswith(b":%d" % count)
        choice = orjson.loads(data.removeprefix(b"data: "))["choices"][0]
        assert choice["text"] == TOKENS[count - 1] and not choice["finish_reason"]
    if outcome == FAILED:
        assert last.startswith(b"event: error\ndata: ")
        return FAILED, len(events)
    identifier, data = last.split(b"\n")
    assert identifier.endswith(b":%d" % len(TOKENS)) and len(events) == len(TOKENS)
    usage = orjson.loads(data.removeprefix(b"data: "))["usage"]
    assert usage["completion_tokens"] == len(TOKENS)
    return WHOLE, len(TOKENS)


def outcomes(host, scripts, stream=STREAM):
    """Play scripts; return the cases whose response is wrong, and the outcomes."""
    wrong, found = {}, {}
    for name, (*script, then) in scripts.items():
        host.follow(*script, then=then)
        data = complete(host, stream)
        try:
            found[name] = check_response(data)
        except (AssertionError, ValueError, KeyError, IndexError) as error:
            wrong[name] = (str(error).split("\n")[0], data)
    return wrong, found


def fail_everywhere(host, first, answers, stream=STREAM, pieces=False):
    """Check that a stream that broke off ends with an error, whatever others answer."""
    scripts = {name: [first, answer_in_place(name, pieces)] for name in answers}
    wrong, found = outcomes(host, scripts, stream)
    assert not wrong
    assert {outcome for outcome, _ in found.values()} == {FAILED}


# Guards against an error's text, or the end of a stream, in the middle of a stream
# whose rest no engine sends (issue 52).
@pytest.mark.parametrize("kind", BREAKS)
def test_broken_stream_ends_with_an_error_if_nobody_goes_on(host, kind):
    fail_everywhere(host, break_off(kind, False), ANSWERS)


# Guards against the same where the connection is reset.
@pytest.mark.parametrize("kind", BREAKS)
def test_reset_stream_ends_with_an_error_if_nobody_goes_on(host, kind):
    fail_everywhere(host, break_off(kind, True), SOME_ANSWERS)


# Guards against the same where an answer arrives byte by byte.
def test_broken_stream_ends_with_an_error_if_others_answer_in_pieces(host):
    first = break_off("chunked within an event", False)
    fail_everywhere(host, first, SOME_ANSWERS, pieces=True)


# Guards against a success that consists of part of an answer.
@pytest.mark.parametrize("kind", BREAKS)
def test_broken_completion_that_is_not_streamed_fails(host, kind):
    fail_everywhere(host, break_off(kind, False), SOME_ANSWERS, BUFFERED)


# Guards against a stream that goes on with what others answered before.
@pytest.mark.parametrize("kind", SOME_BREAKS)
def test_broken_stream_goes_on_after_other_answers(host, kind):
    scripts = {}
    for name in ANSWERS:
        step = answer_in_place(name)
        scripts[name] = [break_off(kind, False), resume_missing(step), step, go_on]
    wrong, found = outcomes(host, scripts)
    assert not wrong
    assert {outcome for outcome, _ in found.values()} == {WHOLE}


# Guards against events of the stream that are missing or come twice.
@pytest.mark.parametrize("stream", [STREAM, BUFFERED])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
def test_broken_stream_goes_on(host, reset, stream):
    scripts = {kind: [break_off(kind, reset), go_on] for kind in BREAKS}
    wrong, found = outcomes(host, scripts, stream)
    assert not wrong
    assert {outcome for outcome, _ in found.values()} == {WHOLE}


# Guards against a success that consists of part of a head or body (issue 52).
@pytest.mark.parametrize("stream", [STREAM, BUFFERED])
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_truncated_stream_goes_on(host, framing, reset, stream):
    scripts = {
        size: [send_truncated(framing, size, reset), go_on]
        for size in (*range(HEAD_BYTES), *range(HEAD_BYTES, STREAM_BYTES, 20))
    }
    wrong, found = outcomes(host, scripts, stream)
    assert not wrong
    assert {outcome for outcome, _ in found.values()} == {WHOLE}


# Guards against an error behind the end of a whole stream, and a whole answer that is
# thrown away.
@pytest.mark.parametrize("stream", [STREAM, BUFFERED])
@pytest.mark.parametrize("kind", LATE_BREAKS)
def test_stream_that_breaks_off_behind_its_last_event_is_whole(host, kind, stream):
    scripts = {}
    for reset, name in itertools.product([False, True], SOME_ANSWERS[:2]):
        first = break_off_late(kind, reset)
        scripts[reset, name] = [first, answer_in_place(name)]
    wrong, found = outcomes(host, scripts, stream)
    assert not wrong
    assert {outcome for outcome, _ in found.values()} == {WHOLE}
