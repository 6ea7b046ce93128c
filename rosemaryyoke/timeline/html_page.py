"""Rendering of events as a self-contained HTML page with a row per process."""

from pathlib import Path

import orjson

from rosemaryyoke.timeline.merge import ProcessEvent

TEMPLATE_PATH = Path(__file__).with_name("page.html")
EVENTS_PLACEHOLDER = "EVENTS;"


def render_page(events: list[ProcessEvent]) -> str:
    """Render the page; "<" is escaped so that no event ends the script element."""
    rows = [
        {
            "at": event.time_s,
            "process": event.process,
            "kind": event.kind,
            "request": event.request,
            "detail": event.detail,
        }
        for event in events
    ]
    data = orjson.dumps(rows).decode().replace("<", "\\u003c")
    return TEMPLATE_PATH.read_text(encoding="utf-8").replace(
        EVENTS_PLACEHOLDER, f"{data};", 1
    )
