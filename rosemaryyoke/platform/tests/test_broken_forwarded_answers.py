"""Answers that break off on the way by another host, and what callers get of them.

Pattern: a host reaches no upstream and forwards requests; an upstream, or the other
host, breaks an answer off, and whoever is asked next answers something else.
"""

import itertools
import socket
from contextlib import suppress
from functools import partial

import pytest

from rosemaryyoke.forwarding.envelope import ERROR_HEADER
from rosemaryyoke.http1.messages import (
    LAST_CHUNK,
    encode_chunk,
    encode_head,
    find_header,
)
from rosemaryyoke.http1.responses import ResponseParser
from rosemaryyoke.platform.standins.servers import stream_headers
from rosemaryyoke.platform.tests.cut_hosts import (
    PATHS,
    RESETTING,
    SAFE,
    STREAMING,
    UNSAFE,
    CutFleet,
)
from rosemaryyoke.platform.tests.deployment import reset_on_close, script_all

CUT, OTHER = 0, 1
CALL_TIMEOUT_S = 5.0
FOREIGN = b"FOREIGN"
ERROR_BODY = b'{"error": {"message": "FOREIGN"}}\n\n'
TWO_EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
ALL_EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
PARTIAL_EVENT = b"id: 3\nda"
PLAIN_BODY = b"whole answer"
SOUND_BODIES = (b"body of p0", b"body of p1")
numbers = itertools.count()


def start_fleet(hosts):
    """Return a fleet whose first host reaches no upstream."""
    fleet = CutFleet()
    fleet.start(hosts)
    fleet.cut(CUT, mode=RESETTING)
    for kind in (SAFE, STREAMING):
        fleet.send(CUT, kind)
    return fleet


@pytest.fixture(scope="module")
def fleet():
    fleet = start_fleet(2)
    yield fleet
    fleet.stop()


@pytest.fixture(scope="module")
def three_hosts():
    fleet = start_fleet(3)
    yield fleet
    fleet.stop()


def forget_failures(fleet):
    """Forget upstreams' failures and retries, so that cases don't affect each other."""
    for host in fleet.hosts:
        host.forwarder.budget.usage.clear()
        for state in host.fleet.states.values():
            state.mark_recovered()
            state.error_share = state.suspect_until_s = 0.0
    for upstream in (*fleet.engines, *fleet.records):
        upstream.script, upstream.executed = [], []


def fetch(fleet, kind, host=CUT):
    """Send a request to a host; return all bytes of the response."""
    number = next(numbers)
    method = "GET" if kind == SAFE else "POST"
    headers = [
        ("Host", "a.example"),
        ("Request-Id", f"f{number}"),
        ("Deadline-Ms", "2000"),
        ("Authorization", "Bearer k1"),
        ("Connection", "close"),
        ("Content-Length", "0"),
    ]
    if kind == STREAMING:
        parts = f"fa{number}:600,fb{number}:900,fc{number}:100"
        headers += stream_headers(parts)
    path = PATHS[kind].replace("1", f"f{number}")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    address = fleet.hosts[host].settings.callers
    response = b""
    with socket.create_connection((address.ip, address.port)) as connection:
        connection.settimeout(CALL_TIMEOUT_S)
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        with suppress(ConnectionResetError):
            while data := connection.recv(65_536):
                response += data
    return response


def read(data):
    """Return the only response in bytes, which hold nothing else."""
    parser = ResponseParser()
    parser.feed(data)
    (response,) = parser.responses
    assert not parser.malformed
    return response


def check_stream(data):
    """Check all bytes of a stream that has begun; return the response."""
    assert FOREIGN not in data
    response = read(data)
    body = bytes(response.body)
    assert response.status == 200 and ALL_EVENTS.startswith(body)
    assert body.endswith(b"\n\n") and len(body) >= len(TWO_EVENTS)
    assert response.complete == (body == ALL_EVENTS)
    return response


def check_plain_answer(data, kind):
    """Check all bytes of an answer whose first upstream or host broke off."""
    assert FOREIGN not in data
    response = read(data)
    assert response.complete
    if kind == UNSAFE:
        assert response.status == 502
    else:
        assert response.status == 200 and bytes(response.body) in SOUND_BODIES


def prepare_connections(fleet, reused):
    """Open connections to plain upstreams that will be used again, or close them."""
    host = fleet.hosts[OTHER]
    for upstream in fleet.records:
        host.connections.forget({upstream.name})
    if reused:
        for _ in fleet.records:
            fetch(fleet, SAFE, OTHER)


def raw_step(make_answer, reset=False):
    """Return a step that sends bytes, given a request's headers, and closes."""

    def step(headers, write, connection):
        write(make_answer(headers))
        if reset:
            reset_on_close(connection)
        raise OSError("connection closed within the answer")

    return step


def at_engine(step):
    """Return a raw step as the step of an upstream."""

    def engine_step(engine, message, caller):
        engine.executed.append(find_header(message.headers, b"request-id"))
        step(engine.headers(message), caller.write, caller.socket)

    return engine_step


def head(headers, status=200, *more):
    """Return the head of an answer whose reason is foreign to the stream."""
    return encode_head(b"HTTP/1.1 %d FOREIGN" % status, [*headers, *more])


def send_chunked(headers, body, status=200, end=LAST_CHUNK):
    """Return a chunked answer."""
    framing = (b"Transfer-Encoding", b"chunked")
    return head(headers, status, framing) + (encode_chunk(body) if body else b"") + end


def send_with_length(headers, body, status=200, missing=0):
    """Return an answer with its length, of which some bytes are missing."""
    framing = (b"Content-Length", b"%d" % (len(body) + missing))
    return head(headers, status, framing) + body


def send_close_delimited(headers, body, status=200):
    """Return an answer that ends with its connection."""
    return head(headers, status) + body


def begin(headers, body=TWO_EVENTS, end=b""):
    """Return the first events of a stream, with no foreign bytes in its head."""
    return send_chunked(headers, body, end=end).replace(FOREIGN, b"OK")


def begin_with_length(headers, body=TWO_EVENTS, missing=99):
    """Return the first events of a stream that has a length."""
    return send_with_length(headers, body, missing=missing).replace(FOREIGN, b"OK")


BREAKS = {
    "after an event": begin,
    "within an event": partial(begin, body=TWO_EVENTS + PARTIAL_EVENT),
    "ended within an event": partial(
        begin, body=TWO_EVENTS + PARTIAL_EVENT, end=LAST_CHUNK
    ),
    "within a chunk": partial(begin, end=b"ff\r\n" + PARTIAL_EVENT),
    "within a chunk size": partial(begin, end=b"f"),
    "within the last chunk": partial(begin, end=b"0\r\n"),
    "within trailers": partial(begin, end=b"0\r\nA: FOREIGN"),
    "error in place of a chunk": partial(
        begin, end=b"HTTP/1.1 500 FOREIGN\r\n\r\nFOREIGN\n\n"
    ),
    "error within an event": lambda headers: begin(
        headers, TWO_EVENTS + PARTIAL_EVENT, send_with_length(headers, ERROR_BODY, 500)
    ),
    "length after an event": begin_with_length,
    "length within an event": partial(
        begin_with_length, body=TWO_EVENTS + PARTIAL_EVENT
    ),
    "length ended within an event": partial(
        begin_with_length, body=TWO_EVENTS + PARTIAL_EVENT, missing=0
    ),
    "error behind an event, close": lambda headers: send_close_delimited(
        headers, TWO_EVENTS
    ).replace(FOREIGN, b"OK")
    + send_with_length(headers, ERROR_BODY, 500),
    "error within an event, close": lambda headers: send_close_delimited(
        headers, TWO_EVENTS + PARTIAL_EVENT
    ).replace(FOREIGN, b"OK")
    + send_with_length(headers, ERROR_BODY, 500),
    "error within a value, close": lambda headers: send_close_delimited(
        headers, TWO_EVENTS + b"id: 3\ndata: x"
    ).replace(FOREIGN, b"OK")
    + send_with_length(headers, ERROR_BODY, 500),
    "close within an event": lambda headers: send_close_delimited(
        headers, TWO_EVENTS + PARTIAL_EVENT
    ).replace(FOREIGN, b"OK"),
}
FRAMINGS = (send_with_length, send_chunked, send_close_delimited)
NOT_RUN = (b"Not-Executed", b"1")


def without_seal(headers):
    """Return headers of an answer that is not sealed."""
    return [item for item in headers if item[0] != b"Response-Seal"]


def of_another_request(headers):
    """Return headers of the answer to another request."""
    return [(b"Request-Id", b"another"), *headers[1:]]


ANSWERS = {
    **{
        f"{status} {framing.__name__}": partial(framing, body=ERROR_BODY, status=status)
        for status in (500, 503)
        for framing in FRAMINGS
    },
    **{
        f"{status}": partial(send_with_length, body=ERROR_BODY, status=status)
        for status in (206, 400, 404, 421, 429, 502)
    },
    "503 not run": lambda headers: send_with_length(
        [*headers, NOT_RUN], ERROR_BODY, 503
    ),
    "500 short of its body": lambda headers: send_with_length(
        headers, ERROR_BODY, 500, missing=9
    ),
    "503 not run, short of its head": lambda headers: send_with_length(
        [*headers, NOT_RUN], b"", 503
    )[:-3],
    "200 short of its head": lambda headers: send_with_length(headers, b"")[:-3],
    "nothing": lambda headers: b"",
    "interim, then error": lambda headers: b"HTTP/1.1 103 FOREIGN\r\n\r\n"
    + send_with_length(headers, ERROR_BODY, 500),
    "not sealed": lambda headers: send_chunked(without_seal(headers), ERROR_BODY),
    "of another request": lambda headers: send_chunked(
        of_another_request(headers), ERROR_BODY
    ),
    "no stream, length": partial(send_with_length, body=ERROR_BODY),
    "no stream, chunks": partial(send_chunked, body=b"FOREIGN"),
    "no stream, close": partial(send_close_delimited, body=b"FOREIGN\n\n"),
    "empty, close": partial(send_close_delimited, body=b""),
    "error behind a partial event": lambda headers: send_close_delimited(
        headers, PARTIAL_EVENT + send_with_length(headers, b"FOREIGN", 500)
    ),
}
ENDINGS = {"closed": False, "reset": True}
SOME_ANSWERS = ("500 send_with_length", "503 not run", "no stream, length", "nothing")
FOREIGN_EVENTS = (
    "error behind an event, close",
    "error within an event, close",
    "error within a value, close",
)
STREAM_STEP_BYTES = 3
NEW, REUSED = False, True
TRUNCATED_BY_UPSTREAMS = [
    ("length", NEW, False),
    ("length", REUSED, True),
    ("trailers", NEW, True),
    ("trailers", REUSED, False),
]
HEADERS = [
    (b"Request-Id", b"f0000"),
    (b"Response-Seal", b"sealed"),
    (b"Weight-Versions", b"1"),
]
WHOLE_ANSWERS = {
    "length": partial(send_with_length, body=PLAIN_BODY),
    "trailers": partial(send_chunked, body=PLAIN_BODY, end=b"0\r\nA: b\r\n\r\n"),
}


def truncate(make_answer, size):
    """Return a function that makes the first bytes of an answer.

    Headers differ in size between requests and upstreams; a size counts from the end.
    """
    return lambda headers: make_answer(headers)[: -1 - size]


HOST_ERRORS = {
    code: (status, code.encode())
    for status, code in (
        (503, "busy"),
        (503, "leaving"),
        (503, "unreachable"),
        (503, "no_upstream"),
        (502, "upstream_failed"),
        (504, "deadline_exceeded"),
        (404, "unknown_route"),
        (503, "code of tomorrow"),
    )
}


def host_error(code):
    """Return a function that makes the error of a host."""
    status, value = HOST_ERRORS[code]
    return lambda headers: send_with_length(
        [headers[0], (ERROR_HEADER, value)], ERROR_BODY, status
    )


@pytest.fixture()
def scripted_hosts(three_hosts, monkeypatch):
    """Return a list of raw steps that the other hosts follow before they serve."""
    script = []

    def follow(message, caller, envelope, handle):
        if not script:
            handle(message, caller, envelope)
            return
        request_id = find_header(message.headers, b"request-id")
        headers = [(b"Request-Id", request_id), (b"Response-Seal", b"sealed")]
        script.pop(0)(headers, caller.write, caller.socket)

    for host in three_hosts.hosts[1:]:
        handle = host.forwarded.handle_request
        monkeypatch.setattr(
            host.forwarded, "handle_request", partial(follow, handle=handle)
        )
    return script


# Guards against an error's text, or the end of a stream, in the middle of a stream
# that another host serves (issue 52).
@pytest.mark.parametrize("reset", ENDINGS.values(), ids=ENDINGS)
@pytest.mark.parametrize("kind", BREAKS)
def test_stream_broken_by_its_engine_holds_nothing_else(fleet, kind, reset):
    for name in SOME_ANSWERS if reset else ANSWERS:
        forget_failures(fleet)
        steps = raw_step(BREAKS[kind], reset), raw_step(ANSWERS[name])
        script_all(fleet.engines, *map(at_engine, steps))
        # Whole if a third engine is asked, as after an answer of one that has not run.
        check_stream(fetch(fleet, STREAMING))


# Guards against the same where the other host breaks off, and a third one answers.
@pytest.mark.parametrize("reset", ENDINGS.values(), ids=ENDINGS)
@pytest.mark.parametrize("kind", BREAKS)
def test_stream_broken_by_a_host_holds_nothing_else(
    three_hosts, scripted_hosts, kind, reset
):
    answers = [ANSWERS[name] for name in (SOME_ANSWERS if reset else ANSWERS)]
    for answer in (*answers, *map(host_error, HOST_ERRORS)):
        forget_failures(three_hosts)
        scripted_hosts[:] = [raw_step(BREAKS[kind], reset), raw_step(answer)]
        check_stream(fetch(three_hosts, STREAMING))


# Guards against events that are missing or come twice.
@pytest.mark.parametrize("kind", BREAKS)
def test_stream_broken_by_a_host_goes_on(three_hosts, scripted_hosts, kind):
    for reset in ENDINGS.values():
        forget_failures(three_hosts)
        scripted_hosts[:] = [raw_step(BREAKS[kind], reset)]
        assert check_stream(fetch(three_hosts, STREAMING)).complete


# Guards against an error response that an engine writes into its stream and that is
# passed on as an event, by a host that reaches engines or by way of another.
@pytest.mark.parametrize("host", [CUT, OTHER], ids=["forwarded", "direct"])
@pytest.mark.parametrize("answer", FOREIGN_EVENTS)
def test_error_within_a_stream_is_no_event(fleet, host, answer):
    forget_failures(fleet)
    script_all(fleet.engines, at_engine(raw_step(BREAKS[answer])))
    assert check_stream(fetch(fleet, STREAMING, host)).complete


# Guards against a success that consists of part of an answer (issue 52).
@pytest.mark.parametrize("answer, reused, reset", TRUNCATED_BY_UPSTREAMS)
def test_answer_truncated_by_its_upstream_is_no_success(fleet, answer, reused, reset):
    for size in range(len(WHOLE_ANSWERS[answer](HEADERS))):
        forget_failures(fleet)
        prepare_connections(fleet, reused)
        kind = UNSAFE if size % 2 else SAFE
        cut = truncate(WHOLE_ANSWERS[answer], size)
        script_all(fleet.records, at_engine(raw_step(cut, reset)))
        check_plain_answer(fetch(fleet, kind), kind)


# Guards against the same where the other host breaks off.
@pytest.mark.parametrize("reset", ENDINGS.values(), ids=ENDINGS)
@pytest.mark.parametrize("answer", WHOLE_ANSWERS)
def test_answer_truncated_by_a_host_is_no_success(
    three_hosts, scripted_hosts, answer, reset
):
    for size in range(len(WHOLE_ANSWERS[answer](HEADERS))):
        forget_failures(three_hosts)
        kind = UNSAFE if size % 2 else SAFE
        cut = truncate(WHOLE_ANSWERS[answer], size)
        scripted_hosts[:] = [raw_step(cut, reset)]
        check_plain_answer(fetch(three_hosts, kind), kind)


# Guards against the same in streams.
@pytest.mark.parametrize("reset", ENDINGS.values(), ids=ENDINGS)
@pytest.mark.parametrize("framing", [send_chunked, send_with_length])
def test_truncated_stream_goes_on(fleet, framing, reset):
    def make_answer(headers):
        return framing(headers, ALL_EVENTS).replace(FOREIGN, b"OK")

    for size in range(0, len(make_answer(HEADERS)), STREAM_STEP_BYTES):
        forget_failures(fleet)
        step = raw_step(truncate(make_answer, size), reset)
        script_all(fleet.engines, at_engine(step))
        assert check_stream(fetch(fleet, STREAMING)).complete, size
