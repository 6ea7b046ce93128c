"""Route an exchange: find its route and account, place it, send it, answer it."""

import random
import time
from urllib.parse import urlsplit

from attrs import define, field, frozen
from result import Err

from rosemaryyoke.catalog import (
    STREAM,
    Catalog,
    ClientAccount,
    Configuration,
    ExchangeRoute,
)
from rosemaryyoke.core.logs import event
from rosemaryyoke.exchanges.attempt import (
    Answered,
    Attempt,
    Failed,
    NotRun,
    Outcome,
    Streamed,
)
from rosemaryyoke.exchanges.caller import CallerConnection, CallerGone
from rosemaryyoke.exchanges.connections import ConnectionPool
from rosemaryyoke.exchanges.events import EventRelay
from rosemaryyoke.exchanges.messages import Ask, Dialect, Directive, MalformedAsk
from rosemaryyoke.exchanges.patience import patience_s
from rosemaryyoke.fleet import (
    Chooser,
    Fleet,
    NoUpstream,
    Placement,
    PlacementRequest,
    PromptRead,
    RetryBudget,
)
from rosemaryyoke.fleet.state import PREFILL_TOKENS_PER_S
from rosemaryyoke.http1 import Address, RequestMessage
from rosemaryyoke.http1.messages import encode_headers, end_to_end, find_header

HTTP_OK = 200
HTTP_SERVER_ERROR = 500
UNKNOWN_RETRY_S = 0.3
START_WAIT_S = 0.04  # a store that answers does so within some milliseconds
RETRY_JITTER = (0.6, 1.4)
LEAST_RETRY_S = 0.05
STALL_S = 1.0  # between events of a stream that another upstream may go on with
STORE_LEAST_TOKENS = 1
WAIT_OBJECTIVES = 0.8  # a longer queue fills engines' memory and empties their caches
PRIORITY_STEP = 0.7
MAX_SENDS = 4  # to upstreams, those that refused included
WEIGHTS_MARGIN_S = 1.5  # a request begins some time after it was placed
ANSWER_MARGIN_S = 0.02  # an answer at the time limit has to be written yet


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


@define(eq=False)
class Forwarder:
    """Forwards exchanges of one host."""

    data_centre: str
    catalog: Catalog
    fleet: Fleet
    dialect: Dialect
    pool: ConnectionPool
    budget: RetryBudget
    metrics: object
    weights_bound_s: float
    chooser: Chooser = field(factory=Chooser)

    def handle(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Answer one request; raise ``CallerGone`` where nobody waits for it."""
        began_s = time.monotonic()
        try:
            exchange = self.open(message, caller, began_s)
            self.run(exchange)
        except Refused as refused:
            self.refuse(caller, refused.refusal)

    def open(
        self, message: RequestMessage, caller: CallerConnection, began_s: float
    ) -> Exchange:
        """Return the exchange of a request; raise ``Refused``."""
        if not self.catalog.wait_known(START_WAIT_S):
            text = "this host knows no configuration yet"
            raise Refused(Refusal(503, "no_configuration", text, UNKNOWN_RETRY_S))
        configuration = self.catalog.configuration
        ask = self.read_ask(message)
        caller.request_id = ask.request_id
        route = self.find_route(configuration, message)
        account = self.find_account(configuration, route, ask)
        deadline_s = began_s + (ask.deadline_s or route.timeout_s)
        until_s = min(deadline_s, began_s + route.timeout_s) - ANSWER_MARGIN_S
        relay = EventRelay(caller) if route.kind == STREAM else None
        caller.write_until_s = deadline_s
        return Exchange(
            message,
            ask,
            route,
            account,
            configuration,
            caller,
            began_s,
            until_s,
            deadline_s,
            relay,
            message.body,
        )

    def read_ask(self, message: RequestMessage) -> Ask:
        """Return what the caller asks; raise ``Refused``."""
        try:
            return self.dialect.read_ask(message.headers)
        except MalformedAsk as error:
            raise Refused(Refusal(400, "malformed_header", str(error))) from error

    def find_route(
        self, configuration: Configuration, message: RequestMessage
    ) -> ExchangeRoute:
        """Return the request's route; raise ``Refused``."""
        host = find_header(message.headers, b"host")
        if host is None or not message.target.startswith(b"/"):
            raise Refused(Refusal(400, "malformed_request", "a host and path needed"))
        name = host.decode("latin-1").lower().partition(":")[0]
        path = urlsplit(message.target.decode("latin-1")).path
        route = configuration.find_route(name, path)
        if route is not None:
            return route
        raise Refused(self.unknown(404, "unknown_route", "no route has this path"))

    def find_account(
        self, configuration: Configuration, route: ExchangeRoute, ask: Ask
    ) -> ClientAccount | None:
        """Return the account of the request's key; raise ``Refused``."""
        if route.public or not configuration.accounts:
            return None
        account = configuration.accounts_by_key.get(ask.key or "")
        if account is not None:
            return account
        raise Refused(self.unknown(401, "unknown_key", "the API key is not known"))

    def unknown(self, status: int, code: str, message: str) -> Refusal:
        """Return a refusal for what the configuration in force does not hold."""
        if self.catalog.refuses_unknown():
            return Refusal(status, code, message)
        return Refusal(503, "stale_configuration", message, UNKNOWN_RETRY_S)

    def run(self, exchange: Exchange) -> None:
        """Send the exchange until it is answered, or refuse it."""
        self.budget.earn(exchange.service, exchange.began_s)
        while True:
            placement = self.place(exchange)
            outcome = self.attempt(exchange, placement)
            if isinstance(outcome, Streamed):
                self.log_answer(exchange, HTTP_OK)
                return
            if self.may_send_again(exchange, outcome):
                continue
            self.conclude(exchange, outcome)
            return

    def place(self, exchange: Exchange) -> Placement:
        """Return an upstream for the exchange; raise ``Refused``."""
        now_s = time.monotonic()
        if now_s >= exchange.until_s:
            raise Refused(self.time_is_up(exchange))
        request = self.placement_request(exchange, now_s)
        with self.fleet.lock:
            states = self.current(exchange, self.states(exchange), now_s)
            chosen = self.chooser.choose(request, states, exchange.excluded, now_s)
        if isinstance(chosen, Err):
            raise Refused(self.no_upstream(exchange, chosen.err_value))
        return chosen.ok_value

    def placement_request(self, exchange: Exchange, now_s: float) -> PlacementRequest:
        """Return what placement has to know of an exchange."""
        wanted = self.catalog.wanted.get(exchange.ask.model, 0)
        return PlacementRequest(
            exchange.ask,
            salt_scope(exchange.account),
            len(exchange.body),
            self.data_centre,
            exchange.until_s - now_s,
            wanted,
            self.fleet.store if exchange.configuration.find_store() else None,
            wait_bound_s(exchange.route),
        )

    def states(self, exchange: Exchange) -> list:
        """Return the upstreams of a target that is drawn by the route's shares."""
        targets = exchange.route.targets
        weights = [target.weight for target in targets]
        if len(targets) == 1 or sum(weights) <= 0:
            return self.fleet.of_service(targets[0].service)
        target = random.choices(targets, weights)[0]
        return self.fleet.of_service(target.service)

    def current(self, exchange: Exchange, states: list, now_s: float) -> list:
        """Return the upstreams whose weights may still be used."""
        model = exchange.ask.model
        bound_s = self.weights_bound_s - WEIGHTS_MARGIN_S
        return [
            state
            for state in states
            if model not in state.weights
            or self.catalog.outdated_s(model, state.weights[model], now_s) < bound_s
        ]

    def attempt(self, exchange: Exchange, placement: Placement) -> Outcome:
        """Send the exchange to an upstream and take in what came of it."""
        state = placement.state
        exchange.sends += 1
        exchange.excluded.add(state.upstream.name)
        self.log_placement(exchange, placement)
        saves = self.saves(exchange, placement)
        request = self.encode(exchange, placement, saves)
        read = PromptRead(state.upstream.name, placement.parts, saves)
        tokens = exchange.ask.prompt_tokens + exchange.ask.output_tokens
        prefill_tokens = int(placement.read_s * PREFILL_TOKENS_PER_S)
        work = self.fleet.begin(state, tokens, prefill_tokens)
        now_s = time.monotonic()
        attempt = Attempt(
            state,
            request,
            exchange.ask.request_id,
            self.dialect,
            self.pool,
            exchange.caller,
            exchange.relay,
            exchange.until_s,
            now_s + patience_s(exchange, state, now_s),
            STALL_S if exchange.route.resumable else 0.0,
        )

        def first_event() -> None:
            self.fleet.prefilled(work, read)
            self.metrics.observe(
                "first_event_seconds", time.monotonic() - exchange.began_s
            )

        attempt.on_first_event = first_event
        try:
            outcome = attempt.run()
        finally:
            self.fleet.end(state, work)
        self.take_outcome(exchange, placement, attempt, outcome)
        return outcome

    def saves(self, exchange: Exchange, placement: Placement) -> bool:
        """Tell whether the engine is to save what it reads to the KV cache store."""
        if self.cache_store(exchange) is None:
            return False
        now_s = time.monotonic()
        with self.fleet.lock:
            return not all(
                self.fleet.store.holds(part, now_s) for part in placement.parts[:-1]
            )

    def encode(self, exchange: Exchange, placement: Placement, saves: bool) -> bytes:
        """Return the bytes of the request for an upstream."""
        ask, state = exchange.ask, placement.state
        weights = state.weights.get(ask.model) if ask.model else None
        store = self.cache_store(exchange) if placement.salt else None
        directive = Directive(
            instance=state.upstream.name,
            deadline_s=exchange.deadline_s - time.monotonic(),
            account=exchange.account.name if exchange.account else None,
            hides_key=bool(exchange.configuration.accounts),
            weights=weights,
            priority=priority(exchange) if state.traits is not None else None,
            salt=placement.salt or None,
            fetch_from=self.fetch_source(exchange, placement) or store,
            save_to=store if saves else None,
            last_event=exchange.resumed_from or ask.last_event,
        )
        message = exchange.message
        headers = self.dialect.forward_headers(message.headers, directive)
        if exchange.body or message.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", b"%d" % len(exchange.body)))
        first_line = b"%s %s HTTP/1.1" % (message.method, message.target)
        return encode_headers(first_line, headers) + exchange.body

    def fetch_source(self, exchange: Exchange, placement: Placement) -> Address | None:
        """Return an engine that holds more of the prompt than the chosen one, if any.

        Engines' links are faster than that of the KV cache store.
        """
        shared = exchange.ask.shared_tokens
        if shared < STORE_LEAST_TOKENS or placement.hit_tokens >= shared:
            return None
        own, now_s = placement.state, time.monotonic()
        with self.fleet.lock:
            holders = [
                state
                for state in self.fleet.of_service(own.upstream.service)
                if state is not own
                and state.usable(now_s)
                and state.belief.held_tokens(placement.parts[:-1]) >= shared
            ]
        if not holders:
            return None
        return random.choice(holders).upstream.address

    def cache_store(self, exchange: Exchange) -> Address | None:
        """Return the KV cache store for a prompt whose shared parts are worth it."""
        if exchange.ask.shared_tokens < STORE_LEAST_TOKENS:
            return None
        store = exchange.configuration.find_store()
        return store.store if store is not None else None

    def take_outcome(
        self,
        exchange: Exchange,
        placement: Placement,
        attempt: Attempt,
        outcome: Outcome,
    ) -> None:
        """Learn from an outcome, and note whether the request may have run."""
        state, now_s = placement.state, time.monotonic()
        with self.fleet.lock:
            if isinstance(outcome, Failed):
                if outcome.may_have_run:
                    exchange.may_have_run = True
                    exchange.runs += 1
                if not outcome.out_of_time:
                    state.failed(now_s)
                    state.answered(False, now_s)
            elif isinstance(outcome, NotRun):
                self.take_not_run(exchange, placement, outcome)
            else:
                success = isinstance(outcome, Streamed) or not is_failure(outcome)
                exchange.runs += 1
                state.answered(success, now_s)
        if isinstance(outcome, (Failed, NotRun)):
            self.log_outcome(exchange, placement, outcome)

    def take_not_run(
        self, exchange: Exchange, placement: Placement, outcome: NotRun
    ) -> None:
        """Learn from a refusal: other weights, another instance, or a full queue."""
        state, now_s = placement.state, time.monotonic()
        version = outcome.facts.weights
        model = exchange.ask.model
        if version is not None and state.weights.get(model) != version:
            state.take_weights(model, version, now_s)
        else:
            state.failed(now_s)

    def log_answer(self, exchange: Exchange, status: int) -> None:
        """Log an upstream's answer that the caller was given."""
        age_ms = exchange.age_ms()
        event("answered", request=exchange.request, status=status, age_ms=age_ms)
        self.metrics.observe("answer_seconds", age_ms / 1000, kind=exchange.route.kind)

    def log_placement(self, exchange: Exchange, placement: Placement) -> None:
        """Log where a request is sent, and what that was decided on."""
        configuration = exchange.configuration
        event(
            "placed",
            request=exchange.request,
            route=exchange.route.name,
            account=exchange.account.name if exchange.account else None,
            configuration=configuration.version,
            upstream=placement.state.upstream.name,
            send=exchange.sends,
            hit_tokens=placement.hit_tokens,
            wait_ms=round(placement.wait_s * 1000),
            cost_ms=round(placement.cost_s * 1000),
            resumed_from=exchange.resumed_from,
            left_ms=round((exchange.until_s - time.monotonic()) * 1000),
        )

    def log_outcome(
        self, exchange: Exchange, placement: Placement, outcome: Failed | NotRun
    ) -> None:
        """Log an attempt that gave no answer."""
        fields = {"not_run": isinstance(outcome, NotRun)}
        if isinstance(outcome, NotRun):
            fields["status"] = outcome.status
            fields["weights"] = outcome.facts.weights
        else:
            fields["reason"] = outcome.reason
            fields["may_have_run"] = outcome.may_have_run
        event(
            "attempt failed",
            request=exchange.request,
            upstream=placement.state.upstream.name,
            age_ms=exchange.age_ms(),
            **fields,
        )

    def may_send_again(self, exchange: Exchange, outcome: Outcome) -> bool:
        """Tell whether the exchange goes on at another upstream."""
        route = exchange.route
        if exchange.sends >= MAX_SENDS or time.monotonic() >= exchange.until_s:
            return False
        if isinstance(outcome, Answered):
            if not is_failure(outcome) or not route.repeatable:
                return False
        if isinstance(outcome, Failed):
            if outcome.out_of_time:
                return False
            if outcome.may_have_run and not route.repeatable:
                return False
            if not self.prepare_resume(exchange):
                return False
            if not outcome.may_have_run:
                return True
        if exchange.runs >= route.max_attempts:
            return False
        return self.budget.spend(exchange.service, time.monotonic())

    def prepare_resume(self, exchange: Exchange) -> bool:
        """Let a stream go on after its last whole event, if it may."""
        relay = exchange.relay
        if relay is None:
            return True
        relay.drop_partial()
        if not relay.events:
            return True
        if not exchange.route.resumable or relay.last_id is None:
            return False
        exchange.resumed_from = relay.last_id
        return True

    def conclude(self, exchange: Exchange, outcome: Outcome) -> None:
        """Give the caller the last outcome."""
        if exchange.caller.streaming:
            event("stream cut", request=exchange.request, age_ms=exchange.age_ms())
            raise CallerGone("the stream broke off and cannot go on")
        if isinstance(outcome, Answered):
            message = outcome.message
            headers = [
                item
                for item in end_to_end(message.headers)
                if item[0].lower() != b"content-length"
            ]
            exchange.caller.answer(
                message.status, message.reason, headers, message.body
            )
            self.log_answer(exchange, message.status)
            return
        raise Refused(self.refusal_after(exchange, outcome))

    def refusal_after(self, exchange: Exchange, outcome: Failed | NotRun) -> Refusal:
        """Return the refusal that the last outcome leads to."""
        if isinstance(outcome, Failed) and outcome.out_of_time:
            return self.time_is_up(exchange)
        if exchange.may_have_run or exchange.runs:
            return Refusal(502, "upstream_failed", "the upstream gave no whole answer")
        return Refusal(
            503, "not_run", "no upstream took the request", retry_after_s(0.2)
        )

    def time_is_up(self, exchange: Exchange) -> Refusal:
        """Return the refusal at the end of the caller's time."""
        if exchange.may_have_run or exchange.sends:
            return Refusal(504, "timeout", "the upstream did not answer in time")
        return Refusal(503, "not_run", "no time was left", retry_after_s(0.2))

    def no_upstream(self, exchange: Exchange, reason: NoUpstream) -> Refusal:
        """Return the refusal where no upstream is to be had."""
        if exchange.may_have_run or exchange.runs:
            return Refusal(502, "upstream_failed", reason.message)
        wait_s = retry_after_s(reason.retry_after_s)
        return Refusal(503, "no_upstream", reason.message, wait_s)

    def refuse(self, caller: CallerConnection, refusal: Refusal) -> None:
        """Answer with a refusal, or break off a stream that has begun."""
        if caller.streaming:
            raise CallerGone(refusal.message)
        self.metrics.count("refusals_total", code=refusal.code)
        event(
            "refused",
            request=caller.request_id.decode("latin-1"),
            status=refusal.status,
            code=refusal.code,
            reason=refusal.message,
            retry_after_s=refusal.retry_after_s,
        )
        caller.refuse(
            refusal.status, refusal.code, refusal.message, refusal.retry_after_s
        )


def is_failure(outcome: Answered) -> bool:
    """Tell whether an answer is the upstream's own failure."""
    return outcome.message.status >= HTTP_SERVER_ERROR


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
