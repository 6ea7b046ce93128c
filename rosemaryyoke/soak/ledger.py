"""What callers were told and what upstreams ran, by request."""

import threading
import time
from collections import defaultdict

from attrs import define, field, frozen

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


@frozen
class Told:
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
    request_named: str = ""
    signed_by: str = ""
    body: bytes = b""
    account: str = ""


@frozen
class Ran:
    """A run that an upstream began."""

    request: str
    upstream: str
    kind: str
    account: str
    key_shown: bool
    first_event: int
    at_s: float


@frozen
class Ordered:
    """An order that an engine began to carry out."""

    upstream: str
    holder: str
    fencing: int
    version: int
    at_s: float
    excused: bool


@define(eq=False)
class Ledger:
    """Filed by callers and upstreams, read by the checks."""

    told: dict[str, Told] = field(factory=dict)
    ran: dict[str, list[Ran]] = field(factory=lambda: defaultdict(list))
    orders: list[Ordered] = field(factory=list)
    lock: threading.Lock = field(factory=threading.Lock)

    def tell(self, told: Told) -> None:
        """File what a caller was told."""
        with self.lock:
            self.told[told.request] = told

    def run(self, ran: Ran) -> None:
        """File a run as it begins."""
        with self.lock:
            self.ran[ran.request].append(ran)

    def order(self, order: Ordered) -> None:
        """File an order as it begins."""
        with self.lock:
            self.orders.append(order)

    def copy(self) -> "Ledger":
        """Return what is filed now."""
        with self.lock:
            ran = {request: list(runs) for request, runs in self.ran.items()}
            return Ledger(dict(self.told), ran, list(self.orders))

    def since(self, moment_s: float) -> list[Told]:
        """Return what was told of requests sent after a moment."""
        with self.lock:
            return [told for told in self.told.values() if told.sent_s >= moment_s]


def now_s() -> float:
    """Return the moment, on the clock of all entries."""
    return time.monotonic()
