"""Encoder and parser for server-sent events.

Source: the WHATWG HTML standard, "Server-sent events".
"""

from attrs import frozen

MAX_EVENT_BYTES = 1024 * 1024


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
    """Incremental parser that splits a byte stream into events."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[SseEvent]:
        """Add bytes and return the events that they complete."""
        blocks = (self.buffer + data).split(b"\n\n")
        self.buffer = blocks.pop()
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError("event exceeds MAX_EVENT_BYTES")
        return [decode_event(block) for block in blocks if block]


def decode_event(block: bytes) -> SseEvent:
    """Decode one event from its lines."""
    if block.startswith(b"data: ") and b"\n" not in block:
        return SseEvent(block[6:])
    fields = {b"data": b"", b"id": b"", b"event": b""}
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if name in fields:
            fields[name] = value.removeprefix(b" ").rstrip(b"\r")
    return SseEvent(fields[b"data"], fields[b"id"].decode(), fields[b"event"].decode())
