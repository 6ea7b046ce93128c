"""Write events as one self-contained HTML page with a lane for each process."""

from pathlib import Path

import orjson

from rosemaryyoke.timeline.merge import PlacedEvent

TEMPLATE = Path(__file__).with_name("page.html")
PLACE = "EVENTS;"


def page_html(events: list[PlacedEvent]) -> str:
    """Return the page; text of events cannot end its script."""
    rows = [
        {
            "at": event.at_s,
            "process": event.process,
            "kind": event.kind,
            "request": event.request,
            "detail": event.detail,
        }
        for event in events
    ]
    data = orjson.dumps(rows).decode().replace("<", "\\u003c")
    return TEMPLATE.read_text(encoding="utf-8").replace(PLACE, f"{data};", 1)
