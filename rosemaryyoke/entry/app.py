"""Handlers of the HTTP API for callers and operators."""

import hmac
import math
from typing import Callable

from attrs import asdict, evolve
from result import Err
from werkzeug.wrappers import Response

from rosemaryyoke.calls.services import ServiceCall
from rosemaryyoke.core import Kernel
from rosemaryyoke.entry.bodies import CompletionBody, read_chat_body, read_text_body
from rosemaryyoke.entry.errors import RequestRejected
from rosemaryyoke.membership import Member
from rosemaryyoke.placement import count_tokens
from rosemaryyoke.rules import RuleSet
from rosemaryyoke.settings import Settings, operator_key
from rosemaryyoke.spread.manifest import decode_offer
from rosemaryyoke.streams import (
    BufferSink,
    CompletionRequest,
    Failure,
    SseSink,
    parse_position,
)
from rosemaryyoke.streams.sinks import chat_choice, error_body, text_choice, usage
from rosemaryyoke.wire import Application, Exchange, RequestRefused, json_response

RULES_WAIT_S = 0.8
MAX_KEY_CHARS = 255
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def failure_response(failure: Failure) -> Response:
    """Return the error response of a failure, with Retry-After if it has a delay."""
    headers = {}
    if failure.retry_after_s:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return json_response(error_body(failure), failure.status, headers)


Handler = Callable[..., Response | None]


class HttpApi:
    """Handlers of the HTTP API."""

    def __init__(self, kernel: Kernel, settings: Settings):
        self.kernel = kernel
        self.settings = settings
        self.operator_key = operator_key(settings.shared_key)

    def start(self) -> None:
        """Resolve dependencies from the kernel."""
        self.revisions = self.kernel.get("revisions")
        self.members = self.kernel.get("members")
        self.limits = self.kernel.get("limits")
        self.relay = self.kernel.get("relay")
        self.service_calls = self.kernel.get("service_calls")
        self.metrics = self.kernel.get("metrics")
        self.recorder = self.kernel.get("recorder")
        self.directory = self.kernel.get("directory")
        self.orders = self.kernel.get("orders")

    def stop(self) -> None:
        """Do nothing: the server stops the handlers."""

    def application(self) -> Application:
        """Return the application with all routes registered."""
        app = Application()
        for path, methods, handler in (
            ("/v1/completions", ("POST",), self.complete_text),
            ("/v1/chat/completions", ("POST",), self.complete_chat),
            ("/v1/models", ("GET",), self.list_models),
            ("/v1/entry-hosts", ("GET",), self.entry_hosts),
            ("/services/<name>/<path:path>", SERVICE_METHODS, self.call_service),
            ("/status", ("GET",), self.status),
            ("/events", ("GET",), self.events),
            ("/rules/offer", ("POST",), self.accept_offer),
        ):
            app.add_route(path, self.with_error_responses(handler), *methods)
        app.add_route("/healthz", self.healthz, "GET")
        app.add_route("/readyz", self.readyz, "GET")
        app.add_route("/metrics", self.render_metrics, "GET")
        return app

    def with_error_responses(self, handler: Handler) -> Handler:
        """Wrap a handler to turn ``RequestRejected`` into an error response."""

        def guarded(exchange: Exchange, **arguments: str) -> Response | None:
            try:
                return handler(exchange, **arguments)
            except RequestRejected as refusal:
                failure = refusal.failure
                self.metrics.count("refusals_total", code=failure.code)
                self.recorder.record("request.refused", code=failure.code)
                return failure_response(failure)

        return guarded

    def current_rules(self) -> RuleSet:
        """Return the rules in force; reject the request if none are known."""
        if not self.revisions.known.wait(RULES_WAIT_S):
            message = "the host knows no rules yet; the platform does not answer"
            raise RequestRejected(503, "no_rules", message, 1.0)
        return self.revisions.rules

    def authenticate(self, exchange: Exchange, rules: RuleSet) -> str:
        """Return the client account that the request's API key belongs to."""
        account = rules.find_account(bearer_token(exchange))
        if account is None:
            raise RequestRejected(401, "unknown_key", "the API key is not known")
        return account.name

    def complete_text(self, exchange: Exchange) -> Response | None:
        """Handle a text completion."""
        return self.complete(exchange, read_text_body, text_choice, "text_completion")

    def complete_chat(self, exchange: Exchange) -> Response | None:
        """Handle a chat completion."""
        kind = "chat.completion.chunk"
        return self.complete(exchange, read_chat_body, chat_choice, kind)

    def complete(
        self, exchange: Exchange, read: Callable, choice: Callable, kind: str
    ) -> Response | None:
        """Admit a completion under the account's limits and relay it to an engine."""
        rules = self.current_rules()
        account = self.authenticate(exchange, rules)
        body = read_json_body(exchange, read)
        route = rules.find_route(body.model, account)
        if route is None:
            raise RequestRejected(404, "unknown_model", "the model is not known")
        completion = CompletionRequest(
            account, route, body.prompt, body.max_tokens, body.repeatable
        )
        position = self.resume_position(exchange, account)
        tokens = count_tokens(body.prompt) + body.max_tokens
        self.admit(rules, account, tokens)
        try:
            sink = BufferSink()
            if body.stream:
                sink = SseSink(exchange, body.model, choice, kind)
            if position is None:
                self.relay.run(rules, completion, sink)
            else:
                self.relay.resume(rules, completion, position, sink)
        finally:
            self.limits.release(account)
        if isinstance(sink, BufferSink):
            return buffered_response(sink, body, choice, kind)
        return failure_response(sink.failure) if sink.failure else None

    def resume_position(self, exchange: Exchange, account: str):
        """Return the stream position in Last-Event-ID, or None without the header."""
        text = exchange.request.headers.get("Last-Event-ID")
        if text is None:
            return None
        position = parse_position(text, account, self.settings.shared_key)
        if position is None:
            message = "Last-Event-ID is not of a stream of this account"
            raise RequestRejected(403, "unknown_stream", message)
        return position

    def admit(self, rules: RuleSet, account: str, tokens: int) -> None:
        """Count the request against the account's limits, or reject it."""
        admitted = self.limits.admit(rules.find_limit(account), account, tokens)
        if isinstance(admitted, Err):
            over = admitted.err_value
            raise RequestRejected(429, "over_limit", over.message, over.retry_after_s)

    def call_service(self, exchange: Exchange, name: str, path: str) -> Response:
        """Handle a call to a plain service.

        Rejecting a call with a key does not prove that the key never ran: an earlier
        call with it may have run through another host. The error therefore reports
        ``not_run`` only if the key's claim proves it.
        """
        try:
            return self._call_service(exchange, name, path)
        except RequestRejected as refusal:
            if exchange.request.headers.get("Idempotency-Key"):
                refusal.failure = evolve(refusal.failure, not_run=False)
            raise

    def _call_service(self, exchange: Exchange, name: str, path: str) -> Response:
        rules = self.current_rules()
        account = self.authenticate(exchange, rules)
        service = rules.services.get(name)
        if service is None:
            raise RequestRejected(404, "unknown_service", "the service is not known")
        request = exchange.request
        key = request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_KEY_CHARS or not key.isprintable():
            message = f"Idempotency-Key: {MAX_KEY_CHARS} printable characters at most"
            raise RequestRejected(400, "malformed_key", message)
        body = read_body(exchange.body)
        self.admit(rules, account, 0)
        try:
            outcome = self.service_calls.run(
                rules,
                ServiceCall(
                    account,
                    service,
                    request.method,
                    f"/{path}",
                    request.query_string.decode("latin-1"),
                    request.content_type or "",
                    body,
                    key,
                    exchange.reservation.add,
                ),
            )
        finally:
            self.limits.release(account)
        if isinstance(outcome, Err):
            self.metrics.count("refusals_total", code=outcome.err_value.code)
            return failure_response(outcome.err_value)
        answer = outcome.ok_value
        return Response(answer.body, answer.status, content_type=answer.content_type)

    def list_models(self, exchange: Exchange) -> Response:
        """List the models available to the account."""
        rules = self.current_rules()
        account = self.authenticate(exchange, rules)
        models = [
            {"id": name, "object": "model", "owned_by": "rosemaryyoke"}
            for name in rules.models
            if rules.find_route(name, account) is not None
        ]
        return json_response({"object": "list", "data": models})

    def entry_hosts(self, exchange: Exchange) -> Response:
        """Return the entry hosts of the account and the lifetime of this answer."""
        account = self.authenticate(exchange, self.current_rules())
        data_centre = exchange.request.args.get("data_centre", "")
        hosts = [
            {"address": member.address, "data_centre": member.data_centre}
            for member in self.members.homes(account, data_centre)
        ]
        if not hosts:
            raise RequestRejected(503, "no_hosts", "no host takes callers", 1.0)
        lifetime_s = self.settings.answer_lifetime_s
        return json_response({"hosts": hosts, "lifetime_s": lifetime_s})

    def healthz(self, exchange: Exchange) -> Response:
        """Liveness probe."""
        return json_response({"status": "ok"})

    def readyz(self, exchange: Exchange) -> Response:
        """Readiness probe: the host has rules and is a live member."""
        ready = self.revisions.revision > 0 and self.members.local_member.live
        return json_response({"ready": ready}, 200 if ready else 503)

    def render_metrics(self, exchange: Exchange) -> Response:
        """Return the metrics in the Prometheus text format."""
        self.kernel.get("server").record_metrics(self.metrics)
        return Response(self.metrics.render(), content_type="text/plain; version=0.0.4")

    def require_operator(self, exchange: Exchange) -> None:
        """Reject a request without the operator key; compares in constant time."""
        if not hmac.compare_digest(
            bearer_token(exchange).encode("utf-8", "replace"),
            self.operator_key.encode(),
        ):
            raise RequestRejected(401, "unknown_key", "the operator key is not known")

    def status(self, exchange: Exchange) -> Response:
        """Return the host's view of hosts, upstreams, leases and limits."""
        self.require_operator(exchange)
        upstreams = [
            {
                "name": name,
                "kind": state.upstream.kind,
                "address": state.upstream.address,
                "accepting": state.accepting,
                "leaving": state.leaving,
                "failures": state.failures,
                "weights": state.weights,
            }
            for name, state in sorted(self.directory.states.items())
        ]
        return json_response(
            {
                "host": self.settings.name,
                "revision": self.revisions.revision,
                "hosts": [member_status(member) for member in self.members.all()],
                "upstreams": upstreams,
                "leases": self.orders.held_leases(),
                "limits": self.limits_status(),
            }
        )

    def limits_status(self) -> list[dict]:
        """Return all accounts' limits and how many requests run on this host."""
        rules = self.revisions.rules
        return [
            {**asdict(limit), "running_here": self.limits.running(limit.account)}
            for limit in rules.limits.values()
        ]

    def accept_offer(self, exchange: Exchange) -> Response:
        """Accept rules from an operator once the platform accepted their revision."""
        self.require_operator(exchange)
        try:
            offer = decode_offer(read_body(exchange.json))
        except ValueError as error:
            raise RequestRejected(400, "malformed_body", str(error)) from error
        outcome = self.revisions.apply_offer(offer)
        if isinstance(outcome, Err):
            raise RequestRejected(409, "not_taken", outcome.err_value)
        return json_response({"revision": self.revisions.revision})

    def events(self, exchange: Exchange) -> Response:
        """Return the events recorded by this process."""
        self.require_operator(exchange)
        events = [asdict(event) for event in self.recorder.snapshot()]
        return json_response({"process": self.settings.name, "events": events})


def member_status(member: Member) -> dict:
    """Return a member's fields and state for the status response."""
    return {**asdict(member), "state": member.state}


def bearer_token(exchange: Exchange) -> str:
    """Return the bearer token of the Authorization header, or an empty string."""
    header = exchange.request.headers.get("Authorization", "")
    scheme, _, key = header.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def read_body(read: Callable):
    """Return what a function reads; reject the request if there is no memory."""
    try:
        return read()
    except RequestRefused as error:
        raise RequestRejected(
            503, error.code, str(error), error.retry_after_s
        ) from None


def read_json_body(exchange: Exchange, read: Callable) -> CompletionBody:
    """Parse the request's JSON body; reject the request if it is not valid JSON."""
    try:
        value = read_body(exchange.json)
    except ValueError:
        raise RequestRejected(400, "malformed_body", "the body is not JSON") from None
    return read(value)


def buffered_response(
    sink: BufferSink, body: CompletionBody, choice: Callable, kind: str
) -> Response:
    """Return the response of a completion that is not streamed."""
    if sink.failure is not None:
        return failure_response(sink.failure)
    text = "".join(sink.parts)
    value = {"index": 0, "text": text, "finish_reason": "stop"}
    if choice is chat_choice:
        message = {"role": "assistant", "content": text}
        value = {"index": 0, "message": message, "finish_reason": "stop"}
    return json_response(
        {
            "id": sink.metadata.stream,
            "object": kind.removesuffix(".chunk"),
            "model": body.model,
            "choices": [value],
            "usage": usage(sink.metadata, sink.count),
        },
        headers={"X-Engine": sink.metadata.engine},
    )
