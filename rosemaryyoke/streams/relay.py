"""Relay a completion from engines to its caller, complete and in order."""

import secrets
import time
from functools import cached_property

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.calls.retry import RetryBudget
from rosemaryyoke.core import Kernel, ProcessEnd
from rosemaryyoke.fleet import upstream_key
from rosemaryyoke.placement.blocks import BLOCK_TOKENS
from rosemaryyoke.placement.service import NoEngineAvailable, PlacementDecision
from rosemaryyoke.quarantine import PromptOutcome, fingerprint, prefix_keys
from rosemaryyoke.rules.model import Route, RuleSet
from rosemaryyoke.streams.identifiers import (
    StreamIdentifier,
    StreamPosition,
    sign_identifier,
)
from rosemaryyoke.streams.sinks import Failure, Sink, StreamMetadata
from rosemaryyoke.upstreams import (
    EngineEvent,
    EngineRequest,
    Finished,
    KvImport,
    Started,
    Token,
    UpstreamError,
)
from rosemaryyoke.wire import ReadAborted

MAX_ATTEMPTS = 4
MAX_RESUMES = 2
SUSTAINED_S = 0.7  # an engine that crashes on a prompt does so as it begins to answer
QUARANTINED_CODE = "quarantined"
LEAVING_CODE = "leaving"
KEY_BITS = 64
KIND = "completion"  # keeps the fingerprints apart from those of other requests


@frozen
class CompletionRequest:
    """A caller's request for a completion.

    ``repeatable`` says that another engine generates the same tokens again.
    """

    account: str
    route: Route
    prompt: str
    max_tokens: int
    repeatable: bool = True

    @cached_property
    def fingerprint(self) -> int:
        """Return the hash that repetitions of this request have in common."""
        tokens = b"%d" % self.max_tokens
        texts = (KIND, self.account, self.route.model, self.prompt)
        return fingerprint([*(text.encode() for text in texts), tokens])

    @cached_property
    def prefix_keys(self) -> tuple[int, ...]:
        """Return the keys of the prefixes that other prompts may share."""
        return prefix_keys(self.prompt)

    @property
    def quarantine_keys(self) -> tuple[int, ...]:
        """Return the keys by which the request may be kept from engines."""
        return (*self.prefix_keys, self.fingerprint)


@define
class Progress:
    """Progress of a relayed stream.

    ``token_texts`` holds the known tokens, starting with the first one. After a resume
    on another host it may hold fewer than ``next_index``, the index of the token that
    the caller needs next. ``key`` identifies the completion towards other hosts.
    """

    token_texts: list[str] = field(factory=list)
    next_index: int = 0
    weights: str = ""
    opened: bool = False
    sent: bool = False
    finished: bool = False
    resumes: int = 0
    key: int = field(factory=lambda: secrets.randbits(KEY_BITS))
    started_s: float = field(factory=time.monotonic)
    first_token_s: float = 0.0

    @property
    def prefix_known(self) -> bool:
        """Return whether this host knows all tokens that the caller has received."""
        return len(self.token_texts) >= self.next_index


class CallerDisconnected(ReadAborted):
    """Raised when the caller's connection is closed or times out."""


class StreamIncomplete(ReadAborted):
    """Raised when an engine's stream is missing tokens or was restarted."""


class WeightsChanged(StreamIncomplete):
    """Raised when an engine's stream is under other weights than expected."""


class Relay:
    """Place and relay completions; on failure continue on another engine."""

    def __init__(self, kernel: Kernel, shared_key: str, end: ProcessEnd | None = None):
        self.kernel = kernel
        self.shared_key = shared_key
        self.end = end or ProcessEnd()
        self.retry_budget = RetryBudget()

    def start(self) -> None:
        """Look up the services that the relay depends on."""
        self.directory = self.kernel.get("directory")
        self.placement = self.kernel.get("placement")
        self.recorder = self.kernel.get("recorder")
        self.metrics = self.kernel.get("metrics")
        self.quarantine = self.kernel.get("quarantine").quarantine
        self.end.subscribe(lambda: self.directory.engine_adapter.abort())

    def stop(self) -> None:
        """Do nothing; active relays end with their connections."""

    def run(self, rules: RuleSet, completion: CompletionRequest, sink: Sink) -> None:
        """Relay a new completion until it finishes or fails with an explicit error."""
        self.retry_budget.deposit()
        self._run_attempts(rules, completion, sink, Progress())

    def resume(
        self,
        rules: RuleSet,
        completion: CompletionRequest,
        position: StreamPosition,
        sink: Sink,
    ) -> None:
        """Resume a stream that the caller has partly received.

        Tries the original engine first. If it no longer has the stream, another engine
        generates it again, provided that the tokens will be the same.
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
            adapter = self.directory.engine_adapter
            outcome = attempt.receive(
                lambda on_event: adapter.resume(
                    upstream.address,
                    identifier.request,
                    position.received,
                    on_event,
                    sink.wait,
                )
            )
            if isinstance(outcome, Ok):
                return
        self._run_attempts(rules, completion, sink, progress)

    def _run_attempts(
        self,
        rules: RuleSet,
        completion: CompletionRequest,
        sink: Sink,
        progress: Progress,
    ) -> None:
        excluded: set[str] = set()
        for attempt_number in range(MAX_ATTEMPTS):
            if self.end.has_begun():
                message = "the host stopped before the completion was whole"
                self._fail(sink, progress, LEAVING_CODE, message)
                return
            if attempt_number and self._is_suspect(completion):
                break
            if self._reject_banned(completion, sink, progress):
                return
            if attempt_number and not self.retry_budget.try_withdraw():
                break
            if not (progress.prefix_known or completion.repeatable):
                message = "the rest of the stream cannot be produced exactly"
                self._fail(sink, progress, "stream_lost", message)
                return
            decision = self._place(rules, completion, progress, excluded)
            if isinstance(decision, Err):
                if attempt_number:
                    break
                self._reject(sink, progress, decision.err_value)
                return
            excluded.add(decision.ok_value.upstream.name)
            outcome = self._run_attempt(completion, decision.ok_value, sink, progress)
            if isinstance(outcome, Ok):
                return
            self.recorder.record(
                "attempt.failed",
                engine=decision.ok_value.upstream.name,
                error=outcome.err_value.message,
                tokens=progress.next_index,
            )
        self._fail(sink, progress, "engines_failed", "no engine could finish")

    def _is_suspect(self, completion: CompletionRequest) -> bool:
        return self.quarantine.is_suspect(completion.quarantine_keys)

    def _place(
        self,
        rules: RuleSet,
        completion: CompletionRequest,
        progress: Progress,
        excluded: set[str],
    ) -> Result[PlacementDecision, NoEngineAvailable]:
        text = completion.prompt + "".join(progress.token_texts)
        weights = progress.weights if progress.next_index else ""
        return self.placement.place(
            rules, completion.route, completion.account, text, excluded, weights
        )

    def _run_attempt(
        self,
        completion: CompletionRequest,
        decision: PlacementDecision,
        sink: Sink,
        progress: Progress,
    ) -> Result[None, UpstreamError]:
        request = self._request(completion, decision, progress)
        identifier = StreamIdentifier(
            decision.upstream.name, "", request.request, decision.weights
        )
        attempt = _Attempt(self, completion, sink, progress, identifier, decision)
        adapter, address = self.directory.engine_adapter, decision.upstream.address
        sent_s = time.monotonic()
        self.recorder.record(
            "attempt.sent",
            request.request,
            engine=decision.upstream.name,
            account=completion.account,
            believed_hit=decision.choice.hit_blocks,
            weights=decision.weights,
        )
        try:
            outcome = attempt.receive(
                lambda on_event: adapter.complete(address, request, on_event, sink.wait)
            )
            broke_off = attempt.broke_off_early(outcome)
            while isinstance(outcome, Err) and self._may_resume(outcome, progress):
                progress.resumes += 1
                received = progress.next_index
                outcome = attempt.receive(
                    lambda on_event: adapter.resume(
                        address,
                        request.request,
                        progress.next_index,
                        on_event,
                        sink.wait,
                    )
                )
                # An engine that goes on with the stream has not crashed.
                broke_off = broke_off and progress.next_index == received
        finally:
            self.placement.record_completion(decision)
        if isinstance(outcome, Err) and not self.end.has_begun():
            self._record_upstream_failure(decision, outcome.err_value)
        if isinstance(outcome, Ok) or broke_off:
            crashed = isinstance(outcome, Err)
            self._record_evidence(decision, completion, progress, sent_s, crashed)
        self.quarantine.end_trial(completion.fingerprint)
        return outcome

    def _may_resume(self, outcome: Err[UpstreamError], progress: Progress) -> bool:
        error = outcome.err_value
        return (
            error.sent
            and not error.refused
            and not error.missing
            and progress.opened
            and progress.resumes < MAX_RESUMES
            and not self.end.has_begun()
        )

    def _request(
        self,
        completion: CompletionRequest,
        decision: PlacementDecision,
        progress: Progress,
    ) -> EngineRequest:
        first_index = len(progress.token_texts)
        kv_import = None
        store = self.directory.kv_store_address()  # may be lost since the placement
        if decision.choice.queries_kv_store and store:
            kv_import = KvImport(
                completion.account, completion.route.model, decision.weights, store
            )
        return EngineRequest(
            request=secrets.token_hex(12),
            account=completion.account,
            model=completion.route.model,
            weights=decision.weights,
            prompt=completion.prompt,
            continued="".join(progress.token_texts),
            max_tokens=completion.max_tokens - first_index,
            priority=decision.priority,
            first_index=first_index,
            kv_import=kv_import,
        )

    def _record_upstream_failure(
        self, decision: PlacementDecision, error: UpstreamError
    ) -> None:
        if error.refused:
            self.directory.record_refusal(decision.upstream.name)
        else:
            self.directory.record_failure(decision.upstream.name)
        self.metrics.count("attempts_failed_total", engine=decision.upstream.name)

    def _reject_banned(
        self, completion: CompletionRequest, sink: Sink, progress: Progress
    ) -> bool:
        """Reject a request that crashes engines; return whether it was rejected.

        Callers aren't told to retry: that would be of no use within their time.
        """
        refusal = self.quarantine.refuse(
            completion.prefix_keys, lambda: completion.fingerprint
        )
        if refusal is None:
            return False
        message = "the request, or a part of its prompt, has crashed several engines"
        self.metrics.count("refusals_total", code=QUARANTINED_CODE)
        sink.fail(Failure(503, QUARANTINED_CODE, message, not progress.sent))
        return True

    def _record_evidence(
        self,
        decision: PlacementDecision,
        completion: CompletionRequest,
        progress: Progress,
        sent_s: float,
        crashed: bool,
    ) -> None:
        """Tell the quarantine that an engine crashed, or answered, on a prompt."""
        name, now_s = decision.upstream.name, time.monotonic()
        outcome = PromptOutcome(
            progress.key,
            upstream_key(name),
            completion.prefix_keys,
            sent_s,
            now_s,
            crashed,
            completion.fingerprint,
        )
        if crashed:
            self.quarantine.record_crash(outcome, upstream=name)
        else:
            self.quarantine.record_success(outcome)

    def _reject(
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
    """Process the events of one engine for one completion."""

    def __init__(
        self,
        relay: Relay,
        completion: CompletionRequest,
        sink: Sink,
        progress: Progress,
        identifier: StreamIdentifier,
        decision: PlacementDecision | None = None,
    ):
        self.relay = relay
        self.completion = completion
        self.sink = sink
        self.progress = progress
        self.identifier = identifier
        self.decision = decision
        self.ended = False
        self.started_s = 0.0

    def receive(self, call) -> Result[None, UpstreamError]:
        """Run a call to the engine until its stream ends."""
        self.ended = False
        try:
            outcome = call(self.on_event)
        except WeightsChanged as error:
            return Err(UpstreamError(str(error), sent=True, missing=True))
        except StreamIncomplete as error:
            return Err(UpstreamError(str(error), sent=True))
        except CallerDisconnected:
            raise ConnectionError("caller disconnected") from None
        if self.ended:
            # The caller has the whole stream, however the engine's response ends.
            return Ok(None)
        if isinstance(outcome, Err):
            self.progress.sent = self.progress.sent or outcome.err_value.sent
            return outcome
        return Err(
            UpstreamError(
                "stream ended without a finished event", sent=True, broken_off=True
            )
        )

    def broke_off_early(self, outcome: Result[None, UpstreamError]) -> bool:
        """Return whether the engine ended its response as it began to answer."""
        if isinstance(outcome, Ok) or not outcome.err_value.broken_off:
            return False
        return not self.started_s or time.monotonic() - self.started_s < SUSTAINED_S

    def on_event(self, event: EngineEvent) -> None:
        """Handle one event.

        Drop events that belong to another request or follow the finished event.
        """
        if self.ended:
            self.relay.metrics.count("late_events_total")
            return
        if event.request != self.identifier.request:
            self.relay.metrics.count("crossed_events_total")
            return
        try:
            EVENT_HANDLERS[type(event)](self, event)
        except (ConnectionError, TimeoutError) as error:
            raise CallerDisconnected(str(error)) from error

    def on_started(self, event: Started) -> None:
        """Open the caller's stream with this attempt's identifier."""
        if self.identifier.incarnation not in ("", event.incarnation):
            raise StreamIncomplete(
                "engine was restarted; its incarnation differs from the stream's"
            )
        self.progress.sent = True
        self.started_s = self.started_s or time.monotonic()
        if event.weights != self.identifier.weights:
            raise WeightsChanged(
                f"engine runs weights {event.weights!r}; "
                f"the stream is under {self.identifier.weights!r}"
            )
        self.progress.weights = event.weights
        self.identifier = evolve(self.identifier, incarnation=event.incarnation)
        if self.decision is not None:
            self.relay.placement.record_response_start(
                self.decision, event.incarnation, event.waiting_s, event.blocks_stored
            )
        stream = sign_identifier(
            self.identifier, self.completion.account, self.relay.shared_key
        )
        self.progress.opened = True
        self.sink.open(
            StreamMetadata(
                stream,
                self.identifier.engine,
                event.cached_blocks * BLOCK_TOKENS,
                event.prompt_blocks * BLOCK_TOKENS,
            )
        )

    def on_token(self, event: Token) -> None:
        """Relay the next token; drop tokens that the caller already has."""
        progress = self.progress
        if event.index == len(progress.token_texts):
            progress.token_texts.append(event.text)
        if event.index < progress.next_index:
            return
        if event.index > progress.next_index or not progress.opened:
            raise StreamIncomplete("stream is missing a token or its started event")
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
        """Close the caller's stream if all tokens were received."""
        if event.count != self.progress.next_index:
            raise StreamIncomplete(
                "token count of the finished event differs from the tokens received"
            )
        self.ended = True
        self.progress.finished = True
        self.sink.close(event.count)


EVENT_HANDLERS = {
    Started: _Attempt.on_started,
    Token: _Attempt.on_token,
    Finished: _Attempt.on_finished,
}
