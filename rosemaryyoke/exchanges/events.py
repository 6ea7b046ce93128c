"""Relay of server-sent events, in whole events."""

from typing import Collection

from attrs import define, field

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1.errors import MalformedEvent, ResponseTooLarge
from rosemaryyoke.http1.event_stream import (
    MAX_EVENT_BYTES,
    EventSplitter,
    find_malformed_event,
    split_events,
)

ID_FIELD = b"id:"


@define(eq=False)
class EventRelay:
    """Splits an upstream's stream into events and writes them to the caller.

    Only whole events are written, so that another upstream can resume the stream after
    the last one. ``other_fields`` are the names of fields that upstreams add to those
    of the standard.
    """

    caller: CallerConnection
    other_fields: Collection[bytes] = ()
    head: bytes = b""
    splitter: EventSplitter = field(factory=EventSplitter)
    last_event_id: bytes | None = None
    events: int = 0
    started: bool = False
    bytes_without_event: int = 0

    def feed(self, data: bytes) -> None:
        """Buffer bytes and write the events that they complete.

        Raise ``ResponseTooLarge`` if an event, or the bytes between two events, exceed
        ``MAX_EVENT_BYTES``, and ``MalformedEvent`` if an event has an unknown field:
        an upstream that fails may write an error response into its stream.
        """
        whole = self.splitter.feed(data)
        end = find_malformed_event(whole, self.other_fields)
        if end:
            self._write_events(whole[:end])
        if end < len(whole):
            raise MalformedEvent("the stream holds what is no event")

    def _write_events(self, whole: bytes) -> None:
        events_before = self.events
        self._record_events(whole)
        if self.events > events_before:
            self.bytes_without_event = 0
        else:
            self.bytes_without_event += len(whole)
        if self.bytes_without_event > MAX_EVENT_BYTES:
            raise ResponseTooLarge("too many bytes without an event")
        self.caller.write_events(self._take_head(), whole)

    @property
    def buffered_bytes(self) -> int:
        """Return the size of what is not yet written."""
        return len(self.splitter.partial)

    @property
    def is_within_event(self) -> bool:
        """Return whether the stream so far ends within an event."""
        return self.splitter.is_within_event

    def finish(self) -> None:
        """End the response; comments behind the last event are written too."""
        head = self._take_head()
        if self.splitter.partial:
            self.caller.write_events(head, self.take_partial_event())
            head = b""
        self.caller.end_stream(head)

    def take_partial_event(self) -> bytes:
        """Remove and return the buffered part of an incomplete event."""
        partial, self.splitter.partial = self.splitter.partial, b""
        return partial

    def restore_partial_event(self, partial: bytes) -> None:
        """Continue within an event that an upstream has begun."""
        self.splitter.partial = partial

    def _take_head(self) -> bytes:
        head, self.head = self.head, b""
        self.started = True
        return head

    def _record_events(self, whole: bytes) -> None:
        for fields in split_events(whole):
            self.events += 1
            for line in fields:
                if line.startswith(ID_FIELD):
                    self.last_event_id = line[len(ID_FIELD) :].strip()
