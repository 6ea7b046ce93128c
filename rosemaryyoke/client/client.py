"""A client for chat completions and plain services."""

import secrets
import time
from typing import Callable

import orjson
from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.client.errors import CallFailed
from rosemaryyoke.client.hosts import HostFinder, read_failure
from rosemaryyoke.wire import (
    BodyBuffer,
    BodyTooLarge,
    EventTooLarge,
    HeaderParser,
    HttpResponse,
    SseEvent,
    SseParser,
    json_request,
    send,
    stream,
)

MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.2
STREAM_TIMEOUT_S = 600.0
STREAM_IDLE_S = 20
SERVICE_TIMEOUT_S = 40.0

Attempt = Callable[[str, int], Result]


@frozen
class ChatAnswer:
    """A complete chat response with its usage, origin and number of resumes."""

    text: str
    tokens: int
    cached_tokens: int
    prompt_tokens: int
    engine: str
    host: str
    first_token_s: float
    resumes: int


@define
class _StreamState:
    """The part of a stream received so far, kept across attempts."""

    parts: list[str] = field(factory=list)
    position: str = ""
    usage: dict = field(factory=dict)
    failure: CallFailed | None = None
    error_body: BodyBuffer = field(factory=BodyBuffer)
    started_at_s: float = field(factory=time.monotonic)
    first_token_s: float = 0.0
    complete: bool = False

    def handle_event(self, event: SseEvent, on_text: Callable[[str], None]) -> None:
        """Process one server-sent event."""
        if event.event == "error":
            self.failure = read_failure(503, event.data)
            return
        if event.data == b"[DONE]":
            return
        value = orjson.loads(event.data)
        self.position = event.id
        choice = value["choices"][0]
        if choice["finish_reason"] is not None:
            self.usage = value["usage"]
            self.complete = self.usage["completion_tokens"] == len(self.parts)
            return
        if not self.first_token_s:
            self.first_token_s = time.monotonic() - self.started_at_s
        text = choice["delta"]["content"]
        self.parts.append(text)
        on_text(text)


class Client:
    """Call a group of hosts with one API key.

    Example::

        client = Client(["127.0.0.1:8001"], "key")
        answer = client.chat("m", "What is chain of custody?")
    """

    def __init__(self, seeds: list[str], api_key: str, data_centre: str = ""):
        self.finder = HostFinder(seeds, api_key, data_centre)
        self.headers = {"Authorization": f"Bearer {api_key}"}

    def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 64,
        on_text: Callable[[str], None] = lambda text: None,
        temperature: float = 0.0,
    ) -> Result[ChatAnswer, CallFailed]:
        """Return the response to a prompt; resume its stream after an interruption."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": True,
            "temperature": temperature,
        }
        state = _StreamState()

        def attempt(address: str, number: int) -> Result[ChatAnswer, CallFailed]:
            head = self._chat_once(address, body, state, on_text)
            return head.map(lambda found: self._answer(state, found, address, number))

        return self._try_hosts(attempt)

    def _try_hosts(self, attempt: Attempt) -> Result:
        """Try hosts in turn until one succeeds or ``MAX_ATTEMPTS`` is reached.

        Waits for the delay that a host asks for, or ``RETRY_DELAY_S`` if a host cannot
        be reached. An error response without a delay is final.
        """
        failure = CallFailed(0, "no_host", "no host answers")
        for number in range(MAX_ATTEMPTS):
            addresses = self.finder.addresses()
            if isinstance(addresses, Err):
                failure = addresses.err_value
                time.sleep(RETRY_DELAY_S)
                continue
            found = addresses.ok_value
            outcome = attempt(found[number % len(found)], number)
            if isinstance(outcome, Ok):
                return outcome
            failure = outcome.err_value
            if failure.status and not failure.retry_after_s:
                return outcome
            self.finder.expire()
            time.sleep(failure.retry_after_s or RETRY_DELAY_S)
        return Err(failure)

    def _chat_once(
        self,
        address: str,
        body: dict,
        state: _StreamState,
        on_text: Callable[[str], None],
    ) -> Result[HeaderParser, CallFailed]:
        headers = dict(self.headers)
        if state.position:
            headers["Last-Event-ID"] = state.position
        call = json_request(
            "POST",
            f"http://{address}/v1/chat/completions",
            body,
            headers=headers,
            timeout_s=STREAM_TIMEOUT_S,
            idle_timeout_s=STREAM_IDLE_S,
            fresh_connection=True,
        )
        reader, head = SseParser(), HeaderParser()
        state.error_body = BodyBuffer()
        state.failure = None

        def on_data(data: bytes) -> None:
            if head.status != 200:
                state.error_body.append(data)
                return
            for event in reader.feed(data):
                state.handle_event(event, on_text)

        try:
            outcome = stream(call, on_data, head)
        except (BodyTooLarge, EventTooLarge) as error:
            return Err(CallFailed(0, "cut", str(error)))
        if head.status not in (0, 200):
            return Err(read_failure(head.status, state.error_body.join()))
        if state.failure is not None:
            return Err(state.failure)
        if isinstance(outcome, Err) or not state.complete:
            return Err(CallFailed(0, "cut", "the stream ended before it was complete"))
        return Ok(head)

    def _answer(
        self, state: _StreamState, head: HeaderParser, host: str, resumes: int
    ) -> ChatAnswer:
        return ChatAnswer(
            "".join(state.parts),
            len(state.parts),
            state.usage["prompt_tokens_details"]["cached_tokens"],
            state.usage["prompt_tokens"],
            head.headers.get("x-engine", ""),
            host,
            state.first_token_s,
            resumes,
        )

    def service(
        self, method: str, name: str, path: str, value: object = None, key: str = ""
    ) -> Result[HttpResponse, CallFailed]:
        """Call a plain service, with retries.

        All attempts carry the same idempotency key, so that an unsafe call runs at most
        once. A key is generated if none is given.
        """
        key = key or secrets.token_hex(16)
        return self._try_hosts(
            lambda address, _: self.service_once(
                address, method, name, path, value, key
            )
        )

    def service_once(
        self, address: str, method: str, name: str, path: str, value: object, key: str
    ) -> Result[HttpResponse, CallFailed]:
        """Send one call to a plain service through one host, without retries."""
        outcome = send(
            json_request(
                method,
                f"http://{address}/services/{name}{path}",
                value,
                headers={**self.headers, "Idempotency-Key": key},
                timeout_s=SERVICE_TIMEOUT_S,
                fresh_connection=True,
            )
        )
        if isinstance(outcome, Err):
            return Err(CallFailed(0, "cut", outcome.err_value.message))
        answer = outcome.ok_value
        if answer.ok:
            return Ok(answer)
        return Err(read_failure(answer.status, answer.body))
