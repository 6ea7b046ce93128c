"""Read the JSON lines that hosts logged, and follow one request through them."""

from pathlib import Path
from typing import Iterable

import orjson
from attrs import field, frozen

STANDARD_FIELDS = frozenset(
    {"time", "level", "process", "module", "message", "request"}
)


@frozen
class LoggedEvent:
    """One line of a host's log."""

    time_s: float
    process: str
    message: str
    request: str
    fields: dict = field(factory=dict)

    def format(self) -> str:
        """Return the event as a line of text."""
        detail = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time_s:.3f} {self.process} {self.message} {detail}".rstrip()


def parse_line(line: str) -> LoggedEvent | None:
    """Return the event of a line, or none where it holds no JSON object.

    What stands before the object, as a collector's prefix, is left out.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        value = orjson.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(value, dict) or "time" not in value:
        return None
    fields = {key: item for key, item in value.items() if key not in STANDARD_FIELDS}
    return LoggedEvent(
        value["time"],
        str(value.get("process", "")),
        str(value.get("message", "")),
        str(value.get("request", "")),
        fields,
    )


def read_logs(paths: Iterable[Path]) -> list[LoggedEvent]:
    """Return the events of several logs in the order of their times."""
    events = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            events.extend(filter(None, map(parse_line, lines)))
    return sorted(events, key=lambda event: event.time_s)


def select_request(events: list[LoggedEvent], request: str) -> list[LoggedEvent]:
    """Return what was logged of a request, and of its upstreams meanwhile."""
    request_events = [event for event in events if event.request == request]
    if not request_events:
        return []
    upstreams = {event.fields.get("upstream") for event in request_events} - {None}
    first_s, last_s = request_events[0].time_s, request_events[-1].time_s
    upstream_events = [
        event
        for event in events
        if not event.request
        and event.fields.get("upstream") in upstreams
        and first_s <= event.time_s <= last_s
    ]
    return sorted(request_events + upstream_events, key=lambda event: event.time_s)
