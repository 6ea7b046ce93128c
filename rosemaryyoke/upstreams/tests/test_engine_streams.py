"""Streams of engines in the project's own protocol that do not end as they should."""

import os
from pathlib import Path

import pytest
from result import Err

from rosemaryyoke.testing.hostile_clients import peak_memory_bytes
from rosemaryyoke.testing.raw_server import RawServer
from rosemaryyoke.upstreams import EngineRequest, Finished, Started, Token, engine
from rosemaryyoke.upstreams.engine import HttpEngineAdapter
from rosemaryyoke.wire import HttpRequest, send

REQUEST = EngineRequest("r1", "a1", "m1", "w1", "prompt", 2)
HEAD = b"HTTP/1.1 200 OK\r\n"
EVENTS = [
    b'{"kind":"started","request":"r1","incarnation":"i1","weights":"w1",'
    b'"cached_blocks":0,"prompt_blocks":1,"waiting_s":0.0,"blocks_stored":1}',
    b'{"kind":"token","request":"r1","index":0,"text":"a"}',
    b'{"kind":"finished","request":"r1","count":1}',
]
PIECE = b"x" * 65_536
MAX_READ_BYTES = 24 * 1024 * 1024
STREAM_TIMEOUT_S = 2.0
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FURTHER_FORMS = {
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "status line": (b"", b"HTTP/1.1 200 OK"),
    "chunk extension": (CHUNKED + b"1;a=", b"x"),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n"),
    "blank lines": (HEAD + b"\r\n", b"\n"),
    "comments": (HEAD + b"\r\n", b": x\n"),
    "no HTTP": (b"", b"x"),
}


@pytest.fixture()
def start_server():
    servers = []

    def start(*arguments):
        servers.append(RawServer(*arguments))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def encode_events(events, line_end=b"\n"):
    """Return events as a stream."""
    return b"".join(b"data: " + event + line_end * 2 for event in events)


def complete(server):
    """Send a request to an engine; return the outcome and the events."""
    events = []
    adapter = HttpEngineAdapter()
    outcome = adapter.complete(server.address, REQUEST, events.append)
    adapter.pump.stop()
    return outcome, events


# Guards against an error of the program in place of a failed attempt.
@pytest.mark.parametrize("framing", [b"", b"Transfer-Encoding: chunked\r\n"])
def test_unbounded_event_fails_the_attempt(start_server, framing):
    piece = b"%x\r\n%s\r\n" % (len(PIECE), PIECE) if framing else PIECE
    server = start_server(HEAD + framing + b"\r\n", piece)
    outcome, events = complete(server)
    assert isinstance(outcome, Err) and outcome.err_value.sent
    assert "too large" in outcome.err_value.message and not events
    assert server.sent_bytes < MAX_READ_BYTES


# Guards against a head that is read for as long as it comes.
def test_unbounded_head_fails_the_attempt(start_server):
    server = start_server(HEAD, b"A: b\r\n" * 10_000)
    outcome, _ = complete(server)
    assert isinstance(outcome, Err) and server.sent_bytes < MAX_READ_BYTES


# Guards against a head of a further form that is kept for as long as it comes, and
# against lines of a stream that are.
@pytest.mark.parametrize("form", FURTHER_FORMS)
def test_unbounded_stream_takes_no_memory(start_server, form, monkeypatch):
    monkeypatch.setitem(engine.STREAM_OPTIONS, "timeout_s", STREAM_TIMEOUT_S)
    start, pattern = FURTHER_FORMS[form]
    Path("/proc/self/clear_refs").write_text("5")  # resets the peak
    before_bytes = peak_memory_bytes(os.getpid())
    outcome, events = complete(start_server(start, pattern * (65_536 // len(pattern))))
    assert isinstance(outcome, Err) and outcome.err_value.sent and not events
    assert peak_memory_bytes(os.getpid()) - before_bytes < MAX_READ_BYTES


# Guards against callers that wait for a stream in which no event comes.
@pytest.mark.parametrize("form", ("blank lines", "comments"))
def test_stream_without_events_is_given_up(start_server, form):
    start, pattern = FURTHER_FORMS[form]
    server = start_server(start, pattern * (65_536 // len(pattern)))
    outcome, _ = complete(server)
    assert isinstance(outcome, Err) and "too large" in outcome.err_value.message
    assert server.sent_bytes < MAX_READ_BYTES


# Guards against events that are recognized only if their lines end with a line feed.
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_events_are_parsed_whatever_their_line_ends(start_server, line_end):
    server = start_server(HEAD + b"\r\n" + encode_events(EVENTS, line_end))
    outcome, events = complete(server)
    assert outcome.is_ok()
    assert [type(event) for event in events] == [Started, Token, Finished]


# Guards against part of an event that is passed on when its engine breaks off.
def test_partial_event_is_not_passed_on(start_server):
    data = encode_events(EVENTS)[: -len(EVENTS[-1]) - 1]
    _, events = complete(start_server(HEAD + b"\r\n" + data))
    assert [type(event) for event in events] == [Started, Token]


# Guards against an error's body that is read for as long as it comes.
def test_unbounded_body_of_an_error_fails_the_attempt(start_server):
    server = start_server(b"HTTP/1.1 500 Failed\r\n\r\n", PIECE)
    outcome, _ = complete(server)
    assert isinstance(outcome, Err) and server.sent_bytes < MAX_READ_BYTES


# Guards against answers of services and of the store that take all memory.
def test_unbounded_body_of_a_call_fails(start_server):
    server = start_server(HEAD + b"\r\n", PIECE)
    outcome = send(HttpRequest("GET", f"http://{server.address}/"))
    assert isinstance(outcome, Err) and outcome.err_value.sent
    assert "too large" in outcome.err_value.message
    assert server.sent_bytes < MAX_READ_BYTES
