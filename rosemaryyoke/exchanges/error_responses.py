"""Error responses for requests without a usable upstream response."""

from rosemaryyoke.exchanges.attempt import AttemptFailed, NotRun, ResponseReceived
from rosemaryyoke.exchanges.exchange import (
    ErrorResponse,
    Exchange,
    jittered_retry_after_s,
)
from rosemaryyoke.fleet import NoUpstream
from rosemaryyoke.quarantine import Refusal
from rosemaryyoke.quotas.node import OVER_QUOTA, PendingRequest

HTTP_SERVER_ERROR = 500
NOT_RUN_RETRY_AFTER_S = 0.2
UNREACHABLE_RETRY_AFTER_S = 0.5  # hosts look for a way to upstreams more often
LEAVING_RETRY_AFTER_S = 0.02  # another host can accept the request immediately
OTHER_HOST_RETRY_AFTER_S = 0.1  # another host can serve the request now
TIMEOUT_CODE = "timeout"
UNREACHABLE_CODE = "unreachable"
QUARANTINED_CODE = "quarantined"
UNKNOWN_ORIGIN_CODE = "unknown_origin"
VERSION_GONE_CODE = "version_gone"


def is_server_error(outcome: ResponseReceived) -> bool:
    """Return whether the upstream responded with a server error."""
    return outcome.message.status >= HTTP_SERVER_ERROR


def error_for_outcome(
    exchange: Exchange, outcome: AttemptFailed | NotRun
) -> ErrorResponse:
    """Return the error response for the outcome of the last attempt."""
    if isinstance(outcome, AttemptFailed) and outcome.deadline_exceeded:
        return timeout_error(exchange)
    if exchange.is_admitted:
        return ErrorResponse(
            502, "upstream_failed", "the upstream gave no whole answer"
        )
    return ErrorResponse(
        503,
        "not_run",
        "no upstream took the request",
        jittered_retry_after_s(NOT_RUN_RETRY_AFTER_S),
    )


def timeout_error(exchange: Exchange) -> ErrorResponse:
    """Return the error response for an expired deadline."""
    if exchange.may_have_run or exchange.send_count:
        return ErrorResponse(504, TIMEOUT_CODE, "the upstream did not answer in time")
    return ErrorResponse(
        503,
        "not_run",
        "no time was left",
        jittered_retry_after_s(NOT_RUN_RETRY_AFTER_S),
    )


def quarantine_error(exchange: Exchange, refusal: Refusal) -> ErrorResponse:
    """Return the error response for a request that crashes engines."""
    text = "a part of the prompt has crashed several engines"
    keys = tuple(refusal.keys)
    if exchange.fingerprint in keys:
        text = "the request has crashed several engines"
    if exchange.is_admitted:
        return ErrorResponse(502, "upstream_failed", text, quarantined=keys)
    return ErrorResponse(503, QUARANTINED_CODE, text, refusal.left_s, quarantined=keys)


def unreachable_error(exchange: Exchange) -> ErrorResponse:
    """Return the error response while no host is known to reach an upstream."""
    message = "no upstream of the service can be reached"
    if exchange.is_admitted:
        return ErrorResponse(502, "upstream_failed", message)
    wait_s = jittered_retry_after_s(UNREACHABLE_RETRY_AFTER_S)
    return ErrorResponse(503, UNREACHABLE_CODE, message, wait_s)


def leaving_error() -> ErrorResponse:
    """Return the error response of a host that shuts down."""
    return ErrorResponse(503, "leaving", "this host is leaving", LEAVING_RETRY_AFTER_S)


def host_ended_error(exchange: Exchange) -> ErrorResponse:
    """Return the error response for a request that outlasts this host."""
    if exchange.is_admitted:
        text = "this host ended before the upstream answered"
        return ErrorResponse(502, "upstream_failed", text)
    return leaving_error()


def unknown_origin_error(is_current: bool) -> ErrorResponse:
    """Return the error response for a stream that no known upstream began.

    Unless this host knows all versions that serve, another one may take it.
    """
    message = "no host knows the software version of the stream"
    if is_current:
        return ErrorResponse(503, UNKNOWN_ORIGIN_CODE, message)
    wait_s = jittered_retry_after_s(OTHER_HOST_RETRY_AFTER_S)
    return ErrorResponse(503, UNKNOWN_ORIGIN_CODE, message, wait_s)


def version_gone_error(exchange: Exchange) -> ErrorResponse:
    """Return the error response for a stream whose software version serves no more."""
    message = "no upstream has the software version of the stream"
    if exchange.is_admitted:
        return ErrorResponse(502, "upstream_failed", message)
    return ErrorResponse(503, VERSION_GONE_CODE, message)


def no_upstream_error(exchange: Exchange, reason: NoUpstream) -> ErrorResponse:
    """Return the error response when no upstream is available."""
    if exchange.is_admitted:
        return ErrorResponse(502, "upstream_failed", reason.message)
    wait_s = reason.min_retry_after_s + jittered_retry_after_s(reason.retry_after_s)
    return ErrorResponse(503, "no_upstream", reason.message, wait_s, reason.compared)


def quota_error(request: PendingRequest) -> ErrorResponse:
    """Return the error response for a request that its account's quota refuses."""
    decision, ask = request.decision, request.ask
    is_denied = decision.result == OVER_QUOTA
    return ErrorResponse(
        429 if is_denied else 503,
        "quota_exceeded" if is_denied else "quota_unavailable",
        (
            "the account is over its quota"
            if is_denied
            else "no host can say whether the account is within its quota"
        ),
        decision.wait_s,
        quota={
            "account": ask.account,
            "cost": ask.cost,
            "level": decision.level,
            "granting_host": decision.granter or None,
        },
    )
