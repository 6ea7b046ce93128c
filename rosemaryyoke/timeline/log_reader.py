"""Reading of host logs in JSON lines and selection of the events of a request."""

from pathlib import Path
from typing import Iterable

import orjson
from attrs import field, frozen

STANDARD_FIELDS = frozenset(
    {"time", "level", "process", "module", "message", "request"}
)


@frozen
class LoggedEvent:
    """An event parsed from a line of a host's log."""

    time_s: float
    process: str
    message: str
    request: str
    fields: dict = field(factory=dict)

    def format(self) -> str:
        """Format the event as a line of text."""
        detail = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time_s:.3f} {self.process} {self.message} {detail}".rstrip()


def parse_line(line: str) -> LoggedEvent | None:
    """Parse a log line; return None if it holds no JSON object with a time.

    Text before the object, such as the prefix of a log collector, is ignored.
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
    """Return the events of several logs, sorted by time."""
    events = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            events.extend(filter(None, map(parse_line, lines)))
    return sorted(events, key=lambda event: event.time_s)


def select_request(events: list[LoggedEvent], request: str) -> list[LoggedEvent]:
    """Return the events of a request and concurrent events of its upstreams."""
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
