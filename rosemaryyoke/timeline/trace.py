"""Encoding of events for trace viewers.

Source of the format: "Trace Event Format", the Chromium project.
"""

import orjson

from rosemaryyoke.timeline.merge import ProcessEvent


def encode_trace(events: list[ProcessEvent]) -> bytes:
    """Return a JSON trace in which each process has its own process ID."""
    process_ids = {
        name: process_id
        for process_id, name in enumerate(process_names(events), start=1)
    }
    trace_events = [
        {"ph": "M", "pid": process_id, "name": "process_name", "args": {"name": name}}
        for name, process_id in process_ids.items()
    ]
    trace_events += [
        instant_event(event, process_ids[event.process]) for event in events
    ]
    return orjson.dumps({"traceEvents": trace_events})


def process_names(events: list[ProcessEvent]) -> list[str]:
    """Return the distinct process names, sorted."""
    return sorted({event.process for event in events})


def instant_event(event: ProcessEvent, process_id: int) -> dict:
    """Return an instant event of the trace format."""
    return {
        "ph": "i",
        "s": "p",
        "pid": process_id,
        "tid": 0,
        "ts": event.time.wall_us,
        "name": event.kind,
        "args": {"request": event.request, **event.detail},
    }
