"""Relay a completion from engines to its caller, complete and in order."""

import secrets
import time

from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.calls.retry import RetryBudget
from rosemaryyoke.core import Kernel
from rosemaryyoke.placement.blocks import BLOCK_TOKENS
from rosemaryyoke.placement.service import NoEngineAvailable, PlacementDecision
from rosemaryyoke.rules.model import Route, RuleSet
from rosemaryyoke.streams.identifiers import StreamIdentifier, StreamPosition, seal
from rosemaryyoke.streams.sinks import Failure, Opening, Sink
from rosemaryyoke.upstreams import (
    EngineEvent,
    EngineRequest,
    Finished,
    KvImport,
    Started,
    Token,
    UpstreamError,
)
from rosemaryyoke.wire import ReaderStopped

MAX_ATTEMPTS = 4
MAX_RESUMES = 2


@frozen
class Completion:
    """A caller's request for a completion."""

    account: str
    route: Route
    prompt: str
    max_tokens: int
    repeatable: bool = True


@define
class Progress:
    """What was relayed so far.

    ``texts`` are the tokens known from the first one on; after a resume at another
    host they may be fewer than the ``next_index`` that the caller needs next.
    """

    texts: list[str] = field(factory=list)
    next_index: int = 0
    weights: str = ""
    opened: bool = False
    sent: bool = False
    finished: bool = False
    resumes: int = 0
    started_s: float = field(factory=time.monotonic)
    first_token_s: float = 0.0

    @property
    def prefix_known(self) -> bool:
        """Tell whether all tokens that the caller has are known here."""
        return len(self.texts) >= self.next_index


class CallerGone(ReaderStopped):
    """The caller closed its connection."""


class StreamGap(ReaderStopped):
    """The engine left out a token or ended early."""


class Relay:
    """Run completions: place, send, relay, and go on elsewhere where one fails."""

    def __init__(self, kernel: Kernel, shared_key: str):
        self.kernel = kernel
        self.shared_key = shared_key
        self.budget = RetryBudget()

    def start(self) -> None:
        """Find the services that a relay asks."""
        self.directory = self.kernel.get("directory")
        self.placement = self.kernel.get("placement")
        self.recorder = self.kernel.get("recorder")
        self.metrics = self.kernel.get("metrics")

    def stop(self) -> None:
        """Do nothing; running relays end with their connections."""

    def run(self, rules: RuleSet, completion: Completion, sink: Sink) -> None:
        """Relay a new completion to its end, or to an explicit error."""
        self.budget.deposit()
        self._run(rules, completion, sink, Progress())

    def resume(
        self,
        rules: RuleSet,
        completion: Completion,
        position: StreamPosition,
        sink: Sink,
    ) -> None:
        """Go on with a stream that the caller has a part of.

        The engine that the stream came from is asked first. Where it has lost the
        stream, another engine produces it anew if that gives the same tokens.
        """
        identifier = position.identifier
        progress = Progress(
            next_index=position.received, weights=identifier.weights, sent=True
        )
        self.recorder.record(
            "stream.resumed", identifier.request, received=position.received
        )
        upstream = rules.upstreams.get(identifier.engine)
        if upstream is not None:
            attempt = _Attempt(self, completion, sink, progress, identifier)
            wire = self.directory.engine_adapter
            outcome = attempt.receive(
                lambda on_event: wire.resume(
                    upstream.address,
                    identifier.request,
                    position.received,
                    on_event,
                    sink.wait,
                )
            )
            if isinstance(outcome, Ok):
                return
        self._run(rules, completion, sink, progress)

    def _run(
        self, rules: RuleSet, completion: Completion, sink: Sink, progress: Progress
    ) -> None:
        excluded: set[str] = set()
        for number in range(MAX_ATTEMPTS):
            if number and not self.budget.try_withdraw():
                break
            if not (progress.prefix_known or completion.repeatable):
                message = "the rest of the stream cannot be produced exactly"
                self._fail(sink, progress, "stream_lost", message)
                return
            placed = self._place(rules, completion, progress, excluded)
            if isinstance(placed, Err):
                if number:
                    break
                self._refuse(sink, progress, placed.err_value)
                return
            excluded.add(placed.ok_value.upstream.name)
            outcome = self._attempt(completion, placed.ok_value, sink, progress)
            if isinstance(outcome, Ok):
                return
            self.recorder.record(
                "attempt.failed",
                engine=placed.ok_value.upstream.name,
                error=outcome.err_value.message,
                tokens=progress.next_index,
            )
        self._fail(sink, progress, "engines_failed", "no engine could finish")

    def _place(
        self,
        rules: RuleSet,
        completion: Completion,
        progress: Progress,
        excluded: set[str],
    ) -> Result[PlacementDecision, NoEngineAvailable]:
        text = completion.prompt + "".join(progress.texts)
        weights = progress.weights if progress.next_index else ""
        return self.placement.place(
            rules, completion.route, completion.account, text, excluded, weights
        )

    def _attempt(
        self,
        completion: Completion,
        placed: PlacementDecision,
        sink: Sink,
        progress: Progress,
    ) -> Result[None, UpstreamError]:
        request = self._request(completion, placed, progress)
        identifier = StreamIdentifier(
            placed.upstream.name, "", request.request, placed.weights
        )
        attempt = _Attempt(self, completion, sink, progress, identifier, placed)
        wire, address = self.directory.engine_adapter, placed.upstream.address
        self.recorder.record(
            "attempt.sent",
            request.request,
            engine=placed.upstream.name,
            account=completion.account,
            believed_hit=placed.choice.hit_blocks,
            weights=placed.weights,
        )
        try:
            outcome = attempt.receive(
                lambda on_event: wire.complete(address, request, on_event, sink.wait)
            )
            while isinstance(outcome, Err) and self._may_resume(outcome, progress):
                progress.resumes += 1
                outcome = attempt.receive(
                    lambda on_event: wire.resume(
                        address,
                        request.request,
                        progress.next_index,
                        on_event,
                        sink.wait,
                    )
                )
        finally:
            self.placement.record_completion(placed)
        if isinstance(outcome, Err):
            self._note_failure(placed, outcome.err_value)
        return outcome

    def _may_resume(self, outcome: Err[UpstreamError], progress: Progress) -> bool:
        error = outcome.err_value
        return (
            error.sent
            and not error.refused
            and not error.missing
            and progress.opened
            and progress.resumes < MAX_RESUMES
        )

    def _request(
        self, completion: Completion, placed: PlacementDecision, progress: Progress
    ) -> EngineRequest:
        first = len(progress.texts)
        kv_import = None
        if placed.choice.queries_kv_store:
            kv_import = KvImport(
                completion.account,
                completion.route.model,
                placed.weights,
                self.directory.kv_store_address(),
            )
        return EngineRequest(
            request=secrets.token_hex(12),
            account=completion.account,
            model=completion.route.model,
            weights=placed.weights,
            prompt=completion.prompt,
            continued="".join(progress.texts),
            max_tokens=completion.max_tokens - first,
            priority=placed.priority,
            first_index=first,
            kv_import=kv_import,
        )

    def _note_failure(self, placed: PlacementDecision, error: UpstreamError) -> None:
        if error.refused:
            self.directory.record_refusal(placed.upstream.name)
        else:
            self.directory.record_failure(placed.upstream.name)
        self.metrics.count("attempts_failed_total", engine=placed.upstream.name)

    def _refuse(
        self, sink: Sink, progress: Progress, reason: NoEngineAvailable
    ) -> None:
        status = 429 if reason.overloaded else 503
        code = "overloaded" if reason.overloaded else "no_engine"
        not_run = not progress.sent
        self.metrics.count("refusals_total", code=code)
        sink.fail(Failure(status, code, reason.message, not_run, reason.retry_after_s))

    def _fail(self, sink: Sink, progress: Progress, code: str, message: str) -> None:
        self.metrics.count("refusals_total", code=code)
        sink.fail(Failure(503, code, message, not progress.sent, 1.0))


class _Attempt:
    """Receive one engine's events for one completion."""

    def __init__(
        self,
        relay: Relay,
        completion: Completion,
        sink: Sink,
        progress: Progress,
        identifier: StreamIdentifier,
        placed: PlacementDecision | None = None,
    ):
        self.relay = relay
        self.completion = completion
        self.sink = sink
        self.progress = progress
        self.identifier = identifier
        self.placed = placed
        self.ended = False

    def receive(self, call) -> Result[None, UpstreamError]:
        """Run a call to the engine to the stream's end."""
        self.ended = False
        try:
            outcome = call(self.on_event)
        except StreamGap as error:
            return Err(UpstreamError(str(error), sent=True))
        except CallerGone:
            raise ConnectionError("the caller is gone") from None
        if isinstance(outcome, Err):
            self.progress.sent = self.progress.sent or outcome.err_value.sent
            return outcome
        if not self.ended:
            return Err(UpstreamError("the stream ended without its count", sent=True))
        return outcome

    def on_event(self, event: EngineEvent) -> None:
        """Take in one event, and drop what belongs to another request."""
        if event.request != self.identifier.request:
            self.relay.metrics.count("crossed_events_total")
            return
        try:
            HANDLERS[type(event)](self, event)
        except (ConnectionError, TimeoutError) as error:
            raise CallerGone(str(error)) from error

    def on_started(self, event: Started) -> None:
        """Open the caller's stream under this attempt's identifier."""
        if self.identifier.incarnation not in ("", event.incarnation):
            raise StreamGap("the engine started anew")
        self.progress.sent = True
        self.progress.weights = event.weights
        self.identifier = StreamIdentifier(
            self.identifier.engine,
            event.incarnation,
            self.identifier.request,
            event.weights,
        )
        if self.placed is not None:
            self.relay.placement.record_response_start(
                self.placed, event.incarnation, event.waiting_s, event.blocks_stored
            )
        stream = seal(self.identifier, self.completion.account, self.relay.shared_key)
        self.progress.opened = True
        self.sink.open(
            Opening(
                stream,
                self.identifier.engine,
                event.cached_blocks * BLOCK_TOKENS,
                event.prompt_blocks * BLOCK_TOKENS,
            )
        )

    def on_token(self, event: Token) -> None:
        """Relay the next token; drop one that the caller has."""
        progress = self.progress
        if event.index == len(progress.texts):
            progress.texts.append(event.text)
        if event.index < progress.next_index:
            return
        if event.index > progress.next_index or not progress.opened:
            raise StreamGap("a token is missing")
        if not progress.first_token_s:
            progress.first_token_s = time.monotonic()
            self.relay.metrics.observe(
                "time_to_first_token_seconds",
                progress.first_token_s - progress.started_s,
                model=self.completion.route.model,
            )
        self.sink.token(event.index, event.text)
        progress.next_index += 1

    def on_finished(self, event: Finished) -> None:
        """Close the caller's stream if all tokens came."""
        if event.count != self.progress.next_index:
            raise StreamGap("the count differs")
        self.ended = True
        self.progress.finished = True
        self.sink.close(event.count)


HANDLERS = {
    Started: _Attempt.on_started,
    Token: _Attempt.on_token,
    Finished: _Attempt.on_finished,
}
