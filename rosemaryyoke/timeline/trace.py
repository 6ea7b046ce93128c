"""Write events as JSON that trace viewers open.

Source of the form: "Trace Event Format", the Chromium project.
"""

import orjson

from rosemaryyoke.timeline.merge import PlacedEvent


def trace_json(events: list[PlacedEvent]) -> bytes:
    """Return a trace with one lane for each process."""
    lanes = {name: lane for lane, name in enumerate(processes(events), start=1)}
    items = [
        {"ph": "M", "pid": lane, "name": "process_name", "args": {"name": name}}
        for name, lane in lanes.items()
    ]
    items += [trace_item(event, lanes[event.process]) for event in events]
    return orjson.dumps({"traceEvents": items})


def processes(events: list[PlacedEvent]) -> list[str]:
    """Return the names of the processes in order."""
    return sorted({event.process for event in events})


def trace_item(event: PlacedEvent, lane: int) -> dict:
    """Return one instant event of a trace."""
    return {
        "ph": "i",
        "s": "p",
        "pid": lane,
        "tid": 0,
        "ts": event.time.wall_us,
        "name": event.kind,
        "args": {"request": event.request, **event.detail},
    }
