"""Report to the quarantine how attempts ended."""

import time

from attrs import frozen

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
from rosemaryyoke.fleet import upstream_key
from rosemaryyoke.http1 import Framing
from rosemaryyoke.quarantine import (
    PromptOutcome,
    Quarantine,
    format_key,
    request_key,
)

HTTP_OK = 200
# A stream without framing looks complete if the engine crashes between two events.
MIN_UNFRAMED_EVENTS = 5


@frozen
class OutcomeReporter:
    """Tells crashes and successes from ends that say nothing about the prompt."""

    quarantine: Quarantine

    def record(self, exchange: Exchange, sent: SentAttempt, outcome: Outcome) -> None:
        """Report the end of an attempt."""
        if is_crash(sent.attempt, outcome):
            self.record_crash(exchange, sent)
        elif is_success(exchange, sent.attempt, outcome):
            self.record_success(exchange, sent)
        self.quarantine.end_trial(exchange.fingerprint)

    def record_crash(self, exchange: Exchange, sent: SentAttempt) -> None:
        """Report that an engine crashed as it began to answer."""
        self.quarantine.record_crash(
            prompt_outcome(exchange, sent, crashed=True),
            request=exchange.request_id,
            upstream=sent.placement.state.upstream.name,
            parts=log_parts(exchange),
            fingerprint=format_key(exchange.fingerprint),
        )

    def record_success(self, exchange: Exchange, sent: SentAttempt) -> None:
        """Report that a prompt was answered, or that its answer goes on."""
        self.quarantine.record_success(prompt_outcome(exchange, sent, crashed=False))


def prompt_outcome(
    exchange: Exchange, sent: SentAttempt, crashed: bool
) -> PromptOutcome:
    """Return the outcome of an attempt as reported to other hosts."""
    return PromptOutcome(
        request_key(exchange.metadata.request_id),
        upstream_key(sent.placement.state.upstream.name),
        exchange.shared_keys,
        sent.attempt.started_s,
        time.monotonic(),
        crashed,
        exchange.fingerprint,
    )


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
