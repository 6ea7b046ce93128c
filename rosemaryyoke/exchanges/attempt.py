"""One attempt to send a request to an upstream, and its outcome."""

import errno
import math
import select
import socket
import time
from enum import StrEnum
from typing import Callable

from attrs import define, field, frozen

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.caller import (
    JOINED_BODY_BYTES,
    CallerConnection,
    CallerDisconnected,
    hangup_cause,
)
from rosemaryyoke.exchanges.connections import ConnectionPool, UpstreamConnection
from rosemaryyoke.exchanges.events import EventRelay
from rosemaryyoke.exchanges.messages import HeaderCodec, ResponseMetadata
from rosemaryyoke.exchanges.response_memory import ResponseMemory
from rosemaryyoke.fleet import UpstreamState
from rosemaryyoke.http1 import Framing, ResponseMessage, ResponseParser
from rosemaryyoke.http1.errors import MalformedEvent, ResponseTooLarge
from rosemaryyoke.http1.messages import end_to_end_headers
from rosemaryyoke.http1.sockets import HANGUP_EVENTS, MS_PER_S, READ_BYTES, close

CONNECT_TIMEOUT_S = 0.3
HTTP_OK = 200
# While the caller of a stream does not read on, several copies of a read are held.
STREAM_READ_BYTES = 16 * 1024
SUCCESS_STATUSES = range(200, 300)
SUCCESS_START = b"HTTP/1.1 200"
STALL_CHECK_INTERVAL_S = 0.25
SUSTAINED_S = 0.7  # an engine that crashes on a prompt does so as it begins to answer
# A reused connection that is lost later was open when the request arrived.
STALE_ROUND_TRIPS = 2
STALE_MARGIN_S = 0.015
RESET_ERRORS = frozenset({errno.ECONNRESET, errno.EPIPE})
# Two upstreams may work on one request for at most 0.4 s.
HANDOVER_S = 0.3


class ConnectionState(StrEnum):
    """How an attempt found its connection to the upstream at the end."""

    OPEN = "open"
    CLOSED = "closed"  # in order, by the upstream
    LOST = "lost"  # reset, or timed out


@frozen
class ResponseSummary:
    """What an attempt received of its response, for the log.

    ``framing`` and ``head_age_ms`` are ``None`` if no head arrived. The latter is the
    time from the head to the end. ``partial_event_bytes`` is the size of the incomplete
    event at the end of a stream. ``weights`` is the version of the weights that the
    head names.
    """

    framing: Framing | None
    connection: ConnectionState
    partial_event_bytes: int
    head_age_ms: int | None = None
    weights: int | None = None


@frozen
class ResponseReceived:
    """The complete response was read."""

    message: ResponseMessage
    metadata: ResponseMetadata


@frozen
class StreamCompleted:
    """The whole stream was relayed."""


@frozen
class NotRun:
    """The upstream guarantees that it did not run the request."""

    status: int
    metadata: ResponseMetadata


@frozen
class AttemptFailed:
    """No complete response arrived. ``may_have_run`` is false only if that is certain.

    ``stale_connection`` means that the upstream had closed an idle connection, which
    says nothing about the health of the upstream. ``broken_off`` means that the
    upstream ended the response early or closed the connection, as it does when it
    crashes. ``timed_out`` means that another upstream is reserved for the request; the
    connection stays open until that one has accepted it. ``upstream_responds`` means
    that the upstream answered a health check after the timeout, so that it is merely
    slow; ``health_recorded`` that its state has been updated already, or that the
    failure says nothing about it; ``connection_refused`` that nothing listens there.
    ``not_connected`` means that no connection could be opened, ``no_contact`` that
    nothing shows that the upstream can still be reached. ``host_ended`` means that this
    process ends, so that no other attempt may follow.
    """

    reason: str
    may_have_run: bool
    deadline_exceeded: bool = False
    timed_out: bool = False
    stale_connection: bool = False
    broken_off: bool = False
    upstream_responds: bool = False
    health_recorded: bool = False
    connection_refused: bool = False
    not_connected: bool = False
    no_contact: bool = False
    host_ended: bool = False


Outcome = ResponseReceived | StreamCompleted | NotRun | AttemptFailed


def ignore_stall() -> None:
    """Do nothing about a first stall."""


def keep_waiting() -> bool:
    """Return that no other upstream is reserved after a stall."""
    return False


@define(eq=False)
class Attempt:
    """Sends one request to one upstream and reads its response.

    ``progress_deadline_s`` is the deadline for the first byte or event, and
    ``stall_timeout_s`` limits the time between whole events. After either,
    ``on_first_stall`` is called once, and then ``on_stall`` at intervals until it
    returns that another upstream is reserved; without one the attempt continues.
    ``response_deadline_s`` is the deadline of the whole exchange. ``predecessor`` is
    the attempt that this one takes over from: which of them delivers first, goes on.
    ``body`` follows ``request``, without a copy of its own if it is large.
    ``on_sustained`` is called once when the response has gone on for ``SUSTAINED_S``
    after its head. Unless ``requires_id``, a response without an identifier is taken
    for the one to this request, which then needs a connection of its own.
    """

    state: UpstreamState
    request: bytes
    request_id: bytes
    codec: HeaderCodec
    pool: ConnectionPool
    caller: CallerConnection
    relay: EventRelay | None
    response_deadline_s: float
    progress_deadline_s: float
    stall_timeout_s: float = 0.0
    connection: UpstreamConnection | None = None
    reader: ResponseParser = field(factory=ResponseParser)
    unsent: memoryview = field(init=False)
    events_before: int = field(init=False)
    metadata: ResponseMetadata | None = None
    memory: ResponseMemory = field(factory=ResponseMemory)
    held_bytes: int = 0
    last_byte_s: float = 0.0
    last_progress_s: float = 0.0
    head_s: float | None = None
    connection_state: ConnectionState = ConnectionState.OPEN
    started_s: float = field(factory=time.monotonic)
    on_first_event: Callable[[], None] | None = None
    on_first_stall: Callable[[], None] = ignore_stall
    on_stall: Callable[[], bool] = keep_waiting
    has_stalled: bool = False
    stall_checked_s: float = -math.inf
    predecessor: "Attempt | None" = None
    handover_end_s: float = math.inf
    on_head: Callable[[ResponseMetadata], None] | None = None
    on_sustained: Callable[[], None] | None = None
    max_idle_s: float = math.inf
    requires_id: bool = True
    has_skipped: bool = False
    body: bytes | bytearray = b""
    unsent_body: memoryview = field(init=False, default=memoryview(b""))

    def __attrs_post_init__(self) -> None:
        if len(self.body) <= JOINED_BODY_BYTES:
            self.request, self.body = self.request + self.body, b""
        self.unsent = memoryview(self.request)
        self.unsent_body = memoryview(self.body)
        self.events_before = self.relay.events if self.relay is not None else 0

    def run(self) -> Outcome:
        """Connect, send and receive, then release or close the connection."""
        try:
            timeout_s = min(
                CONNECT_TIMEOUT_S, self.response_deadline_s - time.monotonic()
            )
            self.connection = self.pool.take(
                self.state.upstream,
                max(0.001, timeout_s),
                self.max_idle_s,
                self.request_id,
            )
        except OSError as error:
            return AttemptFailed(
                f"no connection: {error}",
                may_have_run=False,
                connection_refused=error.errno == errno.ECONNREFUSED,
                not_connected=True,
                no_contact=True,
            )
        if self.predecessor is not None:
            self.handover_end_s = time.monotonic() + HANDOVER_S
        return self._await_outcome()

    def resume(self) -> Outcome:
        """Continue to receive after the upstream that was to take over did not."""
        self.stall_checked_s = time.monotonic()
        return self._await_outcome()

    def abandon(self) -> None:
        """Close the connection, which ends the upstream's work on the request."""
        self._fits_in_memory(0)
        self.reader.close()
        self._forget_callbacks()
        if self.connection is not None:
            close(self.connection.socket)
            self.connection = None

    @property
    def is_open(self) -> bool:
        """Return whether the upstream may still work on the request."""
        return self.connection is not None

    @property
    def delivered_events(self) -> int:
        """Return the number of events of this attempt that the caller was sent."""
        return self.relay.events - self.events_before if self.relay is not None else 0

    @property
    def is_sustained(self) -> bool:
        """Return whether the response has gone on for some time after its head.

        Events of a stream must have been delivered, as its head may come early.
        """
        age_s = time.monotonic() - (self.head_s or math.inf)
        goes_on = self.relay is None or self._has_delivered_events()
        return age_s >= SUSTAINED_S and goes_on

    def summarize_response(self) -> ResponseSummary:
        """Return what was received so far of the response to this request."""
        message = self._matching_response()
        return ResponseSummary(
            framing=message.framing if message is not None else None,
            connection=self.connection_state,
            partial_event_bytes=self._partial_event_bytes(),
            head_age_ms=self._head_age_ms(),
            weights=self.metadata.weights_version if message is not None else None,
        )

    def _head_age_ms(self) -> int | None:
        if self.head_s is None:
            return None
        return round((time.monotonic() - self.head_s) * MS_PER_S)

    def _partial_event_bytes(self) -> int:
        if self.relay is None or not self.relay.is_within_event:
            return 0
        return self.relay.buffered_bytes

    def _await_outcome(self) -> Outcome:
        try:
            outcome = self._send_and_receive()
        except CallerDisconnected:
            self.abandon()
            raise
        except OSError as error:
            self.connection_state = ConnectionState.LOST
            stale_connection = (
                error.errno != errno.ETIMEDOUT and self._is_stale_connection()
            )
            reason = f"connection lost: {error}"
            outcome = AttemptFailed(
                reason,
                self._sent_whole(),
                stale_connection=stale_connection,
                broken_off=error.errno in RESET_ERRORS,
                no_contact=error.errno == errno.ETIMEDOUT,
            )
        if not (isinstance(outcome, AttemptFailed) and outcome.timed_out):
            self._release_connection(outcome)
        return outcome

    def _is_stale_connection(self) -> bool:
        """Return whether a reused connection was closed before the request arrived."""
        age_s = time.monotonic() - self.started_s
        stale_s = STALE_ROUND_TRIPS * self.connection.round_trip_s + STALE_MARGIN_S
        return self.connection.reused and not self.last_byte_s and age_s < stale_s

    def _sent_whole(self) -> bool:
        return not self.unsent

    def _release_connection(self, outcome: Outcome) -> None:
        message = self._matching_response()
        clean = (
            not isinstance(outcome, AttemptFailed)
            and message is not None
            and message.complete
            and message is self.reader.responses[-1]
            and not self.reader.malformed
            and self._sent_whole()
        )
        self._finish_counting(outcome)
        self.reader.close()
        self._forget_callbacks()
        if clean:
            if isinstance(outcome, NotRun):
                self.connection.refused.add(self.request_id)
            self.pool.release(self.connection, message)
            self.connection = None
        else:
            self.abandon()

    def _fits_in_memory(self, held_bytes: int) -> bool:
        """Count the bytes that this attempt holds; return whether they fit."""
        before, self.held_bytes = self.held_bytes, held_bytes
        fits = self.memory.resize(before, held_bytes)
        return self.caller.hold(held_bytes - before) and fits

    def _forget_callbacks(self) -> None:
        """Drop the callbacks, which refer to this attempt.

        Its bodies are then freed with the last reference, not by a garbage collection.
        """
        self.on_first_event = self.on_head = self.on_sustained = None
        self.on_first_stall, self.on_stall = ignore_stall, keep_waiting

    def _finish_counting(self, outcome: Outcome) -> None:
        """Count no longer, but for what the caller holds until it is written."""
        if isinstance(outcome, ResponseReceived):
            self.memory.resize(self.held_bytes, 0)
            self.held_bytes = 0
        else:
            self._fits_in_memory(0)

    def _send_and_receive(self) -> Outcome:
        upstream = self.connection.socket
        poller = select.poll()
        poller.register(self.caller.socket, select.POLLRDHUP)
        for _, events in poller.poll(0):
            return self._end_without_caller(events)
        self._send(upstream)
        poller.register(upstream, self._poll_events())
        while True:
            now_s = time.monotonic()
            if now_s >= self.handover_end_s and not self._end_handover():
                return AttemptFailed(
                    "the earlier upstream goes on",
                    self._sent_whole(),
                    health_recorded=True,
                )
            wake_s = min(
                self.response_deadline_s, self._stall_deadline_s(), self.handover_end_s
            )
            wait_ms = max(0.0, wake_s - now_s) * MS_PER_S
            for descriptor, events in poller.poll(math.ceil(wait_ms)):
                if descriptor == self.caller.socket.fileno():
                    return self._end_without_caller(events)
                if self.unsent and events & select.POLLOUT:
                    self._send(upstream)
                    poller.modify(upstream, self._poll_events())
                if events & (select.POLLIN | HANGUP_EVENTS):
                    outcome = self._receive(upstream)
                    if outcome is not None:
                        return outcome
            # Compares the time before the poll: this host may have been delayed since
            # then, and what had arrived by a deadline is in time.
            outcome = self._check_deadlines(now_s)
            if outcome is not None:
                return outcome

    def _end_without_caller(self, events: int) -> AttemptFailed:
        """Return the outcome if this process ends, or else raise that the caller left.

        The caller is still there in the first case, and is told if the request may run.
        """
        if not self.caller.host_ends:
            raise CallerDisconnected(hangup_cause(events))
        return AttemptFailed(
            "this host ends",
            self._sent_whole(),
            health_recorded=True,
            host_ended=True,
        )

    def _end_handover(self) -> bool:
        """Leave the earlier upstream; return false if it has gone on meanwhile."""
        self.handover_end_s = math.inf
        if self.predecessor.goes_on():
            return False
        self.predecessor.abandon()
        return True

    def goes_on(self) -> bool:
        """Return whether more of a successful response has arrived meanwhile."""
        if not self.is_open:
            return False
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            data = self.connection.socket.recv(len(SUCCESS_START), flags)
        except OSError:
            return False
        return bool(data) and (self.metadata is not None or data == SUCCESS_START)

    def _check_deadlines(self, now_s: float) -> AttemptFailed | None:
        """Return the outcome if the attempt ends now for lack of time or progress."""
        if now_s >= self.response_deadline_s:
            return AttemptFailed(
                "the deadline expired", self._sent_whole(), deadline_exceeded=True
            )
        if now_s < self._stall_deadline_s():
            return None
        if not self.has_stalled:
            self.has_stalled = True
            self.on_first_stall()
            return None  # what arrived meanwhile may end the stall
        if self.on_stall():
            return AttemptFailed(
                "no progress before the timeout",
                self._sent_whole(),
                timed_out=True,
                health_recorded=True,
            )
        self.stall_checked_s = time.monotonic()
        return None

    def _stall_deadline_s(self) -> float:
        if self.handover_end_s < math.inf:
            return math.inf
        next_check_s = self.stall_checked_s + STALL_CHECK_INTERVAL_S
        return max(self._progress_deadline_s(), next_check_s)

    def _progress_deadline_s(self) -> float:
        if not self._has_progress():
            return self.progress_deadline_s
        if self.stall_timeout_s:
            return self.last_progress_s + self.stall_timeout_s
        return self.response_deadline_s

    def _has_progress(self) -> bool:
        return self.last_progress_s > 0

    def _poll_events(self) -> int:
        return select.POLLIN | (select.POLLOUT if self.unsent else 0)

    def _send(self, upstream: socket.socket) -> None:
        try:
            while self.unsent:
                more = socket.MSG_MORE if self.unsent_body else 0
                sent = upstream.send(self.unsent, socket.MSG_DONTWAIT | more)
                self.unsent = self.unsent[sent:]
                if not self.unsent:
                    self.unsent, self.unsent_body = self.unsent_body, memoryview(b"")
        except BlockingIOError:
            pass

    def _receive(self, upstream: socket.socket) -> Outcome | None:
        streams = self.relay is not None
        data = upstream.recv(STREAM_READ_BYTES if streams else READ_BYTES)
        if data:
            self.reader.feed(data)
        else:
            self.connection_state = ConnectionState.CLOSED
            self.reader.feed_eof()
        message = self._matching_response()
        if message is not None:
            outcome = self._process_response(message)
            if outcome is not None:
                return outcome
        elif self.reader.responses and not self.has_skipped:
            self._log_skipped(self.reader.responses[0])
        if not data:
            reason, sent = "the upstream closed its connection", self._sent_whole()
            return AttemptFailed(
                reason,
                sent,
                stale_connection=self._is_stale_connection(),
                broken_off=True,
            )
        if self.reader.malformed:
            return AttemptFailed(self.reader.error, self._sent_whole())
        partial_bytes = self.relay.buffered_bytes if self.relay is not None else 0
        if not self._fits_in_memory(self.reader.held_bytes + partial_bytes):
            return AttemptFailed(
                "no memory for the response", self._sent_whole(), health_recorded=True
            )
        return None

    def _log_skipped(self, message: ResponseMessage) -> None:
        """Log the first response that is not the one to this request."""
        if not message.head_complete:
            return
        self.has_skipped = True
        metadata = self.codec.parse_response_headers(message.status, message.headers)
        log_event(
            "response skipped",
            request=self.request_id,
            upstream=self.state.upstream.name,
            status=message.status,
            response_request=metadata.request_id,
            reused=self.connection.reused,
        )

    def _matching_response(self) -> ResponseMessage | None:
        """Return the response to this request.

        Late responses to earlier requests, and stray ones without an identifier, are
        skipped.
        """
        for message in self.reader.responses:
            if not message.head_complete:
                return None
            metadata = self.codec.parse_response_headers(
                message.status, message.headers
            )
            if self._is_own(metadata.request_id):
                self.metadata = metadata
                return message
        return None

    def _is_own(self, request_id: bytes | None) -> bool:
        """Return whether a response with an identifier is the one to this request."""
        if request_id is None:
            return not (self.requires_id and self.request_id)
        return request_id == self.request_id

    def _process_response(self, message: ResponseMessage) -> Outcome | None:
        """Process new response data; return the outcome once it is complete."""
        self.last_byte_s = self.state.last_byte_s = time.monotonic()
        if self.head_s is None:
            self.head_s = self.last_byte_s
        if self.on_head is not None:
            self.on_head(self.metadata)
            self.on_head = None
        if self.relay is not None and message.status == HTTP_OK:
            return self._relay_stream(message)
        self.last_progress_s = self.last_byte_s
        if not message.complete:
            return None
        if self.metadata.not_run:
            return NotRun(message.status, self.metadata)
        if message.status in SUCCESS_STATUSES and not self.metadata.sealed:
            return AttemptFailed("the response is not sealed", may_have_run=True)
        return ResponseReceived(message, self.metadata)

    def _relay_stream(self, message: ResponseMessage) -> Outcome | None:
        if not self.metadata.sealed:
            return AttemptFailed("the response is not sealed", may_have_run=True)
        if not self.relay.started:
            headers = [
                item
                for item in end_to_end_headers(message.headers)
                if item[0].lower() != b"content-length"
            ]
            self.relay.head = self.caller.begin_stream(
                message.status, message.reason, headers
            )
        data = message.drain_body()
        if data:
            before = self.relay.events
            if self.predecessor is not None:
                self.handover_end_s = math.inf
                self.predecessor.abandon()
            try:
                self.relay.feed(data)
            except (MalformedEvent, ResponseTooLarge) as error:
                return AttemptFailed(str(error), may_have_run=True)
            # Time spent writing to a slow caller is no stall of the upstream.
            self.last_byte_s = time.monotonic()
            if self.relay.events > before:
                self.last_progress_s = self.last_byte_s
            if self.on_first_event is not None and self.relay.events > before:
                self.on_first_event()
                self.on_first_event = None
            if self.on_sustained is not None and self.is_sustained:
                self.on_sustained()
                self.on_sustained = None
        if not message.complete:
            return None
        if self.relay.is_within_event:
            return AttemptFailed(
                "the stream ended within an event", may_have_run=True, broken_off=True
            )
        if message.framing is Framing.CONNECTION and not self._has_delivered_events():
            return AttemptFailed(
                "the stream ended without events", may_have_run=True, broken_off=True
            )
        self.relay.finish()
        return StreamCompleted()

    def _has_delivered_events(self) -> bool:
        return self.delivered_events > 0
