"""Calls to plain services; unsafe calls with a key run at most once."""

import hashlib
import random
import secrets
import time
from functools import cached_property
from typing import Callable
from urllib.parse import quote

from attrs import field, frozen
from result import Err, Ok, Result

from rosemaryyoke.calls.claim_entries import (
    ANSWERED,
    CLAIMED,
    RELEASED,
    UNKNOWN,
    ClaimEntry,
    ClaimKey,
    StoredResponse,
)
from rosemaryyoke.calls.claims import Claims
from rosemaryyoke.calls.retry import RetryBudget
from rosemaryyoke.core import Kernel, ProcessEnd
from rosemaryyoke.fleet import upstream_key
from rosemaryyoke.objects.leases import now_s
from rosemaryyoke.quarantine import (
    PromptOutcome,
    fingerprint,
    format_key,
    request_key,
)
from rosemaryyoke.rules.model import SERVICE_KIND, PlainService, RuleSet, Upstream
from rosemaryyoke.streams.sinks import Failure
from rosemaryyoke.wire import HttpRequest, HttpResponse, send
from rosemaryyoke.wire.errors import TransportError
from rosemaryyoke.wire.http import always_reserved

MAX_ATTEMPTS = 3
SERVICE_TIMEOUT_S = 30.0
SERVICE_CONNECT_TIMEOUT_S = 0.5
MAX_SEND_DELAY_S = 5.0
LOOKUP_TIMEOUT_S = 1.0
HTTP_SERVER_ERROR = 500
QUARANTINED_CODE = "quarantined"
LEAVING_CODE = "leaving"
LEAVING_RETRY_AFTER_S = 1.0  # another host can take the call
KIND = "call"  # keeps the fingerprints apart from those of other requests
NO_RESPONSE = StoredResponse(0, "", b"")
NO_MEMORY = Failure(
    502, "no_memory", "the host has no memory for the response now", False
)


@frozen
class ServiceCall:
    """A call to a plain service, as received from a caller.

    ``reserve`` is asked for the memory that the response takes.
    """

    account: str
    service: PlainService
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    key: str = ""
    reserve: Callable[[int], bool] = field(default=always_reserved, eq=False)

    def claim_key(self) -> ClaimKey:
        """Return the idempotency key with its scope and the request's digest."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.method, self.path, self.query):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return ClaimKey(self.account, self.service.name, self.key, digest.hexdigest())

    @cached_property
    def fingerprint(self) -> int:
        """Return the hash that repetitions of this call have in common."""
        name, address = self.service.name, (self.method, self.path, self.query)
        texts = (KIND, self.account, name, *address)
        return fingerprint([*(text.encode() for text in texts), self.body])


class ServiceCalls:
    """Send calls to plain services, with retries where they are safe."""

    def __init__(self, kernel: Kernel, end: ProcessEnd | None = None):
        self.kernel = kernel
        self.end = end or ProcessEnd()
        self.budget = RetryBudget()
        self.random = random.Random()

    def start(self) -> None:
        """Resolve dependencies from the kernel."""
        self.directory = self.kernel.get("directory")
        self.claims: Claims = self.kernel.get("claims")
        self.recorder = self.kernel.get("recorder")
        self.metrics = self.kernel.get("metrics")
        self.quarantine = self.kernel.get("quarantine").quarantine

    def stop(self) -> None:
        """Do nothing: running calls end with their connections."""

    def run(self, rules: RuleSet, call: ServiceCall) -> Result[StoredResponse, Failure]:
        """Return the service's response, or a failure that says whether it executed."""
        self.budget.deposit()
        if not call.service.is_unsafe(call.method, call.path):
            return self._send_with_retries(rules, call, repeatable=True)
        if not self.end.allows(SERVICE_TIMEOUT_S + MAX_SEND_DELAY_S):
            # Another host may have run an earlier call with the key.
            return Err(self._refuse_leaving(not_run=not call.key))
        if not call.key:
            return self._send_with_retries(rules, call, repeatable=False)
        return self._run_claimed(rules, call)

    def _run_claimed(
        self, rules: RuleSet, call: ServiceCall
    ) -> Result[StoredResponse, Failure]:
        key = call.claim_key()
        started_at_s = now_s()
        claim = self.claims.claim(key)
        if isinstance(claim, Err):
            message = "the key could not be claimed; the platform does not answer"
            return Err(Failure(503, "platform_unavailable", message, False, 1.0))
        token, entry = claim.ok_value
        acquired = entry.token == token
        kind = "claim.made" if acquired else "claim.repeated"
        self.recorder.record(kind, call.key, state=entry.state)
        if not acquired:
            return self._answer_duplicate(rules, call, key, entry)
        if now_s() - started_at_s > MAX_SEND_DELAY_S:
            self.claims.record_outcome(key, token, RELEASED, NO_RESPONSE)
            message = "the host was paused before it sent the call"
            return Err(Failure(503, "too_late", message, True, 1.0))
        outcome = self._send_with_retries(rules, call, repeatable=False)
        self._record_outcome(key, token, outcome)
        return outcome

    def _record_outcome(
        self, key: ClaimKey, token: str, outcome: Result[StoredResponse, Failure]
    ) -> None:
        if isinstance(outcome, Ok):
            self.claims.record_outcome(key, token, ANSWERED, outcome.ok_value)
        elif outcome.err_value.not_run:
            self.claims.record_outcome(key, token, RELEASED, NO_RESPONSE)
        else:
            self.claims.record_outcome(key, token, UNKNOWN, NO_RESPONSE)

    def _answer_duplicate(
        self, rules: RuleSet, call: ServiceCall, key: ClaimKey, entry: ClaimEntry
    ) -> Result[StoredResponse, Failure]:
        self.metrics.count("repeated_keys_total", state=entry.state)
        if entry.request != key.request:
            message = "the key was used for another request"
            return Err(Failure(422, "key_reused", message, False))
        if entry.state == ANSWERED:
            return Ok(entry.outcome())
        age_s = time.time() - entry.at_s
        if entry.state == CLAIMED and age_s < SERVICE_TIMEOUT_S + MAX_SEND_DELAY_S:
            message = "the first call with this key still runs"
            return Err(Failure(409, "in_progress", message, False, 1.0))
        return self._query_outcome(rules, call)

    def _query_outcome(
        self, rules: RuleSet, call: ServiceCall
    ) -> Result[StoredResponse, Failure]:
        """Ask the service for a key's outcome if its rule has a lookup path."""
        upstreams = rules.upstreams_of(SERVICE_KIND, call.service.name)
        if call.service.lookup:
            path = call.service.lookup.replace("{key}", quote(call.key, safe=""))
            for upstream in self.directory.usable(upstreams, set()):
                url = f"http://{upstream.address}{path}"
                headers = {"X-Client-Account": call.account}  # scopes the key
                request = HttpRequest(
                    "GET",
                    url,
                    headers,
                    timeout_s=LOOKUP_TIMEOUT_S,
                    reserve=call.reserve,
                )
                answer = send(request)
                if isinstance(answer, Err) and answer.err_value.no_memory:
                    return Err(NO_MEMORY)
                if isinstance(answer, Ok) and answer.ok_value.ok:
                    return Ok(_stored_response(answer.ok_value))
        message = "the outcome of the first call with this key is unknown"
        return Err(Failure(409, "outcome_unknown", message, False))

    def _send_with_retries(
        self, rules: RuleSet, call: ServiceCall, repeatable: bool
    ) -> Result[StoredResponse, Failure]:
        upstreams = rules.upstreams_of(SERVICE_KIND, call.service.name)
        excluded: set[str] = set()
        sent = False
        for number in range(MAX_ATTEMPTS):
            if self.end.has_begun():
                return Err(self._refuse_leaving(not_run=not sent))
            if number and self.quarantine.is_suspect((call.fingerprint,)):
                break
            if self.quarantine.refuse((), lambda: call.fingerprint) is not None:
                return Err(self._refuse(sent))
            usable = self.directory.usable(upstreams, excluded)
            if not usable or (number and not self.budget.try_withdraw()):
                break
            upstream = self.random.choice(usable)
            excluded.add(upstream.name)
            request = secrets.token_hex(12)
            answer = self._send_attempt(call, upstream, request)
            if isinstance(answer, Ok):
                if answer.ok_value.headers.get("x-request-id", request) == request:
                    return Ok(_stored_response(answer.ok_value))
                self.metrics.count("crossed_answers_total", upstream=upstream.name)
                sent = True
            elif answer.err_value.no_memory:
                # The upstream answered: it is neither failing nor to be asked again.
                return Err(NO_MEMORY)
            else:
                if not self.end.has_begun():
                    self.directory.record_failure(upstream.name)
                sent = sent or answer.err_value.sent
            if sent and not repeatable:
                message = "the call was sent, and its answer was lost"
                return Err(Failure(502, "outcome_unknown", message, False))
        message = "no instance of the service answers"
        return Err(Failure(503, "no_upstream", message, not sent, 1.0))

    def _refuse_leaving(self, not_run: bool) -> Failure:
        """Return the failure of a call that would not end before this host."""
        self.metrics.count("refusals_total", code=LEAVING_CODE)
        message = "the host is leaving; another one can take the call"
        return Failure(503, LEAVING_CODE, message, not_run, LEAVING_RETRY_AFTER_S)

    def _refuse(self, sent: bool) -> Failure:
        """Return the failure of a call that crashes the instances that run it."""
        self.metrics.count("refusals_total", code=QUARANTINED_CODE)
        message = "the call has crashed several instances of the service"
        return Failure(503, QUARANTINED_CODE, message, not sent)

    def _send_attempt(
        self, call: ServiceCall, upstream: Upstream, request: str
    ) -> Result[HttpResponse, TransportError]:
        sent_s = time.monotonic()
        answer = self._send(call, upstream, request)
        self._record_evidence(call, upstream, request, sent_s, answer)
        return answer

    def _record_evidence(
        self,
        call: ServiceCall,
        upstream: Upstream,
        request: str,
        sent_s: float,
        answer: Result[HttpResponse, TransportError],
    ) -> None:
        """Tell the quarantine that an instance crashed on a call, or answered it."""
        crashed = isinstance(answer, Err) and answer.err_value.broken_off
        outcome = PromptOutcome(
            request_key(request.encode()),
            upstream_key(upstream.name),
            (),
            sent_s,
            time.monotonic(),
            crashed,
            call.fingerprint,
        )
        if crashed:
            self.quarantine.record_crash(
                outcome,
                upstream=upstream.name,
                fingerprint=format_key(call.fingerprint),
            )
        elif isinstance(answer, Ok) and answer.ok_value.status < HTTP_SERVER_ERROR:
            self.quarantine.record_success(outcome)
        self.quarantine.end_trial(call.fingerprint)

    def _send(
        self, call: ServiceCall, upstream: Upstream, request: str
    ) -> Result[HttpResponse, TransportError]:
        self.recorder.record(
            "service.sent",
            call.key or request,
            upstream=upstream.name,
            path=call.path,
        )
        headers = {"X-Request-Id": request, "X-Client-Account": call.account}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if call.key:
            headers["Idempotency-Key"] = call.key
        query = f"?{call.query}" if call.query else ""
        return send(
            HttpRequest(
                call.method,
                f"http://{upstream.address}{call.path}{query}",
                headers,
                call.body if call.method != "GET" else None,
                timeout_s=SERVICE_TIMEOUT_S,
                connect_timeout_s=SERVICE_CONNECT_TIMEOUT_S,
                fresh_connection=True,
                reserve=call.reserve,
                is_aborted=self.end.has_begun,
            )
        )


def _stored_response(answer: HttpResponse) -> StoredResponse:
    content_type = answer.headers.get("content-type", "application/octet-stream")
    return StoredResponse(answer.status, content_type, answer.body)
