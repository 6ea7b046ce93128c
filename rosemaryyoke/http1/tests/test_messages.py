"""Parsing of requests and responses."""

import pytest
from hypothesis import given, settings, strategies as st

from rosemaryyoke.http1 import (
    MalformedMessage,
    MessageLimits,
    MessageTooLarge,
    RequestParser,
    ResponseParser,
)
from rosemaryyoke.http1.messages import (
    CHEAP_PART_BYTES,
    CHEAP_PARTS,
    COSTLY_PIECE_BYTES,
    encode_chunk,
    end_to_end_headers,
)

LIMITS = MessageLimits(head_bytes=512, body_bytes=1_000)
GET = b"GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nab"


def read_requests(data, step=7):
    reader, requests = RequestParser(LIMITS), []
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
        while reader.requests or reader.rest:
            assert len(reader.requests) <= 1
            requests.extend(reader.requests)
            reader.requests.clear()
            reader.feed(b"")
    return requests


def read_answers(*parts, end=False):
    reader = ResponseParser()
    for part in parts:
        reader.feed(part)
    if end:
        reader.feed_eof()
    return reader


@pytest.mark.parametrize("step", [1, 7, 1_000])
def test_request_pipelined(step):
    post = (
        b"POST /b/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n"
    )
    first, second = read_requests(GET + post, step)
    assert (first.method, first.target, first.body) == (b"GET", b"/a/1", b"")
    assert (second.method, second.body) == (b"POST", b"abc")


@pytest.mark.parametrize(
    "head",
    [
        b"POST / HTTP/1.1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: +2\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_request_with_two_framings_is_malformed(head):
    with pytest.raises(MalformedMessage):
        read_requests(head, 1_000)


def test_request_limits():
    with pytest.raises(MessageTooLarge) as head:
        read_requests(b"GET / HTTP/1.1\r\nA: " + b"x" * 600 + b"\r\n\r\n", 100)
    with pytest.raises(MessageTooLarge) as body:
        read_requests(b"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n")
    assert (head.value.status, body.value.status) == (431, 413)


# Guards against a caller that sends framing without end and next to no body.
@pytest.mark.parametrize(
    "unbounded", [b"1;a=" + b"x" * 2_000, b"1;%b\r\nx\r\n" % (b"a" * 90) * 50]
)
def test_request_with_unbounded_chunk_extensions_is_too_large(unbounded):
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    with pytest.raises(MessageTooLarge):
        read_requests(head + unbounded * 4, 100)


def test_answer_with_a_second_answer_behind():
    reader = read_answers(OK + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    assert len(reader.responses) == 2
    assert reader.responses[0].complete and reader.responses[0].body == b"ab"


def test_answer_with_stray_bytes_behind():
    reader = read_answers(OK + b"garbage\r\n")
    assert reader.malformed and reader.responses[0].complete


def test_answer_without_length_ends_with_its_connection():
    data = b"HTTP/1.1 200 OK\r\n\r\nabc"
    assert not read_answers(data).responses[0].complete
    assert read_answers(data, end=True).responses[0].complete


def test_answer_cut_before_its_length_is_not_complete():
    reader = read_answers(OK[:-1], end=True)
    assert not reader.responses[0].complete


def test_answer_provisional_is_dropped():
    reader = read_answers(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
    assert [message.status for message in reader.responses] == [200]


def test_end_to_end_drops_what_the_connection_header_lists():
    headers = [(b"Connection", b"close, X-Own"), (b"X-Own", b"1"), (b"A", b"2")]
    assert end_to_end_headers(headers) == [(b"A", b"2")]


# Guards against requests behind the first one that take memory before their turn.
def test_requests_are_parsed_one_at_a_time():
    reader = RequestParser(LIMITS)
    reader.feed(GET * 100)
    assert len(reader.requests) == 1 and len(reader.rest) == 99 * len(GET)


# Guards against bodies that are kept although the head shows that nobody needs them.
def test_body_that_is_not_stored_is_only_counted():
    reader = RequestParser(LIMITS)
    reader.feed(b"POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + b"x" * 500)
    reader.message.stores_body = False
    reader.feed(b"x" * 400)
    message = reader.requests.popleft()
    assert message.has_lost_body and message.body_bytes == 900 and not message.body


# Guards against trailers that are passed on as headers, or held without limit.
def test_trailers_are_dropped_and_limited():
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    (message,) = read_requests(head + b"t: 1\r\n\r\n")
    assert [name for name, _ in message.headers] == [b"Transfer-Encoding"]
    with pytest.raises(MessageTooLarge):
        read_requests(head + b"t: 1\r\n" * 1_000)


# Guards against short header fields that take far more memory than bytes.
def test_held_bytes_include_the_cost_of_fields():
    reader = RequestParser(MessageLimits(head_bytes=16_384))
    reader.feed(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 1_900)
    assert reader.held_bytes > 1_900 * 100


CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_LIMITS = MessageLimits(body_bytes=1_000_000)


def chunked_reader():
    """Return a parser that has read the head of a chunked request."""
    reader = RequestParser(LARGE_LIMITS)
    reader.feed(CHUNKED_HEAD)
    return reader


# Guards against clients whose bodies take the processor for as long as they send.
def test_body_of_tiny_chunks_is_parsed_by_pieces():
    reader, data = chunked_reader(), encode_chunk(b"xx") * 10_000
    reader.feed(data)
    assert reader.is_costly and len(data) - len(reader.rest) <= COSTLY_PIECE_BYTES
    left = len(reader.rest)
    reader.feed(b"")
    assert left - len(reader.rest) == COSTLY_PIECE_BYTES


# Guards against a limit that ordinary bodies meet.
@pytest.mark.parametrize("size", [CHEAP_PART_BYTES, 1_000, 64 * 1024])
def test_body_of_ordinary_chunks_is_parsed_at_once(size):
    reader = chunked_reader()
    reader.feed(encode_chunk(b"x" * size) * (256 * 1024 // size))
    assert not reader.is_costly and not reader.rest


def test_short_body_of_tiny_chunks_is_not_costly():
    reader = chunked_reader()
    reader.feed(encode_chunk(b"xx") * (CHEAP_PARTS - 2))
    assert not reader.is_costly and not reader.rest


# Guards against heads and trailers of very many short fields, which are as costly.
@pytest.mark.parametrize("before", [b"GET / HTTP/1.1\r\n", CHUNKED_HEAD + b"0\r\n"])
def test_very_many_short_fields_are_parsed_by_pieces(before):
    reader = RequestParser(LARGE_LIMITS)
    reader.feed(before)
    data = b"a: b\r\n" * 2_000
    reader.feed(data)
    assert reader.is_costly and len(data) - len(reader.rest) <= COSTLY_PIECE_BYTES


def test_head_of_one_hundred_fields_is_not_costly():
    reader = RequestParser(LARGE_LIMITS)
    reader.feed(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 100)
    assert not reader.is_costly and not reader.rest


@settings(deadline=None)
@given(
    chunks=st.lists(
        st.tuples(st.integers(1, 900), st.sampled_from([1, 2, 63, 64, 5_000])),
        min_size=1,
        max_size=3,
    ),
    read_bytes=st.sampled_from([61, 4_095, 4_096, 32_768]),
)
def test_body_is_the_same_however_it_is_chunked(chunks, read_bytes):
    reader = RequestParser(MessageLimits(body_bytes=20_000_000))
    sent = b"".join(
        encode_chunk(bytes([65 + n % 26]) * size) * count
        for n, (count, size) in enumerate(chunks)
    )
    body = b"".join(
        bytes([65 + n % 26]) * size * count for n, (count, size) in enumerate(chunks)
    )
    data = CHUNKED_HEAD + sent + b"0\r\n\r\n" + GET
    for start in range(0, len(data), read_bytes):
        reader.feed(data[start : start + read_bytes])
        while reader.rest and not reader.requests:
            reader.feed(b"")
    assert reader.requests.popleft().body == body
    reader.feed(b"")
    assert reader.requests.popleft().target == b"/a/1"
