"""Answers without end are closed early, and another upstream is asked.

Pattern: an upstream in trouble sends bytes that are no answer, in a head or a body, for
as long as its connection is open.
"""

import time

import pytest

from rosemaryyoke.http1.messages import encode_head
from rosemaryyoke.platform.standins.servers import send_client_request
from rosemaryyoke.platform.tests.deployment import script_all
from rosemaryyoke.platform.tests.test_stalled_engines import event_numbers, runs

MIB = 1024 * 1024
PIECE_BYTES = 65_536
MAX_UNBOUNDED_BYTES = 256 * MIB
MAX_READ_BYTES = 24 * MIB  # three times the limit of a body, for socket buffers
OK_LINE = b"HTTP/1.1 200 OK"


def fill(pattern):
    """Return a piece of data that repeats a pattern."""
    return pattern * (PIECE_BYTES // len(pattern))


def begin_head(headers):
    """Return a head that goes on."""
    return encode_head(OK_LINE, headers)[: -len(b"\r\n")]


def begin_close_delimited(headers):
    """Return the head of an answer that ends with its connection."""
    return encode_head(OK_LINE, headers)


def begin_chunked(headers):
    """Return the head of a chunked answer."""
    return encode_head(OK_LINE, [*headers, (b"Transfer-Encoding", b"chunked")])


def begin_chunk_extension(headers):
    """Return a chunked answer up to an extension of its first chunk."""
    return begin_chunked(headers) + b"1;a="


def begin_trailers(headers):
    """Return a chunked answer up to its trailers."""
    return begin_chunked(headers) + b"0\r\n"


def begin_nothing(headers):
    """Return no bytes."""
    return b""


CHUNK = b"%x\r\n%s\r\n" % (1_024, b"x" * 1_024)
LATE_ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"
UNBOUNDED_HEADS = {
    "header": (begin_head, b"x"),
    "headers": (begin_head, b"A: b\r\n"),
    "interim responses": (begin_nothing, b"HTTP/1.1 102 Processing\r\n\r\n"),
    "late answers": (begin_nothing, LATE_ANSWER),
    "reason": (begin_nothing, b"HTTP/1.1 200 OK"),
    "chunk extension": (begin_chunk_extension, b"x"),
    "trailers": (begin_trailers, b"A: b\r\n"),
}
UNBOUNDED_BODIES = {
    "body": (begin_close_delimited, b"x"),
    "chunked body": (begin_chunked, CHUNK),
}
UNBOUNDED_EVENTS = {
    "event": (begin_close_delimited, b"x"),
    "chunked event": (begin_chunked, CHUNK),
    "blank lines": (begin_close_delimited, b"\n"),
    "comments": (begin_close_delimited, b": x\n"),
    "comments and blank lines": (begin_close_delimited, b": x\n\n"),
}


class UnboundedStep:
    """A step that sends bytes until the connection is closed, and counts them."""

    def __init__(self, begin, pattern):
        self.begin = begin
        self.piece = fill(pattern)
        self.sent_bytes = 0

    def __call__(self, engine, message, caller):
        engine.executed.append(b"")
        caller.socket.sendall(self.begin(engine.headers(message)))
        while self.sent_bytes < MAX_UNBOUNDED_BYTES:
            self.sent_bytes += caller.socket.send(self.piece)
        raise OSError("connection closed after an unbounded answer")


# Guards against streams that wait, or take memory, while their engine sends no event.
@pytest.mark.parametrize("kind", [*UNBOUNDED_HEADS, *UNBOUNDED_EVENTS])
def test_unbounded_stream_is_left_for_another_engine(deployment, kind):
    step = UnboundedStep(*{**UNBOUNDED_HEADS, **UNBOUNDED_EVENTS}[kind])
    script_all(deployment.engines, step)
    answer = deployment.stream().responses[0]
    assert answer.complete and event_numbers(answer) == [1, 2, 3, 4, 5]
    assert runs(deployment.engines) == 2
    assert step.sent_bytes < MAX_READ_BYTES


# Guards against the same in answers that are no streams.
@pytest.mark.parametrize("kind", [*UNBOUNDED_HEADS, *UNBOUNDED_BODIES])
def test_unbounded_answer_is_left_for_another_upstream(deployment, kind):
    step = UnboundedStep(*{**UNBOUNDED_HEADS, **UNBOUNDED_BODIES}[kind])
    script_all(deployment.records, step)
    reader = send_client_request(deployment.callers, "/read/1", "GET")
    answer = reader.responses[0]
    assert answer.complete and answer.status == 200
    assert runs(deployment.records) == 2
    assert step.sent_bytes < MAX_READ_BYTES


# Guards against callers that wait for their deadline although no answer can come.
@pytest.mark.parametrize("kind", [*UNBOUNDED_HEADS, *UNBOUNDED_BODIES])
def test_unbounded_answer_to_a_request_that_runs_once_fails_early(deployment, kind):
    step = UnboundedStep(*{**UNBOUNDED_HEADS, **UNBOUNDED_BODIES}[kind])
    script_all(deployment.records, step)
    started_s = time.monotonic()
    answer = send_client_request(deployment.callers, "/issue/1").responses[0]
    assert answer.complete and answer.status == 502
    assert time.monotonic() - started_s < 1.0
    assert runs(deployment.records) == 1


# Guards against an unbounded answer whose cause is not in the logs.
def test_cause_of_an_unbounded_answer_is_in_the_logs(deployment, logged):
    script_all(deployment.records, UnboundedStep(*UNBOUNDED_BODIES["body"]))
    send_client_request(deployment.callers, "/issue/1", **{"Request-Id": "c9"})
    failed = [e for e in logged("c9") if e.message == "attempt failed"]
    assert "too large" in failed[0].fields["reason"]


# Guards against limits so tight that they end answers and events of usual size.
def test_large_answer_is_delivered(deployment):
    body = b"x" * (4 * MIB)

    def send_large_body(engine, message, caller):
        engine.executed.append(b"")
        caller.send_response(200, b"OK", engine.headers(message), body)

    script_all(deployment.records, send_large_body)
    reader = send_client_request(deployment.callers, "/read/1", "GET")
    assert reader.responses[0].body == body
