"""The recorded calls, executions and orders of a soak."""

import threading
import time
from collections import defaultdict

from attrs import define, field, frozen

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


@frozen
class CallResult:
    """A request of a caller and its outcome.

    ``status`` is 0 if no answer head arrived; ``wait_s`` lasts until the answer ends.
    """

    request: str
    kind: str
    host: str
    sent_s: float
    wait_s: float
    status: int = 0
    complete: bool = False
    echoed_request: str = ""
    signed_by: str = ""
    body: bytes = b""
    account: str = ""


@frozen
class Execution:
    """An execution of a request that an upstream started."""

    request: str
    upstream: str
    kind: str
    account: str
    has_authorization: bool
    first_event: int
    at_s: float


@frozen
class OrderExecution:
    """An order that an engine started to execute."""

    upstream: str
    holder: str
    fencing: int
    version: int
    at_s: float
    possibly_delayed: bool


@define(eq=False)
class History:
    """Written by callers and upstreams; read by the invariant checks."""

    calls: dict[str, CallResult] = field(factory=dict)
    executions: dict[str, list[Execution]] = field(factory=lambda: defaultdict(list))
    orders: list[OrderExecution] = field(factory=list)
    lock: threading.Lock = field(factory=threading.Lock)

    def record_call(self, call: CallResult) -> None:
        """Record the result of a call."""
        with self.lock:
            self.calls[call.request] = call

    def record_execution(self, execution: Execution) -> None:
        """Record an execution as it starts."""
        with self.lock:
            self.executions[execution.request].append(execution)

    def record_order(self, order: OrderExecution) -> None:
        """Record an order as its execution starts."""
        with self.lock:
            self.orders.append(order)

    def copy(self) -> "History":
        """Return a snapshot of the history."""
        with self.lock:
            executions = {
                request: list(runs) for request, runs in self.executions.items()
            }
            return History(dict(self.calls), executions, list(self.orders))

    def calls_since(self, moment_s: float) -> list[CallResult]:
        """Return the calls sent at or after a given time."""
        with self.lock:
            return [call for call in self.calls.values() if call.sent_s >= moment_s]


def now_s() -> float:
    """Return the current time on the monotonic clock that all entries use."""
    return time.monotonic()
