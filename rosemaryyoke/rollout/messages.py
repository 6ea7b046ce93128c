"""Typed messages of a weights roll-out."""

import enum
from typing import Protocol

from attrs import frozen
from result import Result

from rosemaryyoke.http1 import Address


@frozen
class EngineReport:
    """An engine's state: versions by model, and how many orders it accepted."""

    weights: dict[str, int]
    loading: bool
    orders: int


class RunningRequests(enum.Enum):
    """What becomes of the requests that run while an engine loads weights."""

    FINISH_FIRST = "finish first"
    CONTINUE = "go on under the new version"


@frozen
class WeightsOrder:
    """An order to load a version; refused unless ``expected_orders`` were accepted."""

    upstream: str
    address: Address
    model: str
    version: int
    holder: str
    fencing: int
    expected_orders: int
    timeout_s: float
    running: RunningRequests = RunningRequests.CONTINUE


class OrderOutcome(enum.Enum):
    """What is known of an order after its call."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


class EngineClient(Protocol):
    """Calls to engines."""

    def report(self, address: Address) -> Result[EngineReport, str]:
        """Ask an engine for its state."""

    def order(self, order: WeightsOrder) -> OrderOutcome:
        """Send an order."""
