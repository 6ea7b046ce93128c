"""End exchanges: send the last response, and log and count why."""

import time
from typing import Iterable, NoReturn

from attrs import define

from rosemaryyoke.core import Metrics
from rosemaryyoke.exchanges.attempt import AttemptFailed, Outcome, ResponseReceived
from rosemaryyoke.exchanges.caller import (
    CallerConnection,
    CallerDisconnected,
    ResponseAborted,
)
from rosemaryyoke.exchanges.decision_log import (
    CUT_AT_DEADLINE,
    CUT_WITHOUT_UPSTREAM,
    SHUTDOWN,
    cut_cause,
    log_end,
    log_refusal,
    log_response,
    outcome_reason,
)
from rosemaryyoke.exchanges.error_responses import (
    TIMEOUT_CODE,
    error_for_outcome,
    host_ended_error,
)
from rosemaryyoke.exchanges.exchange import ErrorResponse, Exchange, RequestRejected
from rosemaryyoke.http1.messages import end_to_end_headers

INTERNAL_ERROR = "internal error"


@define(eq=False)
class Endings:
    """Ends the exchanges of one host; each is logged and counted once."""

    metrics: Metrics

    def complete(self, exchange: Exchange, outcome: Outcome) -> None:
        """Send the last outcome to the caller."""
        if isinstance(outcome, AttemptFailed) and outcome.host_ended:
            self.end_with_host(exchange)
            return
        if exchange.caller.streaming:
            self.cut_stream(exchange, cut_cause(outcome), outcome_reason(outcome))
        if isinstance(outcome, ResponseReceived):
            message = outcome.message
            headers = [
                item
                for item in end_to_end_headers(message.headers)
                if item[0].lower() != b"content-length"
            ]
            exchange.caller.send_response(
                message.status, message.reason, headers, message.body
            )
            self.record_response(exchange, message.status)
            return
        raise RequestRejected(error_for_outcome(exchange, outcome))

    def end_with_host(self, exchange: Exchange) -> None:
        """End an exchange because this process ends; raise if a stream is cut."""
        self.record_unfinished([exchange])
        if exchange.caller.streaming:
            raise ResponseAborted(SHUTDOWN)
        error = host_ended_error(exchange)
        exchange.caller.send_error(
            error.status, error.code, error.message, error.retry_after_s
        )

    def record_response(self, exchange: Exchange, status: int) -> None:
        """Log and count a response forwarded to the caller."""
        log_response(exchange, status)
        self.count("answered")
        elapsed_s = time.monotonic() - exchange.started_s
        self.metrics.observe("answer_seconds", elapsed_s, kind=exchange.route.kind)

    def record_departure(
        self, exchange: Exchange, departure: CallerDisconnected
    ) -> None:
        """Log and count a caller that left before the end of its response."""
        if exchange.caller.host_ends:
            self.record_unfinished([exchange])
            return
        log_end("caller left", exchange, departure.cause, str(departure))
        self.count(departure.cause)

    def reject_exchange(self, exchange: Exchange, error: ErrorResponse) -> None:
        """Send an error response, or cut a stream that has begun."""
        if exchange.caller.streaming:
            expired = error.code == TIMEOUT_CODE
            cause = CUT_AT_DEADLINE if expired else CUT_WITHOUT_UPSTREAM
            self.cut_stream(exchange, cause, error.message)
        self.reject(exchange.caller, error)

    def reject(self, caller: CallerConnection, error: ErrorResponse) -> None:
        """Send an error response."""
        self.metrics.count("refusals_total", code=error.code)
        self.count("refused")
        log_refusal(caller.request_id.decode("latin-1"), error)
        caller.send_error(error.status, error.code, error.message, error.retry_after_s)

    def cut_stream(self, exchange: Exchange, cause: str, reason: str) -> NoReturn:
        """End a stream that cannot continue; raise ``ResponseAborted``."""
        log_end("stream cut", exchange, cause, reason)
        self.count(f"stream cut: {cause}")
        raise ResponseAborted(reason)

    def count(self, cause: str) -> None:
        """Count the end of a request by its cause."""
        self.metrics.count("requests_ended_total", cause=cause)

    def record_internal_error(self, exchange: Exchange) -> None:
        """Log and count a request that an error of this program ended."""
        log_end("request failed", exchange, INTERNAL_ERROR, "see the error logged")
        self.count(INTERNAL_ERROR)

    def record_unfinished(self, exchanges: Iterable[Exchange]) -> None:
        """Log and count the requests that end with this process."""
        for exchange in exchanges:
            log_end("request aborted", exchange, SHUTDOWN, "the grace period ended")
            self.count(SHUTDOWN)
