"""Messages of a weights roll-out."""

import enum
from typing import Protocol

from attrs import frozen
from result import Result

from rosemaryyoke.http1 import Address

REPORT_TIMEOUT_S = 1.0


@frozen
class EngineReport:
    """An engine's state: versions by model, and the number of accepted orders.

    ``prefilling`` is the number of requests whose prompts are queued or being read.
    """

    weights: dict[str, int]
    loading: bool
    orders: int
    prefilling: int = 0


class RunningRequests(enum.Enum):
    """How an engine treats running requests when it loads weights."""

    FINISH_FIRST = "finish first"
    CONTINUE = "go on under the new version"


@frozen
class WeightsOrder:
    """An order to load a version of a model's weights.

    The engine refuses it unless it has accepted exactly ``expected_orders`` before.
    """

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
    """What the sender knows of an order after the call."""

    ACCEPTED = "accepted"
    BUSY = "busy"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


class EngineClient(Protocol):
    """Interface for calls to engines."""

    def report(
        self, address: Address, timeout_s: float = REPORT_TIMEOUT_S
    ) -> Result[EngineReport, str]:
        """Ask an engine for its state."""

    def order(self, order: WeightsOrder) -> OrderOutcome:
        """Send an order."""
