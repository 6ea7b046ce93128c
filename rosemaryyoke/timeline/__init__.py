"""The time line of events over all processes."""

from rosemaryyoke.timeline.merge import PlacedEvent, merge_events
from rosemaryyoke.timeline.page import page_html
from rosemaryyoke.timeline.trace import trace_json

__all__ = ["PlacedEvent", "merge_events", "page_html", "trace_json"]
