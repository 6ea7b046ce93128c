"""Log the decisions on an exchange with what they were made on."""

import time

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.attempt import Failed, NotRun
from rosemaryyoke.exchanges.exchange import Exchange
from rosemaryyoke.fleet import Placement

MILLISECONDS = 1_000


def log_placement(exchange: Exchange, placement: Placement) -> None:
    """Log where a request is sent, and what that was decided on."""
    configuration = exchange.configuration
    log_event(
        "placed",
        request=exchange.request,
        route=exchange.route.name,
        account=exchange.account.name if exchange.account else None,
        configuration=configuration.version,
        upstream=placement.state.upstream.name,
        send=exchange.sends,
        hit_tokens=placement.hit_tokens,
        wait_ms=round(placement.wait_s * MILLISECONDS),
        cost_ms=round(placement.cost_s * MILLISECONDS),
        resumed_from=exchange.resumed_from,
        left_ms=round((exchange.until_s - time.monotonic()) * MILLISECONDS),
    )


def log_outcome(
    exchange: Exchange, placement: Placement, outcome: Failed | NotRun
) -> None:
    """Log an attempt that gave no answer."""
    fields = {"not_run": isinstance(outcome, NotRun)}
    if isinstance(outcome, NotRun):
        fields["status"] = outcome.status
        fields["weights"] = outcome.facts.weights
    else:
        fields["reason"] = outcome.reason
        fields["may_have_run"] = outcome.may_have_run
    log_event(
        "attempt failed",
        request=exchange.request,
        upstream=placement.state.upstream.name,
        age_ms=exchange.age_ms(),
        **fields,
    )


def log_answer(exchange: Exchange, status: int) -> None:
    """Log an upstream's answer that the caller was given."""
    age_ms = exchange.age_ms()
    log_event("answered", request=exchange.request, status=status, age_ms=age_ms)
