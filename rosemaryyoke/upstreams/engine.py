"""Engine protocol: typed messages and protocol adapters."""

from concurrent.futures import Future
from typing import Callable, Protocol

import orjson
from attrs import field, frozen
from attrs.validators import instance_of
from result import Err, Ok, Result

from rosemaryyoke.core import Registry
from rosemaryyoke.upstreams.errors import UpstreamError
from rosemaryyoke.wire import (
    MAX_CONTROL_BODY_BYTES,
    BodyTooLarge,
    DroppedBody,
    EventTooLarge,
    HeaderParser,
    HttpRequest,
    ReadAborted,
    SseParser,
    StreamReceiver,
    TransportError,
    json_request,
    send,
)

ENGINE_CONNECT_TIMEOUT_S = 0.5
ENGINE_STREAM_TIMEOUT_S = 600.0
ENGINE_IDLE_TIMEOUT_S = 5
CANCEL_TIMEOUT_S = 1.0
LOAD_TIMEOUT_S = 0.5
STREAM_OPTIONS = {
    "timeout_s": ENGINE_STREAM_TIMEOUT_S,
    "connect_timeout_s": ENGINE_CONNECT_TIMEOUT_S,
    "idle_timeout_s": ENGINE_IDLE_TIMEOUT_S,
    "fresh_connection": True,
}
HTTP_OK = 200
HTTP_NOT_FOUND = 404
REFUSALS = frozenset({409, 429, 503})


@frozen
class KvImport:
    """A KV store to import missing blocks from, and their required scope."""

    account: str
    model: str
    weights: str
    store: str


@frozen
class EngineRequest:
    """A completion request; ``continued`` is text already sent to the client."""

    request: str
    account: str
    model: str
    weights: str
    prompt: str
    max_tokens: int
    priority: int = 1
    continued: str = ""
    first_index: int = 0
    kv_import: KvImport | None = None


@frozen
class Started:
    """First event of a stream: the engine has accepted the request."""

    request: str = field(validator=instance_of(str))
    incarnation: str = field(validator=instance_of(str))
    weights: str = field(validator=instance_of(str))
    cached_blocks: int = field(validator=instance_of(int))
    prompt_blocks: int = field(validator=instance_of(int))
    waiting_s: float = field(validator=instance_of((float, int)))
    blocks_stored: int = field(validator=instance_of(int))


@frozen
class Token:
    """One token and its index in the stream."""

    request: str = field(validator=instance_of(str))
    index: int = field(validator=instance_of(int))
    text: str = field(validator=instance_of(str))


@frozen
class Finished:
    """Last event of a stream, with its number of tokens."""

    request: str = field(validator=instance_of(str))
    count: int = field(validator=instance_of(int))


EngineEvent = Started | Token | Finished
EventHandler = Callable[[EngineEvent], None]
WaitFunction = Callable[[Future], object]


def wait_for_result(future: Future):
    """Block until the stream ends."""
    return future.result()


@frozen
class LoadReport:
    """Load and state reported by an engine or service."""

    incarnation: str = ""
    weights: str = ""
    waiting_s: float = 0.0
    running: int = 0
    blocks_stored: int = 0
    cache_blocks: int = 0
    accepting: bool = True
    leaving: bool = False
    loading: bool = False


@frozen
class WeightsLoadOrder:
    """An order to load weights, with its fencing token."""

    weights: str
    fencing: int
    timeout_s: float


class EngineAdapter(Protocol):
    """Interface of engine protocol adapters."""

    def complete(
        self,
        address: str,
        request: EngineRequest,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Send a request and pass its events to a handler until the stream ends."""

    def resume(
        self,
        address: str,
        request: str,
        after: int,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Resume a stream after a token index."""

    def cancel(self, address: str, request: str) -> None:
        """Cancel a request, ignoring errors."""

    def abort(self) -> None:
        """End all streams with an error, now and from now on."""

    def get_load_report(self, address: str) -> Result[LoadReport, UpstreamError]:
        """Return the load report of an engine or service."""

    def load_weights(
        self, address: str, order: WeightsLoadOrder
    ) -> Result[None, UpstreamError]:
        """Order an engine to load weights and wait until it has done so."""


engine_adapters: Registry[Callable[[], EngineAdapter]] = Registry("engine adapter")


@engine_adapters.register("http")
class HttpEngineAdapter:
    """Adapter for engines over HTTP with server-sent events."""

    def __init__(self) -> None:
        self.pump = StreamReceiver()
        self.pump.start()

    def complete(
        self,
        address: str,
        request: EngineRequest,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Send a request and pass its events to a handler until the stream ends."""
        url = f"http://{address}/v1/completions"
        call = json_request("POST", url, encode_request(request), **STREAM_OPTIONS)
        return self._receive(call, on_event, wait)

    def resume(
        self,
        address: str,
        request: str,
        after: int,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Resume a stream after a token index."""
        url = f"http://{address}/v1/streams/{request}?after={after}"
        call = HttpRequest("GET", url, **STREAM_OPTIONS)
        return self._receive(call, on_event, wait)

    def cancel(self, address: str, request: str) -> None:
        """Cancel a request, ignoring errors."""
        url = f"http://{address}/v1/streams/{request}"
        request = HttpRequest(
            "DELETE",
            url,
            timeout_s=CANCEL_TIMEOUT_S,
            max_body_bytes=MAX_CONTROL_BODY_BYTES,
        )
        send(request)

    def abort(self) -> None:
        """End all streams with an error, now and from now on."""
        self.pump.abort()

    def get_load_report(self, address: str) -> Result[LoadReport, UpstreamError]:
        """Return the load report of an engine or service."""
        request = HttpRequest(
            "GET",
            f"http://{address}/load",
            timeout_s=LOAD_TIMEOUT_S,
            max_body_bytes=MAX_CONTROL_BODY_BYTES,
        )
        answer = send(request)
        if isinstance(answer, Err):
            return Err(to_upstream_error(answer.err_value))
        if not answer.ok_value.ok:
            return Err(UpstreamError(f"status {answer.ok_value.status}"))
        return Ok(LoadReport(**answer.ok_value.json()))

    def load_weights(
        self, address: str, order: WeightsLoadOrder
    ) -> Result[None, UpstreamError]:
        """Order an engine to load weights and wait until it has done so."""
        value = {"weights": order.weights, "fencing": order.fencing}
        url = f"http://{address}/orders"
        call = json_request(
            "POST",
            url,
            value,
            timeout_s=order.timeout_s,
            fresh_connection=True,
            max_body_bytes=MAX_CONTROL_BODY_BYTES,
        )
        answer = send(call)
        if isinstance(answer, Err):
            return Err(to_upstream_error(answer.err_value))
        if not answer.ok_value.ok:
            message = f"status {answer.ok_value.status}"
            return Err(UpstreamError(message, refused=True))
        return Ok(None)

    def _receive(
        self, call: HttpRequest, on_event: EventHandler, wait: WaitFunction
    ) -> Result[None, UpstreamError]:
        reader = SseParser()
        header_reader = HeaderParser()
        error_body = DroppedBody()

        def on_data(data: bytes) -> None:
            if header_reader.status != HTTP_OK:
                error_body.append(data)
                return
            for event in reader.feed(data):
                on_event(parse_event(event.data))

        try:
            outcome = wait(self.pump.submit(call, on_data, header_reader))
        except MalformedEvent as error:
            return Err(UpstreamError(f"malformed event: {error}", sent=True))
        except (BodyTooLarge, EventTooLarge) as error:
            return Err(UpstreamError(str(error), sent=True))
        if isinstance(outcome, Err):
            return Err(to_upstream_error(outcome.err_value))
        if header_reader.status == HTTP_OK:
            return Ok(None)
        missing = header_reader.status == HTTP_NOT_FOUND
        refused = header_reader.status in REFUSALS
        message = f"status {header_reader.status}"
        return Err(UpstreamError(message, not refused, refused, missing))


def encode_request(request: EngineRequest) -> dict:
    """Return the JSON-serialisable form of a request."""
    value = {
        "request": request.request,
        "cache_salt": request.account,
        "model": request.model,
        "weights": request.weights,
        "prompt": request.prompt,
        "continued": request.continued,
        "max_tokens": request.max_tokens,
        "priority": request.priority,
        "first_index": request.first_index,
        "stream": True,
    }
    if request.kv_import is not None:
        value["kv_import"] = {
            "account": request.kv_import.account,
            "model": request.kv_import.model,
            "weights": request.kv_import.weights,
            "store": request.kv_import.store,
        }
    return value


def decode_event(data: bytes) -> EngineEvent:
    """Decode an event from JSON.

    Raise ``ValueError``, ``KeyError`` or ``TypeError`` if it is malformed.
    """
    value = orjson.loads(data)
    if not isinstance(value, dict):
        raise ValueError("an event is no object")
    kind = value.pop("kind")
    if kind == "token":
        return Token(value["request"], value["index"], value["text"])
    if kind == "started":
        return Started(**value)
    if kind == "finished":
        return Finished(value["request"], value["count"])
    raise ValueError(f"unknown event kind {kind!r}")


def to_upstream_error(error: TransportError) -> UpstreamError:
    """Convert an error of the HTTP layer to an ``UpstreamError``."""
    return UpstreamError(error.message, sent=error.sent, broken_off=error.broken_off)


class MalformedEvent(ReadAborted):
    """The engine sent data that is not a valid event."""


def parse_event(data: bytes) -> EngineEvent:
    """Decode an event; stop reading the stream if it is malformed."""
    try:
        return decode_event(data)
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedEvent(str(error)) from error
