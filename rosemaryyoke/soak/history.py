"""What callers were told and what upstreams ran, by request."""

import threading
import time
from collections import defaultdict

from attrs import define, field, frozen

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


@frozen
class CallResult:
    """A caller's request and all that it learnt of it.

    ``status`` is 0 without the head of an answer; ``wait_s`` runs to its end.
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
    """A run that an upstream began."""

    request: str
    upstream: str
    kind: str
    account: str
    has_authorization: bool
    first_event: int
    at_s: float


@frozen
class OrderExecution:
    """An order that an engine began to carry out."""

    upstream: str
    holder: str
    fencing: int
    version: int
    at_s: float
    possibly_delayed: bool


@define(eq=False)
class History:
    """Filed by callers and upstreams, read by the checks."""

    calls: dict[str, CallResult] = field(factory=dict)
    executions: dict[str, list[Execution]] = field(factory=lambda: defaultdict(list))
    orders: list[OrderExecution] = field(factory=list)
    lock: threading.Lock = field(factory=threading.Lock)

    def record_call(self, call: CallResult) -> None:
        """File what a caller was told."""
        with self.lock:
            self.calls[call.request] = call

    def record_execution(self, execution: Execution) -> None:
        """File a run as it begins."""
        with self.lock:
            self.executions[execution.request].append(execution)

    def record_order(self, order: OrderExecution) -> None:
        """File an order as it begins."""
        with self.lock:
            self.orders.append(order)

    def copy(self) -> "History":
        """Return what is filed now."""
        with self.lock:
            executions = {
                request: list(runs) for request, runs in self.executions.items()
            }
            return History(dict(self.calls), executions, list(self.orders))

    def calls_since(self, moment_s: float) -> list[CallResult]:
        """Return what was told of requests sent after a moment."""
        with self.lock:
            return [call for call in self.calls.values() if call.sent_s >= moment_s]


def now_s() -> float:
    """Return the moment, on the clock of all entries."""
    return time.monotonic()
