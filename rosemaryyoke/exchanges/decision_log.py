"""Log the routing decisions of an exchange with their inputs."""

from typing import Sequence

from attrs import asdict

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.attempt import (
    AttemptFailed,
    NotRun,
    Outcome,
    ResponseReceived,
)
from rosemaryyoke.exchanges.exchange import ErrorResponse, Exchange
from rosemaryyoke.exchanges.messages import ForwardingOptions
from rosemaryyoke.fleet import ComparedQueue, Placement
from rosemaryyoke.hosts.origin_exchange import Resolution
from rosemaryyoke.quarantine import format_key, format_keys

MS_PER_S = 1_000
MAX_LOGGED_PARTS = 8
MAX_LOGGED_NAME = 32  # characters
CUT_AT_DEADLINE = "deadline"
CUT_BY_UPSTREAM = "upstream failed"
CUT_BY_REFUSAL = "not run"
CUT_WITHOUT_UPSTREAM = "no upstream"
SHUTDOWN = "shutdown"


def log_placement(
    exchange: Exchange, placement: Placement, options: ForwardingOptions
) -> None:
    """Log the chosen upstream, the inputs of the choice and what the head names."""
    configuration = exchange.configuration
    log_event(
        "placed",
        request=exchange.request_id,
        route=exchange.route.name,
        account=exchange.account.name if exchange.account else None,
        configuration=configuration.version,
        upstream=placement.state.upstream.name,
        software=placement.state.upstream.software,
        send=exchange.send_count,
        parts=log_parts(exchange),
        hit_tokens=placement.hit_tokens,
        wait_ms=round(placement.wait_s * MS_PER_S),
        cost_ms=round(placement.cost_s * MS_PER_S),
        resumed_from=exchange.resumed_from or exchange.metadata.last_event_id,
        resumes=exchange.metadata.resumes,
        left_ms=exchange.left_ms(),
        expected_weights=options.weights_version,
        cache_salt=options.cache_salt,
        fetch_from=options.fetch_from,
        save_to=options.save_to,
    )


def log_resumption(exchange: Exchange, found: Resolution) -> None:
    """Log what is known of a stream that the caller resumes."""
    log_event(
        "stream resumed",
        request=exchange.request_id,
        resumes=exchange.metadata.resumes,
        resumed_from=exchange.metadata.last_event_id,
        origin=None if found.origin is None else format_key(found.origin),
        source=found.source,
        is_current=found.is_current,
        age_ms=None if found.age_s is None else round(found.age_s * MS_PER_S),
    )


def log_outcome(
    exchange: Exchange, placement: Placement, outcome: AttemptFailed | NotRun
) -> None:
    """Log an attempt without a response, or one that is suspended."""
    message = "attempt failed"
    fields = {"not_run": isinstance(outcome, NotRun)}
    if isinstance(outcome, NotRun):
        fields["status"] = outcome.status
        fields["weights"] = outcome.metadata.weights_version
    else:
        fields["reason"] = outcome.reason
        fields["may_have_run"] = outcome.may_have_run
        fields |= log_received(exchange)
        if outcome.broken_off or outcome.stale_connection:
            fields["fingerprint"] = format_key(exchange.fingerprint)
        if outcome.timed_out:
            message = "attempt suspended"
    log_event(
        message,
        request=exchange.request_id,
        upstream=placement.state.upstream.name,
        age_ms=exchange.age_ms(),
        parts=log_parts(exchange),
        **fields,
    )


def log_parts(exchange: Exchange) -> list[str]:
    """Return the names of the shared parts of the prompt, the first of many."""
    shared = exchange.metadata.shared_parts[:MAX_LOGGED_PARTS]
    return [part.name[:MAX_LOGGED_NAME] for part in shared]


def log_received(exchange: Exchange) -> dict:
    """Return what the last attempt received, as fields of a log line."""
    fields = {"events": exchange.relay.events if exchange.relay is not None else None}
    if exchange.via is not None:
        fields["via"] = exchange.via
    if exchange.forwarded_by is not None:
        fields["forwarded_by"] = exchange.forwarded_by
    if exchange.software is not None:
        fields["software"] = exchange.software
    if exchange.received is not None:
        fields |= asdict(exchange.received)
    return fields


def log_queues(compared: Sequence[ComparedQueue]) -> list[dict]:
    """Return the queues that led to a rejection, as fields of a log line."""
    return [
        {
            "upstream": item.upstream,
            "wait_ms": round(item.wait_s * MS_PER_S),
            "running": round(item.running, 1),
            "age_ms": None if item.age_s is None else round(item.age_s * MS_PER_S),
        }
        for item in compared
    ]


def log_response(exchange: Exchange, status: int) -> None:
    """Log an upstream response that was forwarded to the caller."""
    log_event(
        "answered",
        request=exchange.request_id,
        status=status,
        age_ms=exchange.age_ms(),
        **log_received(exchange),
    )


def log_refusal(request: str, error: ErrorResponse) -> None:
    """Log an error response of this host."""
    log_event(
        "refused",
        request=request,
        status=error.status,
        code=error.code,
        reason=error.message,
        retry_after_s=error.retry_after_s,
        compared=log_queues(error.compared),
        quarantined=format_keys(error.quarantined),
        **({} if error.quota is None else {"quota": error.quota}),
    )


def log_end(message: str, exchange: Exchange, cause: str, reason: str) -> None:
    """Log why a response ended early, and what was tried until then."""
    log_event(
        message,
        request=exchange.request_id,
        cause=cause,
        reason=reason,
        age_ms=exchange.age_ms(),
        left_ms=exchange.left_ms(),
        sends=exchange.send_count,
        runs=exchange.run_count,
        upstream=exchange.last_upstream,
        not_retried=exchange.not_retried,
        **log_received(exchange),
    )


def cut_cause(outcome: Outcome) -> str:
    """Return why a stream that has begun cannot continue after an attempt."""
    if isinstance(outcome, NotRun):
        return CUT_BY_REFUSAL
    if isinstance(outcome, AttemptFailed) and outcome.deadline_exceeded:
        return CUT_AT_DEADLINE
    return CUT_BY_UPSTREAM


def outcome_reason(outcome: Outcome) -> str:
    """Return the reason of an outcome as text."""
    if isinstance(outcome, AttemptFailed):
        return outcome.reason
    if isinstance(outcome, NotRun):
        return f"status {outcome.status}"
    if isinstance(outcome, ResponseReceived):
        return f"status {outcome.message.status}"
    return "completed"
