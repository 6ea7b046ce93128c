"""Boundaries of events, however a stream arrives and whatever its line ends."""

import pytest
from hypothesis import given, strategies as st

from rosemaryyoke.http1.event_stream import (
    EventSplitter,
    find_malformed_event,
    split_events,
)

LINE_ENDS = [b"\n", b"\r\n", b"\r"]
LINES = st.sampled_from([b"id: 1", b"data: x", b"data", b"event: a:b", b"data:"])
COMMENTS = st.sampled_from([b":", b": ping"])
EVENTS = st.lists(st.one_of(LINES, COMMENTS), min_size=1, max_size=3).filter(
    lambda lines: any(not line.startswith(b":") for line in lines)
)


def encode(events, line_end):
    """Return events, given by their lines, as a stream."""
    return b"".join(line_end.join([*lines, b"", b""]) for lines in events)


def feed_in_parts(data, cuts):
    """Feed data cut at some places; return the splitter and what it returned."""
    splitter = EventSplitter()
    places = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    returned = [splitter.feed(data[i:j]) for i, j in zip(places, places[1:])]
    return splitter, returned


@given(
    st.lists(EVENTS, max_size=4), st.sampled_from(LINE_ENDS), st.sets(st.integers(0))
)
def test_stream_of_whole_events_is_returned_whole(events, line_end, cuts):
    data = encode(events, line_end)
    splitter, returned = feed_in_parts(data, {cut % (len(data) + 1) for cut in cuts})
    assert b"".join(returned) + splitter.partial == data
    assert not splitter.is_within_event
    fields = [[line for line in lines if not line.startswith(b":")] for lines in events]
    assert [item for part in returned for item in split_events(part)] == fields


@given(st.lists(EVENTS, min_size=1, max_size=3), st.sampled_from(LINE_ENDS), st.data())
def test_stream_cut_within_an_event_is_recognized(events, line_end, data):
    stream = encode(events, line_end)
    whole = {len(encode(events[:count], line_end)) for count in range(len(events) + 1)}
    cut = data.draw(st.integers(0, len(stream)))
    splitter, _ = feed_in_parts(stream[:cut], set())
    starts = [size for size in whole if size <= cut]
    rest = stream[max(starts) : cut]
    ended_comments = rest.startswith(b":") and rest.endswith((b"\r", b"\n"))
    only_comments = ended_comments and all(
        line.startswith(b":") for line in rest.splitlines()
    )
    assert splitter.is_within_event == (cut not in whole and not only_comments)


@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_event_is_returned_as_soon_as_it_is_whole(line_end):
    event = encode([[b"id: 1", b"data: x"]], line_end)
    splitter = EventSplitter()
    for number in range(1, 4):
        returned = [splitter.feed(bytes([byte])) for byte in event]
        assert returned == [b""] * (len(event) - 1) + [event], number


@pytest.mark.parametrize(
    "partial",
    [b"\n", b"\r\n", b"\r", b": ping\n", b": ping\r\n: ping\r\n"],
)
def test_blank_lines_and_comments_are_no_event(partial):
    splitter = EventSplitter()
    splitter.feed(b"data: x\n\n" + partial)
    assert not splitter.is_within_event


# Guards against whole events of the standard that are taken for malformed ones.
@given(st.lists(EVENTS, max_size=4), st.sampled_from(LINE_ENDS))
def test_events_of_the_standard_are_not_malformed(events, line_end):
    data = encode([*events, [b"retry: 5", b"id"]], line_end)
    assert find_malformed_event(data) == len(data)
    marked = b"\xef\xbb\xbf" + data
    assert find_malformed_event(marked) == len(marked)


# Guards against an error response in a stream that is taken for an event (issue 52).
@given(
    st.lists(EVENTS, max_size=3),
    st.sampled_from(LINE_ENDS),
    st.sampled_from([b"HTTP/1.1 500 Failed", b"A: b", b'{"error": 1}', b"id: 1HTTP"]),
)
def test_malformed_event_is_found_where_it_begins(events, line_end, line):
    sound = encode(events, line_end)
    malformed = encode([[line, b"Content-Length: 2"], [b"data: x"]], line_end)
    assert find_malformed_event(sound + malformed) == len(sound)
