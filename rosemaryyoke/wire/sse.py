"""Encoder and parser for server-sent events.

Source: the WHATWG HTML standard, "Server-sent events".
"""

from attrs import frozen

from rosemaryyoke.http1.errors import ResponseTooLarge
from rosemaryyoke.http1.event_stream import EventSplitter, split_events
from rosemaryyoke.http1.responses import DEFAULT_RESPONSE_LIMITS
from rosemaryyoke.wire.errors import EventTooLarge

MAX_EVENTLESS_BYTES = DEFAULT_RESPONSE_LIMITS.body_bytes
DATA_START = b"data: "


@frozen
class SseEvent:
    """A server-sent event."""

    data: bytes
    id: str = ""
    event: str = ""


def encode_event(event: SseEvent) -> bytes:
    """Encode an event; its data must not contain a line break."""
    prefix = f"event: {event.event}\n" if event.event else ""
    if event.id:
        prefix += f"id: {event.id}\n"
    return b"%sdata: %s\n\n" % (prefix.encode(), event.data)


class SseParser:
    """Incremental parser that splits a byte stream into events.

    ``eventless_bytes`` counts what has come since the last event.
    """

    def __init__(self) -> None:
        self.splitter = EventSplitter()
        self.eventless_bytes = 0

    def feed(self, data: bytes) -> list[SseEvent]:
        """Add bytes and return the events that they complete.

        Raise ``EventTooLarge`` if an event exceeds the limit, or as much comes without
        an event.
        """
        try:
            whole = self.splitter.feed(data)
        except ResponseTooLarge as error:
            raise EventTooLarge(str(error)) from error
        events = [decode_event(lines) for lines in split_events(whole)]
        self.eventless_bytes = 0 if events else self.eventless_bytes + len(data)
        if self.eventless_bytes > MAX_EVENTLESS_BYTES:
            raise EventTooLarge("the stream is too large without an event")
        return events


def decode_event(lines: list[bytes]) -> SseEvent:
    """Decode one event from its lines."""
    if len(lines) == 1 and lines[0].startswith(DATA_START):
        return SseEvent(lines[0][len(DATA_START) :])
    fields = {b"data": b"", b"id": b"", b"event": b""}
    for line in lines:
        name, _, value = line.partition(b":")
        if name in fields:
            fields[name] = value.removeprefix(b" ")
    # Bytes that are no UTF-8 are replaced, as the standard says.
    identifier = fields[b"id"].decode(errors="replace")
    return SseEvent(
        fields[b"data"], identifier, fields[b"event"].decode(errors="replace")
    )
