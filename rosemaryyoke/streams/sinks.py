"""Where a relayed stream goes: the caller's wire."""

import time
from concurrent.futures import Future
from typing import Callable, Protocol

import orjson
from attrs import define, field, frozen

from rosemaryyoke.wire import Exchange, SseEvent, StreamWriter, encode_event

SSE_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}
DONE_EVENT = encode_event(SseEvent(b"[DONE]"))


@frozen
class StreamMetadata:
    """What is known when a stream begins."""

    stream: str
    engine: str
    cached_tokens: int
    prompt_tokens: int


@frozen
class Failure:
    """An error for the caller; ``not_run`` says that no upstream was sent it."""

    status: int
    code: str
    message: str
    not_run: bool
    retry_after_s: float = 0.0


class Sink(Protocol):
    """A caller's side of a stream."""

    def open(self, metadata: StreamMetadata) -> None:
        """Begin, or go on from another engine under a new identifier."""

    def token(self, index: int, text: str) -> None:
        """Send one token."""

    def close(self, count: int) -> None:
        """End a complete stream and state its count of tokens."""

    def fail(self, failure: Failure) -> None:
        """End an incomplete stream with an explicit error."""

    def wait(self, future: Future):
        """Return a future's result, on the task of the caller's connection."""


@define
class BufferSink:
    """Collect a stream for an answer that is not streamed."""

    metadata: StreamMetadata | None = None
    parts: list[str] = field(factory=list)
    failure: Failure | None = None
    count: int = 0

    def open(self, metadata: StreamMetadata) -> None:
        """Keep what is known."""
        self.metadata = self.metadata or metadata

    def token(self, index: int, text: str) -> None:
        """Keep one token."""
        self.parts.append(text)

    def close(self, count: int) -> None:
        """Keep the count."""
        self.count = count

    def fail(self, failure: Failure) -> None:
        """Keep the error."""
        self.failure = failure

    def wait(self, future: Future):
        """Return a future's result."""
        return future.result()


def chat_choice(text: str | None) -> dict:
    """Return the choice of a chat chunk; none stands for its end."""
    if text is None:
        return {"index": 0, "delta": {}, "finish_reason": "stop"}
    return {"index": 0, "delta": {"content": text}, "finish_reason": None}


def text_choice(text: str | None) -> dict:
    """Return the choice of a completion chunk; none stands for its end."""
    if text is None:
        return {"index": 0, "text": "", "finish_reason": "stop"}
    return {"index": 0, "text": text, "finish_reason": None}


class SseSink:
    """Write a stream to the caller as server-sent events."""

    def __init__(
        self, exchange: Exchange, model: str, make_choice: Callable, object_type: str
    ):
        self.exchange = exchange
        self.make_choice = make_choice
        self.created = int(time.time())
        self.model = model
        self.object_type = object_type
        self.metadata: StreamMetadata | None = None
        self.writer = StreamWriter(exchange.connection)
        self.failure: Failure | None = None
        self.event_prefix = b""
        self.event_suffix = b""

    def open(self, metadata: StreamMetadata) -> None:
        """Send the head of the answer the first time."""
        self.metadata = metadata
        self._encode_event_template()
        if not self.exchange.response_started:
            self.exchange.begin_response({**SSE_HEADERS, "X-Engine": metadata.engine})

    def _encode_event_template(self) -> None:
        """Encode once what every token's event has in common."""
        placeholder = "\x00"
        encoded = orjson.dumps(self._chunk(self.make_choice(placeholder)))
        self.event_prefix, self.event_suffix = encoded.split(orjson.dumps(placeholder))
        self.id_line = f"id: {self.metadata.stream}:".encode()

    def token(self, index: int, text: str) -> None:
        """Send one token under its place in the stream."""
        self.writer.write(
            b"%b%d\ndata: %b%b%b\n\n"
            % (
                self.id_line,
                index + 1,
                self.event_prefix,
                orjson.dumps(text),
                self.event_suffix,
            )
        )

    def close(self, count: int) -> None:
        """Send the end with the count of tokens."""
        value = self._chunk(self.make_choice(None))
        value["usage"] = usage(self.metadata, count)
        identifier = f"{self.metadata.stream}:{count}"
        event = encode_event(SseEvent(orjson.dumps(value), identifier))
        self.writer.write(event + DONE_EVENT)

    def fail(self, failure: Failure) -> None:
        """Send an explicit error in place of the end.

        Where the head was not sent yet, keep the error for an answer of its own.
        """
        if not self.exchange.response_started:
            self.failure = failure
            return
        event = SseEvent(orjson.dumps(error_body(failure)), event="error")
        self.writer.write(encode_event(event))
        self.writer.drain()

    def wait(self, future: Future):
        """Return a future's result; meanwhile send what the caller was slow to take."""
        return self.writer.wait(future)

    def _chunk(self, choice: dict) -> dict:
        return {
            "id": self.metadata.stream,
            "object": self.object_type,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }


def usage(metadata: StreamMetadata, count: int) -> dict:
    """Return the usage of an answer in the usual shape."""
    return {
        "prompt_tokens": metadata.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": metadata.prompt_tokens + count,
        "prompt_tokens_details": {"cached_tokens": metadata.cached_tokens},
    }


def error_body(failure: Failure) -> dict:
    """Return an error in the usual shape."""
    error = {
        "message": failure.message,
        "type": "server_error" if failure.status >= 500 else "request_error",
        "code": failure.code,
        "not_run": failure.not_run,
    }
    if failure.retry_after_s:
        error["retry_after_s"] = round(failure.retry_after_s, 3)
    return {"error": error}
