"""Forward exchanges to upstreams, with retries and resumption of streams."""

import math
import time
from functools import partial
from typing import Callable

from attrs import define, evolve, field
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core import Metrics
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.attempt import (
    Attempt,
    AttemptFailed,
    NotRun,
    Outcome,
    ResponseReceived,
    StreamCompleted,
)
from rosemaryyoke.exchanges.attempt_timeout import attempt_timeout_s
from rosemaryyoke.exchanges.caller import (
    CallerConnection,
    CallerDisconnected,
    ResponseAborted,
)
from rosemaryyoke.exchanges.connections import ConnectionPool
from rosemaryyoke.exchanges.decision_log import (
    log_outcome,
    log_placement,
    log_resumption,
)
from rosemaryyoke.exchanges.endings import Endings
from rosemaryyoke.exchanges.error_responses import (
    is_server_error,
    leaving_error,
    quota_error,
    unknown_origin_error,
    unreachable_error,
)
from rosemaryyoke.exchanges.exchange import (
    Exchange,
    RequestRejected,
    SentAttempt,
)
from rosemaryyoke.exchanges.exchange_factory import ExchangeFactory
from rosemaryyoke.exchanges.messages import HeaderCodec, ResponseMetadata
from rosemaryyoke.exchanges.outcome_reporter import OutcomeReporter
from rosemaryyoke.exchanges.request_writer import RequestWriter
from rosemaryyoke.exchanges.response_memory import ResponseMemory
from rosemaryyoke.exchanges.selection import UpstreamSelector
from rosemaryyoke.exchanges.stop_schedule import StopSchedule
from rosemaryyoke.exchanges.urgency import Urgency
from rosemaryyoke.fleet import (
    Fleet,
    Placement,
    PromptPrefill,
    RetryBudget,
    UpstreamState,
)
from rosemaryyoke.fleet.room import BRITTLE_REFUSAL_PAUSE_S
from rosemaryyoke.fleet.state import PREFILL_TOKENS_PER_S
from rosemaryyoke.forwarding.envelope import Envelope
from rosemaryyoke.forwarding.hosts import ForwardingHosts
from rosemaryyoke.forwarding.reachability import Reachability
from rosemaryyoke.forwarding.receiver import log_received
from rosemaryyoke.forwarding.sender import RequestForwarder
from rosemaryyoke.hosts.origin_exchange import OriginExchange
from rosemaryyoke.http1 import RequestMessage
from rosemaryyoke.origins import origin_key
from rosemaryyoke.quotas.node import ADMITTED, PendingRequest
from rosemaryyoke.quotas.service import QuotaService
from rosemaryyoke.rollout import EngineClient

HTTP_OK = 200
# Answers that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
STREAM_STALL_TIMEOUT_S = 1.0  # Longest gap between events of a resumable stream.
HEALTH_CHECK_TIMEOUT_S = 0.25  # an engine that runs answers within milliseconds
MIN_HEALTH_CHECK_S = 0.02
# For requests that must run at most once: some upstreams close idle ones at 0.3 s.
NON_REPEATABLE_MAX_IDLE_S = 0.25


@define(eq=False)
class Forwarder:
    """Forwards the exchanges of one host.

    ``stop`` tells which requests are accepted while this host shuts down.
    """

    data_centre: str
    catalog: Catalog
    fleet: Fleet
    codec: HeaderCodec
    pool: ConnectionPool
    budget: RetryBudget
    metrics: Metrics
    weights_bound_s: float
    engines: EngineClient
    origins: OriginExchange
    reachability: Reachability
    hosts: ForwardingHosts
    quotas: QuotaService | None = None
    stop: StopSchedule = StopSchedule()
    running: set[Exchange] = field(factory=set)
    exchange_factory: ExchangeFactory = field(init=False)
    memory: ResponseMemory = field(factory=ResponseMemory)
    writer: RequestWriter = field(init=False)
    selector: UpstreamSelector = field(init=False)
    endings: Endings = field(init=False)
    reporter: OutcomeReporter = field(init=False)
    by_way_of_hosts: RequestForwarder = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.exchange_factory = ExchangeFactory(self.catalog, self.codec)
        urgency = Urgency()
        self.writer = RequestWriter(self.fleet, self.codec, urgency)
        self.endings = Endings(self.metrics)
        self.reporter = OutcomeReporter(self.fleet.quarantine, self.reachability)
        self.selector = UpstreamSelector(
            self.data_centre,
            self.catalog,
            self.fleet,
            self.budget,
            self.weights_bound_s,
            urgency=urgency,
        )
        self.by_way_of_hosts = RequestForwarder(
            self.hosts,
            self.codec,
            self.budget,
            self.endings,
            self.metrics,
            self.memory,
        )

    def handle(
        self,
        message: RequestMessage,
        caller: CallerConnection,
        envelope: Envelope | None = None,
    ) -> None:
        """Handle one request; raise ``CallerDisconnected`` if the caller has gone.

        ``envelope`` is that of a request which another host has forwarded.
        """
        started_s = time.monotonic()
        try:
            exchange = self.exchange_factory.open(message, caller, started_s)
        except RequestRejected as rejection:
            self.endings.reject(caller, rejection.error)
            return
        if envelope is not None:
            self.accept_forwarded(exchange, envelope)
        try:
            if not self.stop.accepts(started_s, exchange.response_deadline_s):
                raise RequestRejected(leaving_error())
            self.forward(exchange)
        except RequestRejected as rejection:
            self.endings.reject_exchange(exchange, rejection.error)
        except CallerDisconnected as departure:
            self.endings.record_departure(exchange, departure)
            raise
        except ResponseAborted:
            raise
        except Exception:
            self.endings.record_internal_error(exchange)
            raise

    def needs_body(self, message: RequestMessage, caller: CallerConnection) -> bool:
        """Return whether the body of a request is of use, as its head tells."""
        return self.exchange_factory.is_routed(message)

    def accept_forwarded(self, exchange: Exchange, envelope: Envelope) -> None:
        """Continue where the host that forwarded the request has ended."""
        exchange.forwarded_by = envelope.host
        exchange.run_count = envelope.runs
        exchange.origin = envelope.origin
        exchange.charged = envelope.charged
        self.metrics.count("forwarded_requests_received_total")
        log_received(exchange.request_id, envelope)

    def reject_leaving(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Reject a request because this host shuts down."""
        error = leaving_error()
        try:
            metadata = self.exchange_factory.parse_request_headers(message)
            caller.request_id = metadata.request_id
        except RequestRejected as rejection:
            error = rejection.error
        self.endings.reject(caller, error)

    def forward(self, exchange: Exchange) -> None:
        """Send the exchange until it completes or is rejected."""
        grant = self.charge_quota(exchange)
        self.running.add(exchange)
        try:
            if self.must_forward(exchange):
                self.by_way_of_hosts.forward(exchange)
                return
            self.budget.record_request(exchange.service, exchange.started_s)
            if exchange.is_resumption and exchange.origin is None:
                self.find_origin(exchange)
            self.send_until_complete(exchange)
        except RequestRejected as rejection:
            if grant is not None and never_runs(exchange, rejection.error.status):
                self.quotas.give_back(grant)
            raise
        finally:
            self.running.discard(exchange)
            exchange.abandon_suspended()

    def charge_quota(self, exchange: Exchange) -> PendingRequest | None:
        """Charge the account's quota once, at the first host; return the grant if any.

        Raise ``RequestRejected`` if the quota does not admit the request.
        """
        account = exchange.account
        if account is None or account.quota is None or self.quotas is None:
            return None
        if exchange.charged:
            return None
        grant = self.quotas.check(
            exchange.request_id,
            account,
            exchange.configuration.version,
            exchange.metadata.counted_tokens,
        )
        if grant.decision.result != ADMITTED:
            raise RequestRejected(quota_error(grant))
        exchange.charged = True
        return grant

    def must_forward(self, exchange: Exchange) -> bool:
        """Return whether this host can't serve the exchange itself.

        What another host has forwarded is not forwarded again: raise
        ``RequestRejected``, so that that host tries elsewhere.
        """
        reachable = not any(map(self.reachability.is_unreachable, exchange.services))
        if reachable:
            return False
        if exchange.forwarded_by is not None:
            raise RequestRejected(unreachable_error(exchange))
        return True

    def may_forward_instead(self, exchange: Exchange) -> bool:
        """Return whether another host may serve what this one couldn't connect for."""
        return (
            exchange.never_connected
            and not exchange.caller.host_ends
            and exchange.forwarded_by is None
            and self.by_way_of_hosts.can_forward(exchange)
        )

    def end_running(self) -> None:
        """Let the tasks of all requests answer them, since this process ends."""
        for exchange in list(self.running):
            exchange.caller.end_with_host()

    def log_unfinished(self) -> None:
        """Log the requests that end with this process."""
        self.endings.record_unfinished(list(self.running))

    def find_origin(self, exchange: Exchange) -> None:
        """Find the software version at which a stream may go on.

        Raise ``RequestRejected`` if no host knows it.
        """
        found = self.origins.resolve(exchange.services, exchange.metadata.resumes)
        log_resumption(exchange, found)
        if found.origin is None:
            raise RequestRejected(unknown_origin_error(found.is_current))
        exchange.origin = found.origin

    def send_until_complete(self, exchange: Exchange) -> None:
        """Send the exchange to one upstream after the other."""
        while True:
            if self.must_forward(exchange):
                exchange.abandon_suspended()
                self.by_way_of_hosts.forward(exchange)
                return
            try:
                placement = exchange.take_reserved() or self.selector.choose_upstream(
                    exchange
                )
            except RequestRejected:
                if not self.may_forward_instead(exchange):
                    raise
                self.by_way_of_hosts.forward(exchange)
                return
            outcome = self.send_attempt(exchange, placement)
            if isinstance(outcome, StreamCompleted):
                self.endings.record_response(exchange, HTTP_OK)
                return
            if exchange.reserved is None and not self.should_retry(exchange, outcome):
                if self.may_forward_instead(exchange):
                    self.by_way_of_hosts.forward(exchange)
                    return
                self.endings.complete(exchange, outcome)
                return

    def send_attempt(self, exchange: Exchange, placement: Placement) -> Outcome:
        """Send the exchange to an upstream and record the outcome.

        If this upstream was to take over from one that made no progress, and does not
        accept the request, the exchange continues at the earlier upstream.
        """
        sent = self.prepare_attempt(exchange, placement)
        outcome = self.run_attempt(exchange, sent, sent.attempt.run)
        suspended = exchange.suspended
        if suspended is None or suspended is sent:
            return outcome
        if completes(exchange, outcome):
            exchange.abandon_suspended()
            return outcome
        if suspended.attempt.is_open:
            return self.resume_attempt(exchange, suspended)
        # The upstream that was left for this one has not failed.
        exchange.excluded_upstreams.discard(suspended.placement.state.upstream.name)
        exchange.suspended = None
        return outcome

    def resume_attempt(self, exchange: Exchange, sent: SentAttempt) -> Outcome:
        """Continue at the upstream of a suspended attempt, and record the outcome."""
        exchange.suspended = None
        exchange.last_upstream = sent.placement.state.upstream.name
        if sent.counted_as_run:  # it counts again at its end
            exchange.run_count -= 1
        if exchange.relay is not None:
            exchange.relay.restore_partial_event(sent.partial_event)
        log_event(
            "attempt resumed",
            request=exchange.request_id,
            upstream=sent.placement.state.upstream.name,
            software=sent.placement.state.upstream.software,
            age_ms=exchange.age_ms(),
        )
        return self.run_attempt(exchange, sent, sent.attempt.resume)

    def prepare_attempt(self, exchange: Exchange, placement: Placement) -> SentAttempt:
        """Return the attempt to send the exchange to an upstream."""
        state = placement.state
        exchange.send_count += 1
        exchange.last_upstream = state.upstream.name
        exchange.excluded_upstreams.add(state.upstream.name)
        saves_to_store = self.writer.saves_to_store(exchange, placement)
        options = self.writer.options(exchange, placement, saves_to_store)
        log_placement(exchange, placement, options)
        request = self.writer.encode(exchange, options)
        read = PromptPrefill(state.upstream.name, placement.parts, saves_to_store)
        now_s = time.monotonic()
        attempt = Attempt(
            state,
            request,
            exchange.metadata.request_id,
            self.codec,
            self.pool,
            exchange.caller,
            exchange.relay,
            exchange.response_deadline_s,
            now_s + attempt_timeout_s(exchange, state, now_s),
            STREAM_STALL_TIMEOUT_S if exchange.route.resumable else 0.0,
            memory=self.memory,
            max_idle_s=max_idle_s(exchange),
            body=exchange.body,
        )
        if exchange.suspended is not None:
            attempt.predecessor = exchange.suspended.attempt
        sent = SentAttempt(placement, attempt)

        software = state.upstream.software

        def first_event() -> None:
            self.record_origin(exchange, software)
            served = attempt.metadata.weights_version
            is_current = served is None or served == placement.weights
            # Else weights were replaced while the prompt was read under its salt.
            cached = read if is_current else evolve(read, parts=())
            self.fleet.prefilled(state, sent.work, cached)
            self.metrics.observe(
                "first_event_seconds", time.monotonic() - exchange.started_s
            )

        attempt.on_first_event = first_event

        def head(metadata: ResponseMetadata) -> None:
            self.fleet.record_notices(state, metadata, sent_s=attempt.started_s)
            if not metadata.not_run:
                model, version = exchange.metadata.model, metadata.weights_version
                self.fleet.record_served_weights(state, model, version)

        attempt.on_head = head
        attempt.on_first_stall = lambda: self.record_stall(exchange, attempt)
        attempt.on_stall = lambda: self.selector.reserve_alternative(exchange)
        attempt.on_sustained = partial(self.reporter.record_success, exchange, sent)
        return sent

    def record_origin(self, exchange: Exchange, software: str) -> None:
        """Record which software version began a stream, or went on with it."""
        exchange.software = exchange.software or software
        if exchange.origin is None:
            exchange.origin = origin_key(software)
        if exchange.route.resumable:
            request = exchange.metadata.request_id
            self.origins.record_begin(request, exchange.services, software)

    def run_attempt(
        self, exchange: Exchange, sent: SentAttempt, run: Callable[[], Outcome]
    ) -> Outcome:
        """Run an attempt until its outcome, and record both."""
        state = sent.placement.state
        tokens = exchange.metadata.prompt_tokens + exchange.metadata.output_tokens
        prefill_tokens = int(sent.placement.prefill_s * PREFILL_TOKENS_PER_S)
        if sent.attempt.on_first_event is None:
            prefill_tokens = 0
        sent.work = self.fleet.begin(state, tokens, prefill_tokens)
        try:
            outcome = run()
        finally:
            self.fleet.end(state, sent.work)
            exchange.received = sent.attempt.summarize_response()
        outcome = self.reporter.recheck_stale(exchange, sent, outcome)
        self.reporter.record(exchange, sent, outcome)
        self.record_outcome(exchange, sent.placement, sent.attempt, outcome)
        if isinstance(outcome, AttemptFailed) and outcome.timed_out:
            sent.counted_as_run = outcome.may_have_run
            exchange.suspend(sent)
        return outcome

    def record_stall(self, exchange: Exchange, attempt: Attempt) -> None:
        """Record that an upstream makes no progress, and whether it is alive."""
        left_s = exchange.response_deadline_s - time.monotonic()
        timeout_s = max(MIN_HEALTH_CHECK_S, min(HEALTH_CHECK_TIMEOUT_S, left_s))
        stall = AttemptFailed("no progress", may_have_run=True, timed_out=True)
        stall = self.check_health(exchange, attempt.state, stall, timeout_s)
        with self.fleet.lock:
            self.record_health(attempt.state, attempt, stall)
        if not stall.upstream_responds:
            self.reachability.check_after_failure(attempt.state.upstream.service)

    def check_health(
        self,
        exchange: Exchange,
        state: UpstreamState,
        outcome: Outcome,
        timeout_s: float = HEALTH_CHECK_TIMEOUT_S,
    ) -> Outcome:
        """Ask an engine that has timed out for its state, and record if it responds.

        Only the host that waited would take a busy engine for a silent one: it sees few
        of the engine's answers.
        """
        timed_out = isinstance(outcome, AttemptFailed) and outcome.timed_out
        if not timed_out or state.traits is None:
            return outcome
        upstream = state.upstream
        reply = self.engines.report(upstream.address, timeout_s)
        responds = not isinstance(reply, Err)
        log_event(
            "timed out upstream checked",
            request=exchange.request_id,
            upstream=upstream.name,
            responds=responds,
        )
        return evolve(outcome, upstream_responds=responds)

    def record_outcome(
        self,
        exchange: Exchange,
        placement: Placement,
        attempt: Attempt,
        outcome: Outcome,
    ) -> None:
        """Update the upstream's state, and record whether the request may have run."""
        state, now_s = placement.state, time.monotonic()
        with self.fleet.lock:
            if isinstance(outcome, AttemptFailed) and outcome.stale_connection:
                exchange.may_have_run = exchange.may_have_run or outcome.may_have_run
                exchange.excluded_upstreams.discard(state.upstream.name)
                self.pool.forget({state.upstream.name})
            elif isinstance(outcome, AttemptFailed):
                if outcome.may_have_run:
                    exchange.may_have_run = True
                    exchange.run_count += 1
                exchange.connect_failures += outcome.not_connected
                if not outcome.health_recorded:
                    self.record_health(state, attempt, outcome)
            elif isinstance(outcome, NotRun):
                self.record_not_run(exchange, placement, outcome)
            else:
                success = isinstance(outcome, StreamCompleted) or not is_server_error(
                    outcome
                )
                exchange.run_count += 1
                state.record_answer(success, now_s)
        if isinstance(outcome, (AttemptFailed, NotRun)):
            log_outcome(exchange, placement, outcome)
        if isinstance(outcome, AttemptFailed) and outcome.no_contact:
            self.reachability.check_after_failure(state.upstream.service)

    def record_health(
        self, state: UpstreamState, attempt: Attempt, outcome: AttemptFailed
    ) -> None:
        """Update the health of an upstream that gave no response."""
        now_s = time.monotonic()
        is_slow = outcome.upstream_responds or (
            outcome.timed_out and state.last_activity_s() > attempt.started_s
        )
        if is_slow:
            state.mark_slow(now_s)
        elif not outcome.deadline_exceeded:
            state.record_failure(now_s)

    def record_not_run(
        self, exchange: Exchange, placement: Placement, outcome: NotRun
    ) -> None:
        """Handle a refusal: other weights, another instance, or a full queue."""
        state, now_s = placement.state, time.monotonic()
        version = outcome.metadata.weights_version
        model = exchange.metadata.model
        if version is not None and state.weights.get(model) != version:
            state.update_weights(model, version, now_s, "refusal")
        else:
            state.record_failure(now_s, silent=False)
            if state.is_brittle(now_s):
                pause_end_s = now_s + BRITTLE_REFUSAL_PAUSE_S
                state.suspect_until_s = max(state.suspect_until_s, pause_end_s)

    def should_retry(self, exchange: Exchange, outcome: Outcome) -> bool:
        """Return whether to retry the exchange at another upstream."""
        exchange.not_retried = self.retry_obstacle(exchange, outcome)
        return exchange.not_retried is None

    def retry_obstacle(self, exchange: Exchange, outcome: Outcome) -> str | None:
        """Return why an exchange is not retried, or ``None`` if it is."""
        route = exchange.route
        if exchange.caller.host_ends:
            return "this host ends"
        if not self.selector.may_send_again(exchange, time.monotonic()):
            return "no sends or time left"
        if isinstance(outcome, ResponseReceived):
            if not is_server_error(outcome):
                return "answered"
            if not route.repeatable:
                return "not repeatable"
        if isinstance(outcome, AttemptFailed):
            if outcome.deadline_exceeded:
                return "deadline"
            if outcome.may_have_run and not route.repeatable:
                return "not repeatable"
            if not exchange.is_resumable:
                return "not resumable"
            exchange.prepare_resume()
            if not outcome.may_have_run:
                return None
            if self.fleet.quarantine.is_suspect(exchange.quarantine_keys):
                return "suspected of crashes"
        if exchange.run_count >= route.max_attempts:
            return "runs used up"
        if not self.budget.try_retry(exchange.service, time.monotonic()):
            return "retry budget empty"
        return None


def never_runs(exchange: Exchange, status: int) -> bool:
    """Return whether an exchange that ends with an error has not run and never will."""
    return status in NOT_RUN_STATUSES and not exchange.is_admitted


def max_idle_s(exchange: Exchange) -> float:
    """Return how long a connection may have been idle to send an exchange on it.

    A response can be matched to a request without an identifier only on a connection
    of its own.
    """
    if not exchange.metadata.request_id:
        return 0.0
    return math.inf if exchange.route.repeatable else NON_REPEATABLE_MAX_IDLE_S


def completes(exchange: Exchange, outcome: Outcome) -> bool:
    """Return whether an outcome completes the response to the caller."""
    if exchange.caller.streaming or not isinstance(outcome, ResponseReceived):
        return isinstance(outcome, StreamCompleted)
    return not is_server_error(outcome)
