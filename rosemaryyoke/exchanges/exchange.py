"""One exchange on its way, and what its route and account allow it."""

import random
import time

from attrs import define, field, frozen

from rosemaryyoke.catalog import ClientAccount, Configuration, ExchangeRoute
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.exchanges.events import EventRelay
from rosemaryyoke.exchanges.messages import Ask
from rosemaryyoke.http1 import RequestMessage

RETRY_JITTER = (0.6, 1.4)
LEAST_RETRY_S = 0.05
WAIT_OBJECTIVES = 0.8  # a longer queue fills engines' memory and empties their caches
PRIORITY_STEP = 0.7


@frozen
class Refusal:
    """An answer of this host's own."""

    status: int
    code: str
    message: str
    retry_after_s: float | None = None


class Refused(Exception):
    """The exchange ends with a refusal."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


@define(eq=False)
class Exchange:
    """One request on its way."""

    message: RequestMessage
    ask: Ask
    route: ExchangeRoute
    account: ClientAccount | None
    configuration: Configuration
    caller: CallerConnection
    began_s: float
    until_s: float
    deadline_s: float
    relay: EventRelay | None = None
    body: bytes = b""
    sends: int = 0
    runs: int = 0
    may_have_run: bool = False
    excluded: set[str] = field(factory=set)
    resumed_from: bytes | None = None

    @property
    def request(self) -> str:
        """Return the request's identifier as logs show it."""
        return self.ask.request_id.decode("latin-1")

    def age_ms(self) -> int:
        """Return for how long the exchange has been under way."""
        return round((time.monotonic() - self.began_s) * 1000)

    @property
    def service(self) -> str:
        """Return the service that the budget counts the exchange for."""
        return self.route.targets[0].service


def retry_after_s(mean_s: float) -> float:
    """Return when to come back, spread so that callers do not come together."""
    return max(LEAST_RETRY_S, mean_s * random.uniform(*RETRY_JITTER))


def wait_bound_s(route: ExchangeRoute) -> float:
    """Return the longest queue that a request of a route is added to.

    Requests of less urgent routes are refused at shorter queues.
    """
    return WAIT_OBJECTIVES * route.objective_s / (1 + PRIORITY_STEP * route.priority)


def salt_scope(account: ClientAccount | None) -> bytes:
    """Return who may share cache entries: all, or an isolated account alone."""
    if account is not None and account.isolated:
        return b"a:" + account.name.encode()
    return b"s"


def priority(exchange: Exchange) -> int:
    """Return the priority of an exchange; an account's goes before its route's."""
    account = exchange.account
    if account is not None and account.priority is not None:
        return account.priority
    return exchange.route.priority
