"""Merging of events from several processes."""

from attrs import frozen

from rosemaryyoke.core import Timestamp
from rosemaryyoke.core.hlc import MICROSECONDS_PER_SECOND


@frozen
class ProcessEvent:
    """An event with the name of its process."""

    time: Timestamp
    process: str
    kind: str
    request: str
    detail: dict[str, str | int | float]

    @property
    def time_s(self) -> float:
        """Return the wall-clock time in seconds."""
        return self.time.wall_us / MICROSECONDS_PER_SECOND


def parse_events(response: dict) -> list[ProcessEvent]:
    """Return the events in a host's response."""
    return [
        ProcessEvent(
            Timestamp(item["time"]["wall_us"], item["time"]["counter"]),
            response["process"],
            item["kind"],
            item["request"],
            item["detail"],
        )
        for item in response["events"]
    ]


def merge_events(responses: list[dict]) -> list[ProcessEvent]:
    """Return the events of all responses, sorted by hybrid logical clock."""
    events = [event for response in responses for event in parse_events(response)]
    return sorted(events, key=lambda event: (event.time, event.process))
