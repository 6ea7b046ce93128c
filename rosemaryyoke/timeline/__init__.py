"""Timeline of the events of all processes."""

from rosemaryyoke.timeline.html_page import render_page
from rosemaryyoke.timeline.merge import ProcessEvent, merge_events
from rosemaryyoke.timeline.trace import encode_trace

__all__ = ["ProcessEvent", "encode_trace", "merge_events", "render_page"]
