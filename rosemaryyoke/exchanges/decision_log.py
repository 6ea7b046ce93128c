"""Log the routing decisions of an exchange with their inputs."""

import time
from typing import Sequence

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.attempt import AttemptFailed, NotRun
from rosemaryyoke.exchanges.exchange import Exchange
from rosemaryyoke.fleet import ComparedQueue, Placement

MS_PER_S = 1_000


def log_placement(exchange: Exchange, placement: Placement) -> None:
    """Log the chosen upstream and the inputs of the choice."""
    configuration = exchange.configuration
    log_event(
        "placed",
        request=exchange.request_id,
        route=exchange.route.name,
        account=exchange.account.name if exchange.account else None,
        configuration=configuration.version,
        upstream=placement.state.upstream.name,
        send=exchange.send_count,
        hit_tokens=placement.hit_tokens,
        wait_ms=round(placement.wait_s * MS_PER_S),
        cost_ms=round(placement.cost_s * MS_PER_S),
        resumed_from=exchange.resumed_from,
        left_ms=round((exchange.response_deadline_s - time.monotonic()) * MS_PER_S),
    )


def log_outcome(
    exchange: Exchange, placement: Placement, outcome: AttemptFailed | NotRun
) -> None:
    """Log an attempt without a response."""
    fields = {"not_run": isinstance(outcome, NotRun)}
    if isinstance(outcome, NotRun):
        fields["status"] = outcome.status
        fields["weights"] = outcome.metadata.weights_version
    else:
        fields["reason"] = outcome.reason
        fields["may_have_run"] = outcome.may_have_run
    log_event(
        "attempt failed",
        request=exchange.request_id,
        upstream=placement.state.upstream.name,
        age_ms=exchange.age_ms(),
        **fields,
    )


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
    age_ms = exchange.age_ms()
    log_event("answered", request=exchange.request_id, status=status, age_ms=age_ms)
