"""Merge the events of many processes into one order."""

from attrs import frozen

from rosemaryyoke.core import Timestamp
from rosemaryyoke.core.hlc import MICROSECONDS_PER_SECOND


@frozen
class PlacedEvent:
    """An event and the process that it happened in."""

    time: Timestamp
    process: str
    kind: str
    request: str
    detail: dict[str, str | int | float]

    @property
    def at_s(self) -> float:
        """Return the wall time in seconds."""
        return self.time.wall_us / MICROSECONDS_PER_SECOND


def read_events(answer: dict) -> list[PlacedEvent]:
    """Return the events of a host's answer."""
    return [
        PlacedEvent(
            Timestamp(item["time"]["wall_us"], item["time"]["counter"]),
            answer["process"],
            item["kind"],
            item["request"],
            item["detail"],
        )
        for item in answer["events"]
    ]


def merge_events(answers: list[dict]) -> list[PlacedEvent]:
    """Return the events of all answers in the order of their clocks."""
    events = [event for answer in answers for event in read_events(answer)]
    return sorted(events, key=lambda event: (event.time, event.process))
