"""Sinks, which deliver a relayed stream to the caller."""

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
    """Properties of a stream that are known when it starts."""

    stream: str
    engine: str
    cached_tokens: int
    prompt_tokens: int


@frozen
class Failure:
    """An error for the caller; ``not_run`` says that no upstream was sent the call."""

    status: int
    code: str
    message: str
    not_run: bool
    retry_after_s: float = 0.0


class Sink(Protocol):
    """The caller's end of a stream."""

    def open(self, metadata: StreamMetadata) -> None:
        """Start the stream, or continue it under another engine's identifier."""

    def token(self, index: int, text: str) -> None:
        """Send one token."""

    def close(self, count: int) -> None:
        """End a complete stream and report its token count."""

    def fail(self, failure: Failure) -> None:
        """End an incomplete stream with an explicit error."""

    def wait(self, future: Future):
        """Return a future's result; waits on the task of the caller's connection."""


@define
class BufferSink:
    """Buffer a stream for a response that is not streamed."""

    metadata: StreamMetadata | None = None
    parts: list[str] = field(factory=list)
    failure: Failure | None = None
    count: int = 0

    def open(self, metadata: StreamMetadata) -> None:
        """Store the metadata of the first engine."""
        self.metadata = self.metadata or metadata

    def token(self, index: int, text: str) -> None:
        """Append one token."""
        self.parts.append(text)

    def close(self, count: int) -> None:
        """Store the token count."""
        self.count = count

    def fail(self, failure: Failure) -> None:
        """Store the error."""
        self.failure = failure

    def wait(self, future: Future):
        """Wait for a future and return its result."""
        return future.result()


def chat_choice(text: str | None) -> dict:
    """Return the choice of a chat chunk; ``None`` marks the end of the stream."""
    if text is None:
        return {"index": 0, "delta": {}, "finish_reason": "stop"}
    return {"index": 0, "delta": {"content": text}, "finish_reason": None}


def text_choice(text: str | None) -> dict:
    """Return the choice of a completion chunk; ``None`` marks the end of the stream."""
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
        self.writer = StreamWriter(exchange.connection, exchange.reservation)
        self.failure: Failure | None = None
        self.event_prefix = b""
        self.event_suffix = b""

    def open(self, metadata: StreamMetadata) -> None:
        """Store the metadata; send the response headers unless already sent."""
        self.metadata = metadata
        self._encode_event_template()
        if not self.exchange.response_started:
            self.exchange.begin_response({**SSE_HEADERS, "X-Engine": metadata.engine})

    def _encode_event_template(self) -> None:
        """Encode the constant parts of token events once per engine stream."""
        placeholder = "\x00"
        encoded = orjson.dumps(self._chunk(self.make_choice(placeholder)))
        self.event_prefix, self.event_suffix = encoded.split(orjson.dumps(placeholder))
        self.id_line = f"id: {self.metadata.stream}:".encode()

    def token(self, index: int, text: str) -> None:
        """Send one token as an event whose id holds the position after it."""
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
        """Send the final chunk with the usage, then ``[DONE]``."""
        value = self._chunk(self.make_choice(None))
        value["usage"] = usage(self.metadata, count)
        identifier = f"{self.metadata.stream}:{count}"
        event = encode_event(SseEvent(orjson.dumps(value), identifier))
        self.writer.write(event + DONE_EVENT)

    def fail(self, failure: Failure) -> None:
        """Send an explicit error in place of the final chunk.

        If the response headers are not sent yet, store the error, which then becomes
        the whole response.
        """
        if not self.exchange.response_started:
            self.failure = failure
            return
        event = SseEvent(orjson.dumps(error_body(failure)), event="error")
        self.writer.write(encode_event(event))
        self.writer.drain()

    def wait(self, future: Future):
        """Return a future's result; meanwhile send data buffered for a slow caller."""
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
    """Return the usage object of a response in the API's format."""
    return {
        "prompt_tokens": metadata.prompt_tokens,
        "completion_tokens": count,
        "total_tokens": metadata.prompt_tokens + count,
        "prompt_tokens_details": {"cached_tokens": metadata.cached_tokens},
    }


def error_body(failure: Failure) -> dict:
    """Return an error body in the API's format."""
    error = {
        "message": failure.message,
        "type": "server_error" if failure.status >= 500 else "request_error",
        "code": failure.code,
        "not_run": failure.not_run,
    }
    if failure.retry_after_s:
        error["retry_after_s"] = round(failure.retry_after_s, 3)
    return {"error": error}
