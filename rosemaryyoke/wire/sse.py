"""Server-sent events: writing and reading.

Source: the WHATWG HTML standard, "Server-sent events".
"""

from attrs import frozen

MAX_EVENT_BYTES = 1024 * 1024


@frozen
class SseEvent:
    """One event."""

    data: bytes
    id: str = ""
    event: str = ""


def encode_event(event: SseEvent) -> bytes:
    """Return the bytes of an event whose data holds no line break."""
    prefix = f"event: {event.event}\n" if event.event else ""
    if event.id:
        prefix += f"id: {event.id}\n"
    return b"%sdata: %s\n\n" % (prefix.encode(), event.data)


class SseParser:
    """Cut a stream of bytes into events."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[SseEvent]:
        """Take in bytes and return the events that they complete."""
        blocks = (self.buffer + data).split(b"\n\n")
        self.buffer = blocks.pop()
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        return [decode_event(block) for block in blocks if block]


def decode_event(block: bytes) -> SseEvent:
    """Return the event of its lines."""
    if block.startswith(b"data: ") and b"\n" not in block:
        return SseEvent(block[6:])
    fields = {b"data": b"", b"id": b"", b"event": b""}
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if name in fields:
            fields[name] = value.removeprefix(b" ").rstrip(b"\r")
    return SseEvent(fields[b"data"], fields[b"id"].decode(), fields[b"event"].decode())
