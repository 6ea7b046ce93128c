"""Relay of server-sent events, in whole events.

Source: the WHATWG HTML standard, "Server-sent events".
"""

from attrs import define

from rosemaryyoke.exchanges.caller import CallerConnection

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@define(eq=False)
class EventRelay:
    """Splits an upstream's stream into events and writes them to the caller.

    Only whole events are written, so that another upstream can resume the stream after
    the last one.
    """

    caller: CallerConnection
    head: bytes = b""
    buffer: bytes = b""
    last_event_id: bytes | None = None
    events: int = 0
    started: bool = False

    def feed(self, data: bytes) -> None:
        """Buffer bytes and write the events that they complete."""
        self.buffer += data
        end = self.buffer.rfind(EVENT_END)
        if end < 0:
            return
        whole = self.buffer[: end + len(EVENT_END)]
        self.buffer = self.buffer[len(whole) :]
        self._record_events(whole)
        self.caller.write_events(self._take_head(), whole)

    def finish(self) -> None:
        """Write the remaining bytes and end the response."""
        head = self._take_head()
        if self.buffer:
            self.caller.write_events(head, self.buffer)
            head = b""
        self.caller.end_stream(head)

    def take_partial_event(self) -> bytes:
        """Remove and return the buffered part of an incomplete event."""
        partial, self.buffer = self.buffer, b""
        return partial

    def _take_head(self) -> bytes:
        head, self.head = self.head, b""
        self.started = True
        return head

    def _record_events(self, whole: bytes) -> None:
        for event in whole.split(EVENT_END):
            if not event:
                continue
            self.events += 1
            for line in event.split(b"\n"):
                if line.startswith(ID_FIELD):
                    self.last_event_id = line[len(ID_FIELD) :].strip()
