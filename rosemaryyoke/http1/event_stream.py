"""Boundaries of events in an event stream.

Source: the WHATWG HTML standard, "Server-sent events", "Parsing an event stream". A
line ends with CR LF, LF or CR; a blank line ends an event.
"""

import re
from typing import Collection, Iterator

from attrs import define

from rosemaryyoke.http1.errors import ResponseTooLarge

MAX_EVENT_BYTES = 1024 * 1024
# The last pattern leaves a final CR alone, since the LF of its line end may follow.
EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r\n?|\r?\n\r(?=[^\n])")
MAX_EVENT_END_BYTES = 4
USUAL_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
COMMENT_START = b":"
LINE_END_BYTES = (b"\r", b"\n")
COMMENT_NAME = b""  # what precedes the first colon of a comment
FIELD_NAMES = frozenset({b"data", b"event", b"id", b"retry", COMMENT_NAME})
BYTE_ORDER_MARK = b"\xef\xbb\xbf"  # may precede the first line of a stream


@define(eq=False)
class EventSplitter:
    """Splits a byte stream after its last whole event.

    ``partial`` holds the bytes behind that event.
    """

    partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the whole events that they complete.

        Raise ``ResponseTooLarge`` if an event exceeds ``MAX_EVENT_BYTES``.
        """
        searched = max(0, len(self.partial) - MAX_EVENT_END_BYTES)
        received = self.partial + data
        if received.endswith(USUAL_EVENT_ENDS):
            self.partial = b""
            return received
        end = 0
        for match in EVENT_END.finditer(received, searched):
            end = match.end()
        self.partial = received[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ResponseTooLarge("an event is too large")
        return received[:end]

    @property
    def is_within_event(self) -> bool:
        """Return whether the bytes so far end within an event."""
        if not self.partial:
            return False
        if not self.partial.endswith(LINE_END_BYTES):
            return True
        return any(map(is_field, self.partial.splitlines()))


def is_field(line: bytes) -> bool:
    """Return whether a line belongs to an event: it is neither blank nor a comment."""
    return bool(line) and not line.startswith(COMMENT_START)


def split_events(whole: bytes) -> Iterator[list[bytes]]:
    """Yield the fields of each event, given bytes that end with a whole event."""
    fields: list[bytes] = []
    for line in whole.splitlines():
        if not line:
            if fields:
                yield fields
                fields = []
        elif not line.startswith(COMMENT_START):
            fields.append(line)


def field_name(line: bytes) -> bytes:
    """Return the name of a field, which ends with the first colon or the line."""
    return line.partition(b":")[0].removeprefix(BYTE_ORDER_MARK)


def has_known_fields(whole: bytes, other_names: Collection[bytes]) -> bool:
    """Return whether whole events consist of standard fields and those named."""
    names = map(field_name, filter(is_field, whole.splitlines()))
    return all(name in FIELD_NAMES or name in other_names for name in names)


def find_malformed_event(whole: bytes, other_names: Collection[bytes] = ()) -> int:
    """Return where the first event with an unknown field begins, or else the end.

    ``other_names`` are those of fields that upstreams send beside the standard ones.
    """
    if has_known_fields(whole, other_names):
        return len(whole)
    start = 0
    for match in EVENT_END.finditer(whole):
        if not has_known_fields(whole[start : match.end()], other_names):
            break
        start = match.end()
    return start
