"""Forward an exchange: place it, send it, answer it, and go on where one fails."""

import math
import random
import time

from attrs import define, field
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core import Metrics
from rosemaryyoke.core.logs import log_event
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
from rosemaryyoke.exchanges.decision_log import log_answer, log_outcome, log_placement
from rosemaryyoke.exchanges.exchange import (
    Exchange,
    Refusal,
    Refused,
    salt_scope,
    wait_bound_s,
)
from rosemaryyoke.exchanges.messages import Dialect
from rosemaryyoke.exchanges.opening import Opener
from rosemaryyoke.exchanges.patience import patience_s
from rosemaryyoke.exchanges.refusals import (
    is_failure,
    no_upstream,
    refusal_after,
    time_is_up,
)
from rosemaryyoke.exchanges.request_writer import RequestWriter
from rosemaryyoke.fleet import (
    Chooser,
    Fleet,
    Placement,
    PlacementRequest,
    PromptPrefill,
    RetryBudget,
    UpstreamState,
)
from rosemaryyoke.fleet.state import PREFILL_TOKENS_PER_S
from rosemaryyoke.http1 import RequestMessage
from rosemaryyoke.http1.messages import end_to_end

HTTP_OK = 200
STALL_S = 1.0  # between events of a stream that another upstream may go on with
MAX_SENDS = 4  # to upstreams, those that refused included
FRESH_REST_S = 0.25  # of a connection for what may run once; some are dropped at 0.3 s
WEIGHTS_MARGIN_S = 1.5  # a request begins some time after it was placed


@define(eq=False)
class Forwarder:
    """Forwards exchanges of one host."""

    data_centre: str
    catalog: Catalog
    fleet: Fleet
    dialect: Dialect
    pool: ConnectionPool
    budget: RetryBudget
    metrics: Metrics
    weights_bound_s: float
    chooser: Chooser = field(factory=Chooser)
    opener: Opener = field(init=False)
    writer: RequestWriter = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.opener = Opener(self.catalog, self.dialect)
        self.writer = RequestWriter(self.fleet, self.dialect)

    def handle(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Answer one request; raise ``CallerGone`` where nobody waits for it."""
        began_s = time.monotonic()
        try:
            exchange = self.opener.open(message, caller, began_s)
            self.run(exchange)
        except Refused as refused:
            self.refuse(caller, refused.refusal)

    def run(self, exchange: Exchange) -> None:
        """Send the exchange until it is answered, or refuse it."""
        self.budget.record_request(exchange.service, exchange.began_s)
        while True:
            placement = self.place(exchange)
            outcome = self.attempt(exchange, placement)
            if isinstance(outcome, Streamed):
                self.note_answer(exchange, HTTP_OK)
                return
            if self.may_send_again(exchange, outcome):
                continue
            self.conclude(exchange, outcome)
            return

    def place(self, exchange: Exchange) -> Placement:
        """Return an upstream for the exchange; raise ``Refused``."""
        now_s = time.monotonic()
        if now_s >= exchange.until_s:
            raise Refused(time_is_up(exchange))
        request = self.placement_request(exchange, now_s)
        with self.fleet.lock:
            states = self.current(exchange, self.states(exchange), now_s)
            chosen = self.chooser.choose(request, states, exchange.excluded, now_s)
        if isinstance(chosen, Err):
            raise Refused(no_upstream(exchange, chosen.err_value))
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
            self.fleet.stores,
            wait_bound_s(exchange.route),
            self.fleet.probe_share(),
        )

    def states(self, exchange: Exchange) -> list[UpstreamState]:
        """Return the upstreams of a target that is drawn by the route's shares."""
        targets = exchange.route.targets
        weights = [target.weight for target in targets]
        if len(targets) == 1 or sum(weights) <= 0:
            return self.fleet.states_of_service(targets[0].service)
        target = random.choices(targets, weights)[0]
        return self.fleet.states_of_service(target.service)

    def current(
        self, exchange: Exchange, states: list[UpstreamState], now_s: float
    ) -> list[UpstreamState]:
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
        log_placement(exchange, placement)
        saves = self.writer.saves(exchange, placement)
        request = self.writer.encode(exchange, placement, saves)
        read = PromptPrefill(state.upstream.name, placement.parts, saves)
        tokens = exchange.ask.prompt_tokens + exchange.ask.output_tokens
        prefill_tokens = int(placement.prefill_s * PREFILL_TOKENS_PER_S)
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
            most_rest_s=math.inf if exchange.route.repeatable else FRESH_REST_S,
        )

        def first_event() -> None:
            self.fleet.prefilled(state, work, read)
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
            if isinstance(outcome, Failed) and outcome.forgotten:
                exchange.may_have_run = exchange.may_have_run or outcome.may_have_run
                exchange.excluded.discard(state.upstream.name)
                self.pool.forget({state.upstream.name})
            elif isinstance(outcome, Failed):
                if outcome.may_have_run:
                    exchange.may_have_run = True
                    exchange.runs += 1
                if outcome.impatient and state.last_activity_s() > attempt.began_s:
                    state.mark_slow(now_s)
                elif not outcome.out_of_time:
                    state.record_failure(now_s)
            elif isinstance(outcome, NotRun):
                self.take_not_run(exchange, placement, outcome)
            else:
                success = isinstance(outcome, Streamed) or not is_failure(outcome)
                exchange.runs += 1
                state.record_answer(success, now_s)
        if isinstance(outcome, (Failed, NotRun)):
            log_outcome(exchange, placement, outcome)

    def take_not_run(
        self, exchange: Exchange, placement: Placement, outcome: NotRun
    ) -> None:
        """Learn from a refusal: other weights, another instance, or a full queue."""
        state, now_s = placement.state, time.monotonic()
        version = outcome.facts.weights
        model = exchange.ask.model
        if version is not None and state.weights.get(model) != version:
            state.update_weights(model, version, now_s)
        else:
            state.record_failure(now_s, silent=False)

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
        return self.budget.try_retry(exchange.service, time.monotonic())

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
            log_event("stream cut", request=exchange.request, age_ms=exchange.age_ms())
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
            self.note_answer(exchange, message.status)
            return
        raise Refused(refusal_after(exchange, outcome))

    def note_answer(self, exchange: Exchange, status: int) -> None:
        """Log and count an upstream's answer that the caller was given."""
        log_answer(exchange, status)
        elapsed_s = time.monotonic() - exchange.began_s
        self.metrics.observe("answer_seconds", elapsed_s, kind=exchange.route.kind)

    def refuse(self, caller: CallerConnection, refusal: Refusal) -> None:
        """Answer with a refusal, or break off a stream that has begun."""
        if caller.streaming:
            raise CallerGone(refusal.message)
        self.metrics.count("refusals_total", code=refusal.code)
        log_event(
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
