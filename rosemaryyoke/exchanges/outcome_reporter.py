"""Report to the quarantine how attempts ended."""

import threading
import time
from collections import OrderedDict

from attrs import define, evolve, field

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.attempt import (
    Attempt,
    AttemptFailed,
    Outcome,
    ResponseReceived,
    StreamCompleted,
)
from rosemaryyoke.exchanges.decision_log import log_parts
from rosemaryyoke.exchanges.error_responses import HTTP_SERVER_ERROR
from rosemaryyoke.exchanges.exchange import Exchange, SentAttempt
from rosemaryyoke.fleet import UpstreamState, upstream_key
from rosemaryyoke.forwarding.reachability import Reachability
from rosemaryyoke.http1 import Framing
from rosemaryyoke.quarantine import (
    PromptOutcome,
    Quarantine,
    format_key,
    request_key,
)

HTTP_OK = 200
MAX_STALE_ENDS = 256
STALE_END_TTL_S = 60.0
# A stream without framing looks complete if the engine crashes between two events.
MIN_UNFRAMED_EVENTS = 5


@define(eq=False)
class OutcomeReporter:
    """Tells crashes and successes from ends that say nothing about the request.

    Connections that end as this host loses all upstreams of a service show no crash.

    ``stale_ends`` are the last attempts, by fingerprint, that seem to have found their
    connections closed. An engine that crashes at once looks the same.
    """

    quarantine: Quarantine
    reachability: Reachability
    stale_ends: OrderedDict[int, PromptOutcome] = field(factory=OrderedDict)
    lock: threading.Lock = field(factory=threading.Lock)

    def recheck_stale(
        self, exchange: Exchange, sent: SentAttempt, outcome: Outcome
    ) -> Outcome:
        """Return the outcome; a stale connection that shows a crash is a failure.

        Two such ends of one request in a row show crashes, and so does one of a
        suspect. If the engine accepts no connection afterwards, the end is reported.
        """
        if not isinstance(outcome, AttemptFailed):
            return outcome
        key = exchange.fingerprint
        if outcome.connection_refused:
            known = self.stale_ends.get(key)
            if known and known.upstream == upstream_key_of(sent):
                self.report_stale_end(exchange, key)
            return outcome
        if not outcome.stale_connection:
            return outcome
        if not (self.report_stale_end(exchange, key) or self.is_suspect(key)):
            self.remember_stale_end(key, prompt_outcome(exchange, sent, crashed=True))
            return outcome
        return evolve(outcome, stale_connection=False)

    def is_suspect(self, key: int) -> bool:
        """Return whether a request was in several crashes."""
        return self.quarantine.is_suspect((key,))

    def remember_stale_end(self, key: int, end: PromptOutcome) -> None:
        """Remember an attempt on a connection that seemed to be closed."""
        with self.lock:
            self.stale_ends[key] = end
            if len(self.stale_ends) > MAX_STALE_ENDS:
                self.stale_ends.popitem(last=False)

    def report_stale_end(self, exchange: Exchange, key: int) -> bool:
        """Report the last stale end of a request as a crash; return if there is one."""
        with self.lock:
            end = self.stale_ends.pop(key, None)
        if end is None or time.monotonic() - end.ended_s > STALE_END_TTL_S:
            return False
        state = self.known_upstream(end)
        if state is not None and not self.has_contact(exchange, state, end.ended_s):
            return False
        self.quarantine.record_crash(
            end,
            request=exchange.request_id,
            parts=log_parts(exchange),
            fingerprint=format_key(key),
        )
        return True

    def known_upstream(self, end: PromptOutcome) -> UpstreamState | None:
        """Return the upstream of an attempt, if it is still registered."""
        fleet = self.reachability.fleet
        with fleet.lock:
            return fleet.states.get(fleet.names_by_key.get(end.upstream, ""))

    def has_contact(
        self, exchange: Exchange, state: UpstreamState, since_s: float
    ) -> bool:
        """Return whether this host has reached other upstreams since an attempt.

        What was in crashes before is not checked, since each further one counts soon.
        """
        upstream = state.upstream
        if self.quarantine.is_suspect(exchange.quarantine_keys):
            return True
        if self.reachability.confirms_contact(upstream, since_s):
            return True
        log_event(
            "lost connection not counted as a crash",
            request=exchange.request_id,
            upstream=upstream.name,
            service=upstream.service,
        )
        self.reachability.check_after_failure(upstream.service)
        return False

    def record(self, exchange: Exchange, sent: SentAttempt, outcome: Outcome) -> None:
        """Report the end of an attempt."""
        if is_crash(sent.attempt, outcome):
            self.record_crash(exchange, sent)
        elif is_success(exchange, sent.attempt, outcome):
            self.record_success(exchange, sent)
        self.quarantine.end_trial(exchange.fingerprint)

    def record_crash(self, exchange: Exchange, sent: SentAttempt) -> None:
        """Report that an engine crashed as it began to answer."""
        if not self.has_contact(exchange, sent.placement.state, time.monotonic()):
            return
        self.quarantine.record_crash(
            prompt_outcome(exchange, sent, crashed=True),
            request=exchange.request_id,
            upstream=sent.placement.state.upstream.name,
            parts=log_parts(exchange),
            fingerprint=format_key(exchange.fingerprint),
        )

    def record_success(self, exchange: Exchange, sent: SentAttempt) -> None:
        """Report that a request was answered, or that its answer goes on."""
        with self.lock:
            self.stale_ends.pop(exchange.fingerprint, None)
        self.quarantine.record_success(prompt_outcome(exchange, sent, crashed=False))


def prompt_outcome(
    exchange: Exchange, sent: SentAttempt, crashed: bool
) -> PromptOutcome:
    """Return the outcome of an attempt as reported to other hosts."""
    return PromptOutcome(
        request_key(exchange.metadata.request_id),
        upstream_key_of(sent),
        exchange.shared_keys,
        sent.attempt.started_s,
        time.monotonic(),
        crashed,
        exchange.fingerprint,
    )


def upstream_key_of(sent: SentAttempt) -> int:
    """Return the key of the upstream to which an attempt was sent."""
    return upstream_key(sent.placement.state.upstream.name)


def is_crash(attempt: Attempt, outcome: Outcome) -> bool:
    """Return whether an engine seems to have crashed as it began to answer.

    Requests that it had answered for a while are lost with it, but aren't the cause.
    """
    if not (isinstance(outcome, AttemptFailed) and outcome.broken_off):
        return False
    return not (outcome.stale_connection or attempt.is_sustained)


def is_success(exchange: Exchange, attempt: Attempt, outcome: Outcome) -> bool:
    """Return whether the whole answer shows that the request crashes no engine.

    An error may be answered before the prompt or the request is looked at.
    """
    if isinstance(outcome, ResponseReceived):
        status = outcome.message.status
        is_prompt = exchange.relay is not None or bool(exchange.metadata.parts)
        if status >= HTTP_SERVER_ERROR or (is_prompt and status != HTTP_OK):
            return False
    elif not isinstance(outcome, StreamCompleted):
        return False
    framed = attempt.summarize_response().framing is not Framing.CONNECTION
    return framed or attempt.delivered_events >= MIN_UNFRAMED_EVENTS
