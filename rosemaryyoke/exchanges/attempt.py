"""One attempt: a request sent to one upstream, and what came of it."""

import errno
import math
import select
import socket
import time
from typing import Callable

from attrs import define, field, frozen

from rosemaryyoke.exchanges.caller import CallerConnection, CallerGone
from rosemaryyoke.exchanges.connections import ConnectionPool, UpstreamConnection
from rosemaryyoke.exchanges.events import EventRelay
from rosemaryyoke.exchanges.messages import AnswerFacts, Dialect
from rosemaryyoke.fleet import UpstreamState
from rosemaryyoke.http1 import ResponseMessage, ResponseParser
from rosemaryyoke.http1.messages import end_to_end_headers
from rosemaryyoke.http1.sockets import HANGUP_EVENTS, MS_PER_S, READ_BYTES, close

CONNECT_TIMEOUT_S = 0.3
HTTP_OK = 200


@frozen
class Answered:
    """The upstream's whole answer was read."""

    message: ResponseMessage
    facts: AnswerFacts


@frozen
class Streamed:
    """The stream was relayed to its end."""


@frozen
class NotRun:
    """The upstream promises not to have run the request."""

    status: int
    facts: AnswerFacts


@frozen
class Failed:
    """No whole answer came. ``may_have_run`` is false where that is certain.

    ``forgotten`` tells that the upstream had dropped a connection that rested: nothing
    is to be concluded about the upstream itself.
    """

    reason: str
    may_have_run: bool
    out_of_time: bool = False
    impatient: bool = False
    forgotten: bool = False


Outcome = Answered | Streamed | NotRun | Failed


@define(eq=False)
class Attempt:
    """Sends one request to one upstream and reads its answer.

    ``patience_until_s`` is when an attempt without any answer or event is given up for
    another upstream, ``stall_s`` the pause between events at which one is; ``until_s``
    is when the caller's time is up.
    """

    state: UpstreamState
    request: bytes
    request_id: bytes
    dialect: Dialect
    pool: ConnectionPool
    caller: CallerConnection
    relay: EventRelay | None
    until_s: float
    patience_until_s: float
    stall_s: float = 0.0
    connection: UpstreamConnection | None = None
    reader: ResponseParser = field(factory=ResponseParser)
    pending: memoryview = field(init=False)
    facts: AnswerFacts | None = None
    last_byte_s: float = 0.0
    began_s: float = field(factory=time.monotonic)
    on_first_event: Callable[[], None] | None = None
    most_rest_s: float = math.inf

    def __attrs_post_init__(self) -> None:
        self.pending = memoryview(self.request)

    def run(self) -> Outcome:
        """Connect, send, read, and leave the connection as it should be left."""
        try:
            timeout_s = min(CONNECT_TIMEOUT_S, self.until_s - time.monotonic())
            self.connection = self.pool.take(
                self.state.upstream, max(0.001, timeout_s), self.most_rest_s
            )
        except OSError as error:
            return Failed(f"no connection: {error}", may_have_run=False)
        try:
            outcome = self._exchange()
        except CallerGone:
            close(self.connection.socket)
            raise
        except OSError as error:
            forgotten = error.errno != errno.ETIMEDOUT and self._is_forgotten()
            reason = f"connection lost: {error}"
            outcome = Failed(reason, self._sent_whole(), forgotten=forgotten)
        self._leave(outcome)
        return outcome

    def _is_forgotten(self) -> bool:
        """Tell whether a connection that rested was lost before any answer."""
        return self.connection.reused and not self.last_byte_s

    def _sent_whole(self) -> bool:
        return not self.pending

    def _leave(self, outcome: Outcome) -> None:
        message = self._matched()
        clean = (
            not isinstance(outcome, Failed)
            and message is not None
            and message.complete
            and message is self.reader.responses[-1]
            and not self.reader.malformed
            and self._sent_whole()
        )
        if clean:
            self.pool.give_back(self.connection, message)
        else:
            close(self.connection.socket)

    def _exchange(self) -> Outcome:
        upstream = self.connection.socket
        poller = select.poll()
        poller.register(self.caller.socket, select.POLLRDHUP)
        self._send(upstream)
        poller.register(upstream, self._mask())
        while True:
            now_s = time.monotonic()
            limit_s = min(self.until_s, self._patience_limit_s())
            if now_s >= limit_s:
                return self._out_of_time(limit_s)
            for descriptor, events in poller.poll((limit_s - now_s) * MS_PER_S + 1):
                if descriptor != upstream.fileno():
                    raise CallerGone("the caller closed its connection")
                if self.pending and events & select.POLLOUT:
                    self._send(upstream)
                    poller.modify(upstream, self._mask())
                if events & (select.POLLIN | HANGUP_EVENTS):
                    outcome = self._receive(upstream)
                    if outcome is not None:
                        return outcome

    def _patience_limit_s(self) -> float:
        if not self._progressed():
            return self.patience_until_s
        if self.stall_s:
            return self.last_byte_s + self.stall_s
        return self.until_s

    def _progressed(self) -> bool:
        if self.relay is not None:
            return self.relay.events > 0 and self.last_byte_s > 0
        return self.last_byte_s > 0

    def _mask(self) -> int:
        return select.POLLIN | (select.POLLOUT if self.pending else 0)

    def _out_of_time(self, limit_s: float) -> Failed:
        if limit_s < self.until_s:
            return Failed("no answer in time", self._sent_whole(), impatient=True)
        return Failed("the time is up", self._sent_whole(), out_of_time=True)

    def _send(self, upstream: socket.socket) -> None:
        try:
            while self.pending:
                sent = upstream.send(self.pending, socket.MSG_DONTWAIT)
                self.pending = self.pending[sent:]
        except BlockingIOError:
            pass

    def _receive(self, upstream: socket.socket) -> Outcome | None:
        data = upstream.recv(READ_BYTES)
        if data:
            self.reader.feed(data)
        else:
            self.reader.feed_eof()
        message = self._matched()
        if message is not None:
            outcome = self._progress(message)
            if outcome is not None:
                return outcome
        if not data:
            reason, sent = "the upstream closed its connection", self._sent_whole()
            return Failed(reason, sent, forgotten=self._is_forgotten())
        if self.reader.malformed:
            return Failed("the answer is malformed", self._sent_whole())
        return None

    def _matched(self) -> ResponseMessage | None:
        """Return the answer to this request, past late answers to earlier ones."""
        for message in self.reader.responses:
            if not message.head_complete:
                return None
            facts = self.dialect.read_facts(message.status, message.headers)
            if facts.request_id in (None, self.request_id):
                self.facts = facts
                return message
        return None

    def _progress(self, message: ResponseMessage) -> Outcome | None:
        """Take in what is new of the answer; return the outcome once it is whole."""
        self.last_byte_s = self.state.last_byte_s = time.monotonic()
        if self.relay is not None and message.status == HTTP_OK:
            return self._relay(message)
        if not message.complete:
            return None
        if self.facts.not_run:
            return NotRun(message.status, self.facts)
        return Answered(message, self.facts)

    def _relay(self, message: ResponseMessage) -> Outcome | None:
        if not self.facts.sealed:
            return Failed("the answer bears no seal", may_have_run=True)
        if not self.relay.begun:
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
            self.relay.feed(data)
            if self.on_first_event is not None and self.relay.events > before:
                self.on_first_event()
                self.on_first_event = None
        if message.complete:
            self.relay.finish()
            return Streamed()
        return None
