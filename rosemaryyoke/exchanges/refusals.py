"""What a caller is told where no upstream's answer can be given to it."""

from rosemaryyoke.exchanges.attempt import Answered, Failed, NotRun
from rosemaryyoke.exchanges.exchange import Exchange, Refusal, retry_after_s
from rosemaryyoke.fleet import NoUpstream

HTTP_SERVER_ERROR = 500
NOT_RUN_RETRY_S = 0.2


def is_failure(outcome: Answered) -> bool:
    """Tell whether an answer is the upstream's own failure."""
    return outcome.message.status >= HTTP_SERVER_ERROR


def refusal_after(exchange: Exchange, outcome: Failed | NotRun) -> Refusal:
    """Return the refusal that the last outcome leads to."""
    if isinstance(outcome, Failed) and outcome.out_of_time:
        return time_is_up(exchange)
    if exchange.may_have_run or exchange.runs:
        return Refusal(502, "upstream_failed", "the upstream gave no whole answer")
    return Refusal(
        503, "not_run", "no upstream took the request", retry_after_s(NOT_RUN_RETRY_S)
    )


def time_is_up(exchange: Exchange) -> Refusal:
    """Return the refusal at the end of the caller's time."""
    if exchange.may_have_run or exchange.sends:
        return Refusal(504, "timeout", "the upstream did not answer in time")
    return Refusal(503, "not_run", "no time was left", retry_after_s(NOT_RUN_RETRY_S))


def no_upstream(exchange: Exchange, reason: NoUpstream) -> Refusal:
    """Return the refusal where no upstream is to be had."""
    if exchange.may_have_run or exchange.runs:
        return Refusal(502, "upstream_failed", reason.message)
    wait_s = retry_after_s(reason.retry_after_s)
    return Refusal(503, "no_upstream", reason.message, wait_s)
