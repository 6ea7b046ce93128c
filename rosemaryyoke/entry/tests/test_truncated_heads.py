"""Answers of plain services that are truncated, above all within their head.

Pattern: an instance crashes while it answers, and its connection is closed or reset.
"""

import pytest
from result import Err

from rosemaryyoke.calls.claim_entries import ANSWERED, UNKNOWN
from rosemaryyoke.entry.tests.api_host import Answer, ApiHost
from rosemaryyoke.http1 import ResponseParser
from rosemaryyoke.testing.raw_server import RawServer
from rosemaryyoke.wire import HttpRequest, send

BODY = b"whole answer"
SOUND = b"sound answer"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"5\r\n%s\r\n7;a=b\r\n%s\r\n" % (BODY[:5], BODY[5:])
ANSWERS = {
    "length": HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(BODY), BODY),
    "chunks": CHUNKED + CHUNKS + b"0\r\n\r\n",
    "trailers": CHUNKED + CHUNKS + b"0\r\nExpires: 0\r\n\r\n",
    "interim": b"HTTP/1.1 103 Hints\r\n\r\n%sContent-Length: 12\r\n\r\n%s"
    % (HEAD, BODY),
    # Closed in order within its body, it can't be told from a whole one.
    "close": HEAD + b"\r\n",
    "close and body": HEAD + b"\r\n" + BODY,
}
CLOSED, RESET = False, True
TRUNCATED = [
    ("length", CLOSED),
    ("chunks", CLOSED),
    ("interim", CLOSED),
    ("close", CLOSED),
    ("trailers", RESET),
    ("close and body", RESET),
]
TRUNCATED_CALLS_WITH_KEYS = [("length", CLOSED), ("trailers", CLOSED)]


@pytest.fixture(scope="module")
def host():
    host = ApiHost()
    yield host
    host.close()


def truncate(answer, size, reset):
    """Return a step that sends the first bytes of an answer."""
    return lambda request: Answer((answer[:size],), reset)


def send_whole(answer):
    """Return a step that sends an answer."""
    return lambda request: Answer((answer,))


def send_sound(request):
    """Send a whole answer."""
    return Answer((b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n" + SOUND,))


def read(data):
    """Return the only response in bytes, which hold nothing else."""
    parser = ResponseParser()
    parser.feed(data)
    (response,) = parser.responses
    assert response.complete and not parser.malformed
    return response


# Guards against a success that consists of part of a head (issue 52).
@pytest.mark.parametrize("answer, reset", TRUNCATED)
def test_call_whose_answer_is_truncated_is_sent_again(host, answer, reset):
    data = ANSWERS[answer]
    for size in range(len(data)):
        host.follow(truncate(data, size, reset), then=send_sound)
        response = read(host.call("GET", "/services/records/read"))
        assert (response.status, response.body) == (200, SOUND), size


# Guards against the same for calls that run once, also as the outcome of their key.
@pytest.mark.parametrize("answer, reset", TRUNCATED_CALLS_WITH_KEYS)
def test_truncated_answer_is_no_outcome_of_a_key(host, answer, reset):
    data = ANSWERS[answer]
    for size in range(len(data)):
        host.follow(truncate(data, size, reset), then=send_sound)
        call = ("POST", "/services/records/issue", b"{}")
        response = read(host.call(*call, **{"Idempotency-Key": f"{answer}{size}"}))
        assert response.status == 502 and b"outcome_unknown" in response.body, size
        assert host.claims.states == [UNKNOWN]
        assert len(host.upstream.received) == 1


# Guards against a truncated refusal that is told as not run.
@pytest.mark.parametrize("stream", ["true", "false"])
def test_truncated_refusal_is_not_told_as_not_run(host, stream):
    refusal = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
    body = b'{"model": "m", "prompt": "p", "stream": %s}' % stream.encode()
    for size in range(len(refusal)):
        host.follow(then=truncate(refusal, size, CLOSED))
        response = read(host.call("POST", "/v1/completions", body))
        assert response.status == 503 and b'"not_run":false' in response.body, size


# Guards against whole answers that are taken for truncated ones.
@pytest.mark.parametrize("answer", ANSWERS)
def test_whole_answer_is_passed_on(host, answer):
    host.follow(send_whole(ANSWERS[answer]), then=send_sound)
    key = {"Idempotency-Key": f"whole-{answer}"}
    response = read(host.call("POST", "/services/records/issue", b"{}", **key))
    body = b"" if answer == "close" else BODY
    assert (response.status, response.body) == (200, body)
    assert host.claims.states == [ANSWERED]


# Guards against trailers that replace the head's fields or status.
def test_trailers_are_dropped():
    trailers = b"0\r\nContent-Type: text/html\r\nHTTP/1.1 500 : x\r\n\r\n"
    server = RawServer(CHUNKED + CHUNKS + trailers)
    response = send(HttpRequest("GET", f"http://{server.address}/")).unwrap()
    assert response.status == 200 and response.body == BODY
    assert response.headers["content-type"] == "a"


# Guards against an interim response that is taken for the answer.
def test_interim_response_alone_is_no_answer():
    server = RawServer(b"HTTP/1.1 103 Early Hints\r\n\r\n")
    outcome = send(HttpRequest("GET", f"http://{server.address}/"))
    assert isinstance(outcome, Err)
    assert outcome.err_value.sent and outcome.err_value.broken_off
