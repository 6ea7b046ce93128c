"""Answers of hosts that break off or never end fail the call."""

import pytest
from result import Err

from rosemaryyoke.client import Client
from rosemaryyoke.client.client import _StreamState
from rosemaryyoke.testing.raw_server import RawServer

PIECE = b"x" * 65_536
MAX_READ_BYTES = 24 * 1024 * 1024
TEXT = (
    b'id: s:1\ndata: {"choices":[{"index":0,"delta":{"content":"a"},'
    b'"finish_reason":null}]}\n\n'
)
LAST = (
    b'id: s:1\ndata: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],'
    b'"usage":{"completion_tokens":1}}\n\n'
)


def chat_once(data, unbounded=b""):
    """Send a chat request to a server; return the outcome, the state and the server."""
    server, state = RawServer(data, unbounded), _StreamState()
    client = Client([server.address], "key")
    outcome = client._chat_once(server.address, {}, state, lambda text: None)
    server.close()
    return outcome, state, server


# Guards against a caller's program that reads, or keeps, an answer without end.
@pytest.mark.parametrize("status", [b"200 OK", b"500 Failed"])
def test_unbounded_answer_fails_the_call(status):
    head = b"HTTP/1.1 %s\r\n\r\n" % status
    outcome, _, server = chat_once(head, PIECE)
    assert isinstance(outcome, Err) and outcome.err_value.code == "cut"
    assert server.sent_bytes < MAX_READ_BYTES


# Guards against a truncated stream that the library returns as a whole answer.
@pytest.mark.parametrize("data", [TEXT, TEXT + LAST[:-1], TEXT + LAST[:20]])
def test_stream_without_its_last_event_is_not_complete(data):
    outcome, state, _ = chat_once(b"HTTP/1.1 200 OK\r\n\r\n" + data)
    assert isinstance(outcome, Err) and not state.complete
    assert state.parts == ["a"]


def test_stream_with_its_last_event_is_complete():
    outcome, state, _ = chat_once(b"HTTP/1.1 200 OK\r\n\r\n" + TEXT + LAST)
    assert outcome.is_ok() and state.complete
