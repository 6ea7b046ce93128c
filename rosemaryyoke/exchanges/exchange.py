"""One exchange on its way, and what its route and account allow it."""

import random
import time

from attrs import define, field, frozen

from rosemaryyoke.catalog import ClientAccount, Configuration, ExchangeRoute
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.exchanges.events import EventRelay
from rosemaryyoke.exchanges.messages import RequestMetadata
from rosemaryyoke.http1 import RequestMessage

RETRY_AFTER_JITTER = (0.6, 1.4)
MIN_RETRY_AFTER_S = 0.05
QUEUE_WAIT_OBJECTIVES = (
    0.8  # a longer queue fills engines' memory and empties their caches
)
PRIORITY_WEIGHT = 0.7


@frozen
class ErrorResponse:
    """An answer of this host's own."""

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


class RequestRejected(Exception):
    """The exchange ends with a refusal."""

    def __init__(self, error: ErrorResponse):
        super().__init__(error.message)
        self.error = error


@define(eq=False)
class Exchange:
    """One request on its way."""

    message: RequestMessage
    metadata: RequestMetadata
    route: ExchangeRoute
    account: ClientAccount | None
    configuration: Configuration
    caller: CallerConnection
    started_s: float
    response_deadline_s: float
    deadline_s: float
    relay: EventRelay | None = None
    body: bytes = b""
    send_count: int = 0
    run_count: int = 0
    may_have_run: bool = False
    excluded_upstreams: set[str] = field(factory=set)
    resumed_from: bytes | None = None

    @property
    def request_id(self) -> str:
        """Return the request's identifier as logs show it."""
        return self.metadata.request_id.decode("latin-1")

    def age_ms(self) -> int:
        """Return for how long the exchange has been under way."""
        return round((time.monotonic() - self.started_s) * 1000)

    @property
    def service(self) -> str:
        """Return the service that the budget counts the exchange for."""
        return self.route.targets[0].service


def jittered_retry_after_s(mean_s: float) -> float:
    """Return when to come back, spread so that callers do not come together."""
    return max(MIN_RETRY_AFTER_S, mean_s * random.uniform(*RETRY_AFTER_JITTER))


def max_queue_wait_s(route: ExchangeRoute) -> float:
    """Return the longest queue that a request of a route is added to.

    Requests of less urgent routes are refused at shorter queues.
    """
    return (
        QUEUE_WAIT_OBJECTIVES
        * route.objective_s
        / (1 + PRIORITY_WEIGHT * route.priority)
    )


def cache_scope(account: ClientAccount | None) -> bytes:
    """Return who may share cache entries: all, or an isolated account alone."""
    if account is not None and account.isolated:
        return b"a:" + account.name.encode()
    return b"s"


def request_priority(exchange: Exchange) -> int:
    """Return the priority of an exchange; an account's goes before its route's."""
    account = exchange.account
    if account is not None and account.priority is not None:
        return account.priority
    return exchange.route.priority
