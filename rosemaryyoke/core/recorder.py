"""Ring buffer of typed events, the source of the timeline."""

import threading
from collections import deque

from attrs import field, frozen

from rosemaryyoke.core.event_kinds import event_kinds
from rosemaryyoke.core.hlc import HybridClock, Timestamp

MAX_EVENTS = 20_000


@frozen
class Event:
    """An event of one process."""

    time: Timestamp
    kind: str
    request: str = ""
    detail: dict[str, str | int | float] = field(factory=dict)


class EventRecorder:
    """Keep the most recent events of this process."""

    def __init__(self, process: str, capacity: int = MAX_EVENTS):
        self.process = process
        self.clock = HybridClock()
        self.events: deque[Event] = deque(maxlen=capacity)
        self.lock = threading.Lock()

    def start(self) -> None:
        """Record that the process started."""
        self.record("process.started")

    def stop(self) -> None:
        """Record that the process is stopping."""
        self.record("process.stopped")

    def record(self, kind: str, request: str = "", **detail) -> Event:
        """Record an event at the current time; its kind must be registered."""
        event_kinds.get(kind)
        event = Event(self.clock.now(), kind, request, detail)
        with self.lock:
            self.events.append(event)
        return event

    def snapshot(self) -> list[Event]:
        """Return the recorded events, oldest first."""
        with self.lock:
            return list(self.events)
