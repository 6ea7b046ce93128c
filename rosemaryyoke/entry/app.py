"""What callers and operators ask of a host over HTTP."""

import hmac
import math
from typing import Callable

from attrs import asdict, evolve
from result import Err
from werkzeug.wrappers import Response

from rosemaryyoke.calls.services import ServiceCall
from rosemaryyoke.core import Kernel
from rosemaryyoke.entry.bodies import CompletionBody, read_chat_body, read_text_body
from rosemaryyoke.entry.errors import RequestRefused
from rosemaryyoke.membership import Member
from rosemaryyoke.placement import count_tokens
from rosemaryyoke.rules import RuleSet
from rosemaryyoke.settings import Settings, operator_key
from rosemaryyoke.spread.manifest import decode_offer
from rosemaryyoke.streams import (
    BufferSink,
    Completion,
    Failure,
    SseSink,
    parse_position,
)
from rosemaryyoke.streams.sinks import chat_choice, error_value, text_choice, usage
from rosemaryyoke.wire import Application, Exchange, json_response

RULES_WAIT_S = 0.8
MAX_KEY_CHARS = 255
SERVICE_METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


def failure_response(failure: Failure) -> Response:
    """Return a failure as an answer, with when to come back."""
    headers = {}
    if failure.retry_after_s:
        headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return json_response(error_value(failure), failure.status, headers)


Handler = Callable[..., Response | None]


class Entry:
    """Handlers of the HTTP interface."""

    def __init__(self, kernel: Kernel, settings: Settings):
        self.kernel = kernel
        self.settings = settings
        self.operator_key = operator_key(settings.shared_key)

    def start(self) -> None:
        """Find the services that handlers ask."""
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
        """Do nothing; the server ends the handlers."""

    def application(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        for path, methods, handler in (
            ("/v1/completions", ("POST",), self.complete_text),
            ("/v1/chat/completions", ("POST",), self.complete_chat),
            ("/v1/models", ("GET",), self.list_models),
            ("/v1/entry-hosts", ("GET",), self.entry_hosts),
            ("/services/<name>/<path:path>", SERVICE_METHODS, self.call_service),
            ("/status", ("GET",), self.status),
            ("/events", ("GET",), self.events),
            ("/rules/offer", ("POST",), self.take_offer),
        ):
            app.add(path, self.guard(handler), *methods)
        app.add("/healthz", self.healthz, "GET")
        app.add("/readyz", self.readyz, "GET")
        app.add("/metrics", self.show_metrics, "GET")
        return app

    def guard(self, handler: Handler) -> Handler:
        """Return a handler that turns refusals into answers."""

        def guarded(exchange: Exchange, **arguments: str) -> Response | None:
            try:
                return handler(exchange, **arguments)
            except RequestRefused as refusal:
                failure = refusal.failure
                self.metrics.count("refusals_total", code=failure.code)
                self.recorder.record("request.refused", code=failure.code)
                return failure_response(failure)

        return guarded

    def rules(self) -> RuleSet:
        """Return the rules in force; refuse where none are known."""
        if not self.revisions.known.wait(RULES_WAIT_S):
            message = "the host knows no rules yet; the platform does not answer"
            raise RequestRefused(503, "no_rules", message, 1.0)
        return self.revisions.rules

    def account(self, exchange: Exchange, rules: RuleSet) -> str:
        """Return the client account of the request's API key."""
        account = rules.find_account(bearer(exchange))
        if account is None:
            raise RequestRefused(401, "unknown_key", "the API key is not known")
        return account.name

    def complete_text(self, exchange: Exchange) -> Response | None:
        """Answer a completion."""
        return self.complete(exchange, read_text_body, text_choice, "text_completion")

    def complete_chat(self, exchange: Exchange) -> Response | None:
        """Answer a chat completion."""
        kind = "chat.completion.chunk"
        return self.complete(exchange, read_chat_body, chat_choice, kind)

    def complete(
        self, exchange: Exchange, read: Callable, choice: Callable, kind: str
    ) -> Response | None:
        """Admit a completion and relay it."""
        rules = self.rules()
        account = self.account(exchange, rules)
        body = read_json_body(exchange, read)
        route = rules.find_route(body.model, account)
        if route is None:
            raise RequestRefused(404, "unknown_model", "the model is not known")
        completion = Completion(
            account, route, body.prompt, body.max_tokens, body.repeatable
        )
        position = self.position(exchange, account)
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

    def position(self, exchange: Exchange, account: str):
        """Return the position that a resuming caller names, or none."""
        text = exchange.request.headers.get("Last-Event-ID")
        if text is None:
            return None
        position = parse_position(text, account, self.settings.shared_key)
        if position is None:
            message = "Last-Event-ID is not of a stream of this account"
            raise RequestRefused(403, "unknown_stream", message)
        return position

    def admit(self, rules: RuleSet, account: str, tokens: int) -> None:
        """Take the request into the account's limits, or refuse it."""
        admitted = self.limits.admit(rules.find_limit(account), account, tokens)
        if isinstance(admitted, Err):
            over = admitted.err_value
            raise RequestRefused(429, "over_limit", over.message, over.retry_after_s)

    def call_service(self, exchange: Exchange, name: str, path: str) -> Response:
        """Answer a call of a plain service.

        A refusal of a call with a key says ``not_run`` only where its claim proves it,
        since an earlier call with the key may have run through another host.
        """
        try:
            return self._call_service(exchange, name, path)
        except RequestRefused as refusal:
            if exchange.request.headers.get("Idempotency-Key"):
                refusal.failure = evolve(refusal.failure, not_run=False)
            raise

    def _call_service(self, exchange: Exchange, name: str, path: str) -> Response:
        rules = self.rules()
        account = self.account(exchange, rules)
        service = rules.services.get(name)
        if service is None:
            raise RequestRefused(404, "unknown_service", "the service is not known")
        request = exchange.request
        key = request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_KEY_CHARS or not key.isprintable():
            message = f"Idempotency-Key: {MAX_KEY_CHARS} printable characters at most"
            raise RequestRefused(400, "malformed_key", message)
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
                    request.get_data(),
                    key,
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
        """Return the models that the account may use."""
        rules = self.rules()
        account = self.account(exchange, rules)
        models = [
            {"id": name, "object": "model", "owned_by": "rosemaryyoke"}
            for name in rules.models
            if rules.find_route(name, account) is not None
        ]
        return json_response({"object": "list", "data": models})

    def entry_hosts(self, exchange: Exchange) -> Response:
        """Return which hosts the account uses, and for how long."""
        account = self.account(exchange, self.rules())
        data_centre = exchange.request.args.get("data_centre", "")
        hosts = [
            {"address": member.address, "data_centre": member.data_centre}
            for member in self.members.homes(account, data_centre)
        ]
        if not hosts:
            raise RequestRefused(503, "no_hosts", "no host takes callers", 1.0)
        lifetime_s = self.settings.answer_lifetime_s
        return json_response({"hosts": hosts, "lifetime_s": lifetime_s})

    def healthz(self, exchange: Exchange) -> Response:
        """Tell that the process lives."""
        return json_response({"status": "ok"})

    def readyz(self, exchange: Exchange) -> Response:
        """Tell whether the host takes callers."""
        ready = self.revisions.revision > 0 and self.members.local_member.live
        return json_response({"ready": ready}, 200 if ready else 503)

    def show_metrics(self, exchange: Exchange) -> Response:
        """Return the metrics in the text format of Prometheus."""
        return Response(self.metrics.render(), content_type="text/plain; version=0.0.4")

    def operator(self, exchange: Exchange) -> None:
        """Refuse a request that does not bear the operator key."""
        if not hmac.compare_digest(
            bearer(exchange).encode("utf-8", "replace"), self.operator_key.encode()
        ):
            raise RequestRefused(401, "unknown_key", "the operator key is not known")

    def status(self, exchange: Exchange) -> Response:
        """Return hosts, the revision, upstreams and limits to an operator."""
        self.operator(exchange)
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
                "hosts": [show_member(member) for member in self.members.all()],
                "upstreams": upstreams,
                "leases": self.orders.held_leases(),
                "limits": self.show_limits(),
            }
        )

    def show_limits(self) -> list[dict]:
        """Return the limits of accounts and what this host's part of each runs."""
        rules = self.revisions.rules
        return [
            {**asdict(limit), "running_here": self.limits.running(limit.account)}
            for limit in rules.limits.values()
        ]

    def take_offer(self, exchange: Exchange) -> Response:
        """Take rules from an operator whose publishing the platform accepted."""
        self.operator(exchange)
        try:
            offer = decode_offer(exchange.json())
        except ValueError as error:
            raise RequestRefused(400, "malformed_body", str(error)) from error
        outcome = self.revisions.apply_offer(offer)
        if isinstance(outcome, Err):
            raise RequestRefused(409, "not_taken", outcome.err_value)
        return json_response({"revision": self.revisions.revision})

    def events(self, exchange: Exchange) -> Response:
        """Return the events kept by this process to an operator."""
        self.operator(exchange)
        events = [asdict(event) for event in self.recorder.snapshot()]
        return json_response({"process": self.settings.name, "events": events})


def show_member(member: Member) -> dict:
    """Return a host as operators see it."""
    return {**asdict(member), "state": member.state}


def bearer(exchange: Exchange) -> str:
    """Return the key that the request bears, or an empty text."""
    header = exchange.request.headers.get("Authorization", "")
    scheme, _, key = header.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def read_json_body(exchange: Exchange, read: Callable) -> CompletionBody:
    """Return the request's body, or refuse what is not JSON."""
    try:
        value = exchange.json()
    except ValueError:
        raise RequestRefused(400, "malformed_body", "the body is not JSON") from None
    return read(value)


def buffered_response(
    sink: BufferSink, body: CompletionBody, choice: Callable, kind: str
) -> Response:
    """Return the whole answer of a completion that is not streamed."""
    if sink.failure is not None:
        return failure_response(sink.failure)
    text = "".join(sink.parts)
    value = {"index": 0, "text": text, "finish_reason": "stop"}
    if choice is chat_choice:
        message = {"role": "assistant", "content": text}
        value = {"index": 0, "message": message, "finish_reason": "stop"}
    return json_response(
        {
            "id": sink.opening.stream,
            "object": kind.removesuffix(".chunk"),
            "model": body.model,
            "choices": [value],
            "usage": usage(sink.opening, sink.count),
        },
        headers={"X-Engine": sink.opening.engine},
    )
