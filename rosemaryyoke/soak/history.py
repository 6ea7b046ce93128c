"""The recorded calls, executions and orders of a soak."""

import math
import threading
import time
from collections import defaultdict
from pathlib import Path

import orjson
from attrs import asdict, define, evolve, field, fields_dict, frozen
from attrs.filters import exclude

from rosemaryyoke.platform.standins.caching_engines import StaleUse
from rosemaryyoke.platform.standins.simulated_upstreams import NOT_CONNECTED

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


@frozen
class CallResult:
    """A request of a caller and its outcome.

    ``status`` is 0 if no answer head arrived; ``wait_s`` lasts until the answer ends,
    and ``limit_s`` until the caller's deadline or the route's shortest time-out.
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
    ending: str = NOT_CONNECTED
    limit_s: float = math.inf

    @property
    def ended_s(self) -> float:
        """Return when the answer ended."""
        return self.sent_s + self.wait_s


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
    software: str = "v1"


@frozen
class OrderExecution:
    """An order that an engine started to execute."""

    upstream: str
    holder: str
    fencing: int
    version: int
    at_s: float
    possibly_delayed: bool


@define
class Disruption:
    """An unplanned fault and the time that it lasts."""

    name: str
    started_s: float
    ended_s: float = math.inf


@frozen
class BrokenOff:
    """An upstream that ended its executions at a given time."""

    upstream: str
    at_s: float


@frozen
class CrashedRun:
    """A run that crashed its engine because of a part of its prompt, or its target."""

    part: str
    upstream: str
    at_s: float


@define
class NamedLimit:
    """The requests a second that an upstream names for a time."""

    upstream: str
    limit_per_s: float
    started_s: float
    ended_s: float = math.inf


@define
class BrittleTime:
    """A period in which a service's upstreams are brittle, and their crashes."""

    upstreams: int
    started_s: float
    ended_s: float = math.inf
    falls_s: list[float] = field(factory=list)


@define
class CutOff:
    """Hosts that are partitioned from all upstreams, and when."""

    hosts: list[str]
    started_s: float
    ended_s: float = math.inf


@define
class MarkedChange:
    """A route added while the store rejects hosts, and the hosts that lack it later."""

    route: str
    acknowledged_s: float
    checked_s: float = math.inf
    late_hosts: list[str] = field(factory=list)


@define(eq=False)
class History:
    """Written by callers, upstreams and the injector; read by the invariant checks."""

    calls: dict[str, CallResult] = field(factory=dict)
    executions: dict[str, list[Execution]] = field(factory=lambda: defaultdict(list))
    orders: list[OrderExecution] = field(factory=list)
    disruptions: list[Disruption] = field(factory=list)
    broken_off: list[BrokenOff] = field(factory=list)
    crashed_runs: list[CrashedRun] = field(factory=list)
    limits: list[NamedLimit] = field(factory=list)
    cuts: list[CutOff] = field(factory=list)
    brittle_times: list[BrittleTime] = field(factory=list)
    stale_uses: list[StaleUse] = field(factory=list)
    changes: list[MarkedChange] = field(factory=list)
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

    def begin_disruption(self, name: str) -> Disruption:
        """Record that an unplanned fault begins, and return its entry."""
        with self.lock:
            self.disruptions.append(Disruption(name, now_s()))
            return self.disruptions[-1]

    def record_broken_off(self, upstream: str) -> None:
        """Record that an upstream ends its executions now."""
        with self.lock:
            self.broken_off.append(BrokenOff(upstream, now_s()))

    def record_crashed_run(self, part: str, upstream: str) -> None:
        """Record that a part of a prompt crashes an upstream now."""
        with self.lock:
            self.crashed_runs.append(CrashedRun(part, upstream, now_s()))

    def begin_limit(self, upstream: str, limit_per_s: float) -> NamedLimit:
        """Record that an upstream names a limit, and return its entry."""
        with self.lock:
            self.limits.append(NamedLimit(upstream, limit_per_s, now_s()))
            return self.limits[-1]

    def begin_brittle_time(self, upstreams: int) -> BrittleTime:
        """Record that upstreams announce that they are brittle; return the entry."""
        with self.lock:
            self.brittle_times.append(BrittleTime(upstreams, now_s()))
            return self.brittle_times[-1]

    def begin_cut(self, hosts: list[str]) -> CutOff:
        """Record that hosts are cut off from all upstreams, and return the entry."""
        with self.lock:
            self.cuts.append(CutOff(hosts, now_s()))
            return self.cuts[-1]

    def begin_change(self, route: str) -> MarkedChange:
        """Record that the store accepts a route now, and return the entry."""
        with self.lock:
            self.changes.append(MarkedChange(route, now_s()))
            return self.changes[-1]

    def copy(self) -> "History":
        """Return a snapshot of the history."""
        with self.lock:
            executions = {
                request: list(runs) for request, runs in self.executions.items()
            }
            return History(
                dict(self.calls),
                executions,
                list(self.orders),
                [evolve(item) for item in self.disruptions],
                list(self.broken_off),
                list(self.crashed_runs),
                [evolve(item) for item in self.limits],
                [evolve(item) for item in self.cuts],
                [
                    evolve(item, falls_s=list(item.falls_s))
                    for item in self.brittle_times
                ],
                list(self.stale_uses),
                [
                    evolve(item, late_hosts=list(item.late_hosts))
                    for item in self.changes
                ],
            )

    def save_calls(self, path: Path) -> None:
        """Write all calls, without their bodies, as JSON lines."""
        with self.lock:
            calls = list(self.calls.values())
        fields = fields_dict(CallResult)
        path.write_bytes(
            b"".join(
                orjson.dumps(asdict(call, filter=exclude(fields["body"]))) + b"\n"
                for call in calls
            )
        )

    def calls_since(self, moment_s: float) -> list[CallResult]:
        """Return the calls sent at or after a given time."""
        with self.lock:
            return [call for call in self.calls.values() if call.sent_s >= moment_s]


def now_s() -> float:
    """Return the current time on the monotonic clock that all entries use."""
    return time.monotonic()
