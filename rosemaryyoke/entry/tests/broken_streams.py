"""Streams of engines that break off, and what engines answer in their place."""

import re
from functools import partial
from itertools import product

import orjson

from rosemaryyoke.entry.tests.api_host import Answer
from rosemaryyoke.http1.messages import LAST_CHUNK, encode_chunk

TOKENS = ("a ", "b ", "c ", "d ")
SENT = 2  # tokens of a stream before it breaks off
FOREIGN = b"FOREIGN"
ERROR_BODY = b'{"error": {"message": "FOREIGN"}}\n\n'
OK_LINE = b"HTTP/1.1 200 OK\r\nX-Foreign: FOREIGN\r\n"
STREAM_TARGET = re.compile(r"/v1/streams/(\w+)\?after=(\d+)")
STREAM_NAME = re.compile(rb'"request":"(\w+)"')
STARTED = {
    "incarnation": "i",
    "weights": "v1",
    "cached_blocks": 0,
    "prompt_blocks": 1,
    "waiting_s": 0.0,
    "blocks_stored": 1,
}


def position(request):
    """Return the identifier of the stream that a request asks for, and its index."""
    if request.method == "POST":
        value = request.json()
        return value["request"], value["first_index"]
    name, after = STREAM_TARGET.fullmatch(request.target).groups()
    return name, int(after)


def encode(kind, name, **fields):
    """Return an event of an engine."""
    return b"data: %s\n\n" % orjson.dumps({"kind": kind, "request": name, **fields})


def events(name, first, last=len(TOKENS), tokens=TOKENS):
    """Return the events of a stream up to a token, without its finished event."""
    numbers = range(first, last)
    sent = [encode("token", name, index=n, text=tokens[n]) for n in numbers]
    return b"".join([encode("started", name, **STARTED), *sent])


def finished(name):
    """Return the last event of a stream."""
    return encode("finished", name, count=len(TOKENS))


def send_chunked(*parts, end=LAST_CHUNK):
    """Return an answer with a chunk for each part."""
    head = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(map(encode_chunk, parts)) + end


def send_with_length(body, missing=0):
    """Return an answer with its length, of which some bytes are missing."""
    return OK_LINE + b"Content-Length: %d\r\n\r\n%s" % (len(body) + missing, body)


def send_close_delimited(body):
    """Return an answer that ends with its connection."""
    return OK_LINE + b"\r\n" + body


FRAMINGS = (send_with_length, send_chunked, send_close_delimited)


def go_on(request):
    """Send the rest of a stream."""
    name, first = position(request)
    return Answer((send_chunked(events(name, first), finished(name)),))


def partial_event(name, index):
    """Return the first bytes of a token's event."""
    return encode("token", name, index=index, text=TOKENS[index])[:-7]


def further_events(whole):
    """Return events of a stream that follow its finished event."""
    name = STREAM_NAME.search(whole)[1].decode()
    token = encode("token", name, index=len(TOKENS), text="FOREIGN ")
    return token + encode("finished", name, count=len(TOKENS) + 1)


# How a stream breaks off, given its first events, its next one and its name.
BREAKS = {
    "chunked after an event": lambda sent, part, name: send_chunked(sent, end=b""),
    "chunked within an event": lambda sent, part, name: send_chunked(
        sent, part, end=b""
    ),
    "ended within an event": lambda sent, part, name: send_chunked(sent, part),
    "ended without its last event": lambda sent, part, name: send_chunked(sent),
    "within a chunk": lambda sent, part, name: send_chunked(sent, end=b"ff\r\n" + part),
    "within a chunk size": lambda sent, part, name: send_chunked(sent, end=b"f"),
    "within the last chunk": lambda sent, part, name: send_chunked(sent, end=b"0\r\n"),
    "within trailers": lambda sent, part, name: send_chunked(
        sent, end=b"0\r\nA: FOREIGN"
    ),
    "malformed chunk size": lambda sent, part, name: send_chunked(
        sent, end=b"HTTP/1.1 500 FOREIGN\r\n\r\nFOREIGN\n\n"
    ),
    "length after an event": lambda sent, part, name: send_with_length(sent, 99),
    "length within an event": lambda sent, part, name: send_with_length(
        sent + part, 99
    ),
    "length ended within an event": lambda sent, part, name: send_with_length(
        sent + part
    ),
    "close after an event": lambda sent, part, name: send_close_delimited(sent),
    "close within an event": lambda sent, part, name: send_close_delimited(sent + part),
    "error within an event": lambda sent, part, name: send_close_delimited(
        sent + part + b"HTTP/1.1 500 FOREIGN\r\n\r\n" + ERROR_BODY
    ),
    "error after an event": lambda sent, part, name: send_close_delimited(
        sent + b"HTTP/1.1 500 FOREIGN\r\n\r\n" + ERROR_BODY
    ),
}
# Breaks behind the last event.
LATE_BREAKS = {
    "no last chunk": lambda whole: send_chunked(whole, end=b""),
    "within the last chunk": lambda whole: send_chunked(whole, end=b"0\r"),
    "within a chunk size": lambda whole: send_chunked(whole, end=b"f"),
    "length not reached": lambda whole: send_with_length(whole, 9),
    "error in place of the last chunk": lambda whole: send_chunked(
        whole, end=b"HTTP/1.1 500 FOREIGN\r\n\r\nFOREIGN\n\n"
    ),
    "error event": lambda whole: send_chunked(whole, b"data: " + ERROR_BODY),
    "error as a chunk": lambda whole: send_chunked(whole, ERROR_BODY),
    "close and error": lambda whole: send_close_delimited(whole + ERROR_BODY),
    "close": send_close_delimited,
    "further events": lambda whole: send_chunked(whole, further_events(whole)),
}


def break_off(kind, reset):
    """Return a step that breaks a stream off."""

    def step(request):
        name, first = position(request)
        sent = events(name, first, first + SENT)
        part = partial_event(name, first + SENT)
        return Answer((BREAKS[kind](sent, part, name),), reset)

    return step


def break_off_late(kind, reset):
    """Return a step that breaks a stream off behind its last event."""

    def step(request):
        name, first = position(request)
        whole = events(name, first) + finished(name)
        return Answer((LATE_BREAKS[kind](whole),), reset)

    return step


def error(status, framing=send_with_length):
    """Return an error response."""
    return framing(ERROR_BODY).replace(b"200 OK", b"%d FOREIGN" % status)


def error_in_place(status, framing, name, first):
    """Return an error response in place of the rest of a stream."""
    return error(status, framing)


def in_pieces(data):
    """Return single bytes of a response's start, then the rest."""
    return (*(data[n : n + 1] for n in range(24)), data[24:])


def foreign_events(name, first):
    """Return a stream whose tokens the caller must not get."""
    texts = ["FOREIGN "] * len(TOKENS)
    return events(name, first, tokens=texts) + finished(name)


# What an engine answers in place of the rest, given the stream's name and index.
ANSWERS = {
    **{
        f"{status} {framing.__name__}": partial(error_in_place, status, framing)
        for status, framing in product((500, 503), FRAMINGS)
    },
    **{
        f"{status}": partial(error_in_place, status, send_with_length)
        for status in (400, 404, 429)
    },
    "206": lambda name, first: error(206),
    "500 short of its body": lambda name, first: error(500)[:-9],
    "503 short of its head": lambda name, first: error(503)[:30],
    "200 short of its head": lambda name, first: send_with_length(b"")[:30],
    "nothing": lambda name, first: b"",
    "interim, then error": lambda name, first: b"HTTP/1.1 103 Hints\r\n\r\n"
    + error(500),
    "no stream, length": lambda name, first: send_with_length(ERROR_BODY),
    "no stream, chunks": lambda name, first: send_chunked(ERROR_BODY),
    "no stream, close": lambda name, first: send_close_delimited(ERROR_BODY),
    "empty, length": lambda name, first: send_with_length(b""),
    "empty, chunks": lambda name, first: send_chunked(),
    "empty, close": lambda name, first: send_close_delimited(b""),
    "error as an event": lambda name, first: send_chunked(b"data: " + ERROR_BODY),
    "error event": lambda name, first: send_chunked(
        b"event: error\ndata: " + ERROR_BODY
    ),
    "error behind a partial event": lambda name, first: send_close_delimited(
        encode("started", name, **STARTED)
        + partial_event(name, first)
        + error(500)
        + b"\n\n"
    ),
    "error behind its started event": lambda name, first: send_chunked(
        encode("started", name, **STARTED), error(500)
    ),
    "stream of another request": lambda name, first: send_chunked(
        foreign_events("another", first)
    ),
    "finished event alone": lambda name, first: send_chunked(finished(name)),
    "finished event of a part": lambda name, first: send_chunked(
        encode("started", name, **STARTED), encode("finished", name, count=first + 1)
    ),
    "token without a text": lambda name, first: send_chunked(
        encode("started", name, **STARTED),
        encode("token", name, index=first, text={"error": "FOREIGN"}),
    ),
    "token without an index": lambda name, first: send_chunked(
        encode("started", name, **STARTED),
        encode("token", name, index="FOREIGN", text="x"),
    ),
    "started event of other types": lambda name, first: send_chunked(
        encode("started", name, **{**STARTED, "prompt_blocks": {"a": "FOREIGN"}}),
    ),
    "event that is no object": lambda name, first: send_chunked(b"data: 500\n\n"),
    "event in no encoding": lambda name, first: send_chunked(
        encode("started", name, **STARTED), b"event: \xff\ndata: " + ERROR_BODY
    ),
}


def answer_in_place(kind, pieces=False):
    """Return a step that answers something else than the rest of the stream."""

    def step(request):
        data = ANSWERS[kind](*position(request))
        return Answer(in_pieces(data) if pieces else (data,))

    return step


def missing(request):
    """Answer that a stream is not known."""
    return Answer((error(404),))


def resume_missing(step):
    """Return a step that knows no stream to resume, and else does as another step."""
    return lambda request: (missing if request.method == "GET" else step)(request)


def send_truncated(framing, size, reset):
    """Return a step that sends the first bytes of a whole stream."""

    def step(request):
        name, first = position(request)
        answer = framing(events(name, first) + finished(name))
        return Answer((answer[:size],), reset)

    return step
