"""Read the JSON lines that hosts logged, and follow one request through them."""

from pathlib import Path
from typing import Iterable

import orjson
from attrs import field, frozen

HIDDEN = frozenset({"time", "level", "process", "module", "message", "request"})


@frozen
class LoggedEvent:
    """One line of a host's log."""

    at_s: float
    process: str
    message: str
    request: str
    fields: dict = field(factory=dict)

    def show(self) -> str:
        """Return the event as a line of text."""
        detail = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at_s:.3f} {self.process} {self.message} {detail}".rstrip()


def read_line(line: str) -> LoggedEvent | None:
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
    fields = {key: item for key, item in value.items() if key not in HIDDEN}
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
            events.extend(filter(None, map(read_line, lines)))
    return sorted(events, key=lambda event: event.at_s)


def follow_request(events: list[LoggedEvent], request: str) -> list[LoggedEvent]:
    """Return what was logged of a request, and of its upstreams meanwhile."""
    own = [event for event in events if event.request == request]
    if not own:
        return []
    upstreams = {event.fields.get("upstream") for event in own} - {None}
    first_s, last_s = own[0].at_s, own[-1].at_s
    beside = [
        event
        for event in events
        if not event.request
        and event.fields.get("upstream") in upstreams
        and first_s <= event.at_s <= last_s
    ]
    return sorted(own + beside, key=lambda event: event.at_s)
