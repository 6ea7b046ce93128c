"""Forward exchanges by way of other hosts."""

import time

import orjson
from attrs import define, evolve, field, frozen

from rosemaryyoke.core import Metrics
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.attempt import (
    Attempt,
    AttemptFailed,
    Outcome,
    ResponseReceived,
    StreamCompleted,
)
from rosemaryyoke.exchanges.connections import UpstreamConnection
from rosemaryyoke.exchanges.endings import Endings
from rosemaryyoke.exchanges.error_responses import unreachable_error
from rosemaryyoke.exchanges.exchange import ErrorResponse, Exchange, RequestRejected
from rosemaryyoke.exchanges.messages import (
    ForwardingToHost,
    HeaderCodec,
    ResponseMetadata,
)
from rosemaryyoke.exchanges.response_memory import ResponseMemory
from rosemaryyoke.fleet import RetryBudget, UpstreamState
from rosemaryyoke.forwarding.envelope import (
    ERROR_HEADER,
    FORWARDED_HEADER,
    Envelope,
    without_envelope,
)
from rosemaryyoke.forwarding.hosts import ForwardingHosts
from rosemaryyoke.http1 import Headers, ResponseMessage
from rosemaryyoke.http1.messages import encode_head, find_header
from rosemaryyoke.http1.sockets import KEEPALIVE_TIMEOUT_S, close, connect

HTTP_OK = 200
MAX_HOSTS = 3  # that one exchange is forwarded to
# A host that has gone is noticed by its beacons; its connection is a second sign.
TCP_USER_TIMEOUT_S = KEEPALIVE_TIMEOUT_S
HOST_PAUSE_S = 1.0  # after a failure to connect to a host
LIVENESS_CHECK_S = 0.5  # without progress, until a host's beacons are considered
# Answers of hosts that promise that the request has not run and never will.
NOT_RUN_STATUSES = (429, 503)
UNREAD_STATUSES = (404, 503)  # of a server that does not know the request
# Codes of errors that another host may not have.
ERRORS_OF_ONE_HOST = frozenset(
    {
        "busy",
        "leaving",
        "no_configuration",
        "stale_configuration",
        "unknown_host",
        "unreachable",
    }
)


class HostConnector:
    """Opens a connection for each forwarded request.

    On a connection of its own no late answer to another request can arrive, and none
    is lost to the close of an idle connection.
    """

    def take(
        self, host, timeout_s: float, max_idle_s: float, request_id: bytes
    ) -> UpstreamConnection:
        """Return a new connection to a host; raise ``OSError`` if there is none."""
        opened = connect(host.address, timeout_s, TCP_USER_TIMEOUT_S)
        return UpstreamConnection(opened, host.name)

    def release(self, connection: UpstreamConnection, answer: ResponseMessage) -> None:
        """Close the connection after its response."""
        close(connection.socket)


@frozen
class HostCodec:
    """Parses the responses of other hosts.

    Refusals of upstreams end at the host that received them.
    """

    codec: HeaderCodec

    def parse_response_headers(self, status: int, headers: Headers) -> ResponseMetadata:
        """Parse the status and headers of a response."""
        return evolve(self.codec.parse_response_headers(status, headers), not_run=False)


@define(eq=False)
class RequestForwarder:
    """Forwards the exchanges of one host by way of others.

    They place the requests, retry them and account for them; this host keeps the
    caller, and moves to another host only if the first did not take the request, or
    is lost and the request may run again.
    """

    hosts: ForwardingHosts
    codec: HeaderCodec
    budget: RetryBudget
    endings: Endings
    metrics: Metrics
    memory: ResponseMemory
    connector: HostConnector = field(factory=HostConnector)

    def forward(self, exchange: Exchange) -> None:
        """Forward an exchange until it completes; raise ``RequestRejected``."""
        tried: set[str] = set()
        rejection = unreachable_error(exchange)
        while len(tried) < MAX_HOSTS:
            state = self.choose(exchange, tried)
            if state is None:
                break
            tried.add(state.upstream.name)
            outcome = self.send(exchange, state)
            if isinstance(outcome, StreamCompleted):
                self.endings.record_response(exchange, HTTP_OK)
                return
            error = host_error(outcome)
            if error is not None:
                rejection = truthful_error(exchange, error)
                if error.code in ERRORS_OF_ONE_HOST:
                    continue
                break
            if not self.may_move(exchange, outcome):
                self.endings.complete(exchange, outcome)
                return
        raise RequestRejected(rejection)

    def choose(self, exchange: Exchange, tried: set[str]) -> UpstreamState | None:
        """Return the next host for an exchange, if there is one."""
        version = exchange.configuration.version
        return self.hosts.choose(exchange.services, version, tried)

    def can_forward(self, exchange: Exchange) -> bool:
        """Return whether some host may take an exchange."""
        return self.choose(exchange, set()) is not None

    def send(self, exchange: Exchange, state: UpstreamState) -> Outcome:
        """Send an exchange to a host and return the outcome."""
        attempt = self.make_attempt(exchange, state)
        active = self.hosts.begin(state)
        try:
            outcome = attempt.run()
        finally:
            self.hosts.end(state, active)
            exchange.received = attempt.summarize_response()
        if isinstance(outcome, AttemptFailed):
            self.record_failure(exchange, attempt, outcome)
        return outcome

    def make_attempt(self, exchange: Exchange, state: UpstreamState) -> Attempt:
        """Return the attempt to forward an exchange by way of a host."""
        exchange.send_count += 1
        exchange.last_upstream = exchange.via = state.upstream.name
        self.metrics.count("requests_forwarded_total")
        log_event(
            "request forwarded",
            request=exchange.request_id,
            host=state.upstream.name,
            services=exchange.services,
            send=exchange.send_count,
            runs=exchange.run_count,
            left_ms=exchange.left_ms(),
        )
        now_s = time.monotonic()
        attempt = Attempt(
            state,
            self.encode(exchange, now_s),
            exchange.metadata.request_id,
            HostCodec(self.codec),
            self.connector,
            exchange.caller,
            exchange.relay,
            exchange.response_deadline_s,
            now_s + LIVENESS_CHECK_S,
            LIVENESS_CHECK_S if exchange.route.resumable else 0.0,
            memory=self.memory,
            requires_id=False,
            body=exchange.body,
        )
        attempt.on_stall = lambda: not self.hosts.is_live(state) and self.may_repeat(
            exchange
        )
        return attempt

    def encode(self, exchange: Exchange, now_s: float) -> bytes:
        """Encode the head for another host: what the caller sent, and an envelope.

        The deadline is that of the whole exchange at this host.
        """
        message, metadata = exchange.message, exchange.metadata
        began_here = exchange.resumed_from is not None
        options = ForwardingToHost(
            deadline_s=exchange.response_deadline_s - now_s,
            last_event_id=exchange.resumed_from or metadata.last_event_id,
            resumes=(
                metadata.request_id
                if began_here and metadata.last_event_id is None
                else metadata.resumes
            ),
        )
        envelope = Envelope(
            self.hosts.table.host,
            exchange.configuration.version,
            exchange.run_count,
            exchange.origin,
            exchange.charged,
        )
        headers = self.codec.headers_for_host(
            without_envelope(message.headers), options
        )
        headers.append((FORWARDED_HEADER, envelope.encode()))
        headers.append((b"Content-Length", b"%d" % len(exchange.body)))
        first_line = b"%s %s HTTP/1.1" % (message.method, message.target)
        return encode_head(first_line, headers)

    def record_failure(
        self, exchange: Exchange, attempt: Attempt, outcome: AttemptFailed
    ) -> None:
        """Record that a host gave no whole response, and close the connection."""
        attempt.abandon()
        if outcome.may_have_run:
            exchange.may_have_run = True
            exchange.run_count += 1
        if outcome.no_contact:
            attempt.state.suspect_until_s = time.monotonic() + HOST_PAUSE_S
        log_event(
            "forwarding failed",
            request=exchange.request_id,
            host=attempt.state.upstream.name,
            reason=outcome.reason,
            may_have_run=outcome.may_have_run,
            age_ms=exchange.age_ms(),
        )

    def may_move(self, exchange: Exchange, outcome: Outcome) -> bool:
        """Return whether another host may take over after a failure."""
        if not isinstance(outcome, AttemptFailed) or outcome.deadline_exceeded:
            return False
        if exchange.caller.host_ends:
            return False
        if outcome.may_have_run and not self.may_repeat(exchange):
            return False
        if not exchange.is_resumable:
            return False
        exchange.prepare_resume()
        if not outcome.may_have_run:
            return True
        return self.budget.try_retry(exchange.service, time.monotonic())

    def may_repeat(self, exchange: Exchange) -> bool:
        """Return whether an exchange that may have run may run once more."""
        route = exchange.route
        in_time = time.monotonic() < exchange.response_deadline_s
        runs = max(1, exchange.run_count)
        return route.repeatable and in_time and runs < route.max_attempts


def host_error(outcome: Outcome) -> ErrorResponse | None:
    """Return the error that the other host generated, if the response is one."""
    if not isinstance(outcome, ResponseReceived):
        return None
    message = outcome.message
    code = find_header(message.headers, ERROR_HEADER.lower())
    if code is None and is_refused_unread(outcome):
        code = b"busy"
    if code is None:
        return None
    try:
        text = orjson.loads(message.body)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        text = "another host failed on the request"
    return ErrorResponse(
        message.status, code.decode("latin-1"), text, retry_after_s(message)
    )


def is_refused_unread(outcome: ResponseReceived) -> bool:
    """Return whether a host refused a connection, or knows no forwarded requests.

    Answers of upstreams are sealed and identify the request.
    """
    metadata = outcome.metadata
    identified = metadata.sealed or metadata.request_id is not None
    return not identified and outcome.message.status in UNREAD_STATUSES


def retry_after_s(message: ResponseMessage) -> float | None:
    """Return after how many seconds the other host wants the caller back."""
    value = find_header(message.headers, b"retry-after")
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def truthful_error(exchange: Exchange, error: ErrorResponse) -> ErrorResponse:
    """Return the error for the caller: one that may have run is no refusal."""
    if exchange.is_admitted and error.status in NOT_RUN_STATUSES:
        return ErrorResponse(502, "upstream_failed", error.message)
    return error
