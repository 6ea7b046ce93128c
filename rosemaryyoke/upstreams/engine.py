"""The wire to engines: typed messages and its adapters."""

from concurrent.futures import Future
from typing import Callable, Protocol

import orjson
from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.core import Registry
from rosemaryyoke.upstreams.errors import UpstreamError
from rosemaryyoke.wire import (
    Call,
    HeaderReader,
    ReaderStopped,
    SseReader,
    StreamPump,
    WireError,
    json_call,
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
    "fresh": True,
}
HTTP_OK = 200
HTTP_NOT_FOUND = 404
REFUSALS = frozenset({409, 429, 503})


@frozen
class KvImport:
    """A kept-KV store to take missing blocks from, and the scope they must be of."""

    account: str
    model: str
    weights: str
    store: str


@frozen
class EngineRequest:
    """A completion for an engine; ``continued`` is text that was sent already."""

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
    """The engine began to answer."""

    request: str
    incarnation: str
    weights: str
    cached_blocks: int
    prompt_blocks: int
    waiting_s: float
    blocks_stored: int


@frozen
class Token:
    """One token and its place in the stream."""

    request: str
    index: int
    text: str


@frozen
class Finished:
    """The stream is complete with this many tokens."""

    request: str
    count: int


EngineEvent = Started | Token | Finished
EventHandler = Callable[[EngineEvent], None]
WaitFunction = Callable[[Future], object]


def wait_for_result(future: Future):
    """Wait for a stream's end and do nothing else."""
    return future.result()


@frozen
class LoadReport:
    """What an engine or service last said of its load."""

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
    """An order to load weights, under a fencing number."""

    weights: str
    fencing: int
    timeout_s: float


class EngineAdapter(Protocol):
    """What is asked of an engine."""

    def complete(
        self,
        address: str,
        request: EngineRequest,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Send a request and hand over its events until the stream ends."""

    def resume(
        self,
        address: str,
        request: str,
        after: int,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Go on with a stream from an index."""

    def cancel(self, address: str, request: str) -> None:
        """Give up a request; errors do not matter."""

    def get_load_report(self, address: str) -> Result[LoadReport, UpstreamError]:
        """Return the load report."""

    def load_weights(
        self, address: str, order: WeightsLoadOrder
    ) -> Result[None, UpstreamError]:
        """Have an engine load weights, and wait until it has."""


engine_adapters: Registry[Callable[[], EngineAdapter]] = Registry("engine adapter")


@engine_adapters.register("http")
class HttpEngineAdapter:
    """Engines over HTTP with server-sent events."""

    def __init__(self) -> None:
        self.pump = StreamPump()
        self.pump.start()

    def complete(
        self,
        address: str,
        request: EngineRequest,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Send a request and hand over its events until the stream ends."""
        url = f"http://{address}/v1/completions"
        call = json_call("POST", url, encode_request(request), **STREAM_OPTIONS)
        return self._receive(call, on_event, wait)

    def resume(
        self,
        address: str,
        request: str,
        after: int,
        on_event: EventHandler,
        wait: WaitFunction = wait_for_result,
    ) -> Result[None, UpstreamError]:
        """Go on with a stream from an index."""
        url = f"http://{address}/v1/streams/{request}?after={after}"
        call = Call("GET", url, **STREAM_OPTIONS)
        return self._receive(call, on_event, wait)

    def cancel(self, address: str, request: str) -> None:
        """Give up a request; errors do not matter."""
        url = f"http://{address}/v1/streams/{request}"
        send(Call("DELETE", url, timeout_s=CANCEL_TIMEOUT_S))

    def get_load_report(self, address: str) -> Result[LoadReport, UpstreamError]:
        """Return the load report."""
        answer = send(Call("GET", f"http://{address}/load", timeout_s=LOAD_TIMEOUT_S))
        if isinstance(answer, Err):
            return Err(to_upstream_error(answer.err_value))
        if not answer.ok_value.ok:
            return Err(UpstreamError(f"status {answer.ok_value.status}"))
        return Ok(LoadReport(**answer.ok_value.json()))

    def load_weights(
        self, address: str, order: WeightsLoadOrder
    ) -> Result[None, UpstreamError]:
        """Have an engine load weights, and wait until it has."""
        value = {"weights": order.weights, "fencing": order.fencing}
        url = f"http://{address}/orders"
        call = json_call("POST", url, value, timeout_s=order.timeout_s, fresh=True)
        answer = send(call)
        if isinstance(answer, Err):
            return Err(to_upstream_error(answer.err_value))
        if not answer.ok_value.ok:
            message = f"status {answer.ok_value.status}"
            return Err(UpstreamError(message, refused=True))
        return Ok(None)

    def _receive(
        self, call: Call, on_event: EventHandler, wait: WaitFunction
    ) -> Result[None, UpstreamError]:
        reader = SseReader()
        header_reader = HeaderReader()

        def on_data(data: bytes) -> None:
            if header_reader.status == HTTP_OK:
                for event in reader.feed(data):
                    on_event(parse_event(event.data))

        try:
            outcome = wait(self.pump.submit(call, on_data, header_reader))
        except MalformedEvent as error:
            return Err(UpstreamError(f"malformed event: {error}", sent=True))
        if isinstance(outcome, Err):
            return Err(to_upstream_error(outcome.err_value))
        if header_reader.status == HTTP_OK:
            return Ok(None)
        missing = header_reader.status == HTTP_NOT_FOUND
        refused = header_reader.status in REFUSALS
        message = f"status {header_reader.status}"
        return Err(UpstreamError(message, not refused, refused, missing))


def encode_request(request: EngineRequest) -> dict:
    """Return the JSON value of a request."""
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
    """Return the typed event of its JSON; raise ``ValueError`` where it is not one."""
    value = orjson.loads(data)
    kind = value.pop("kind")
    if kind == "token":
        return Token(value["request"], value["index"], value["text"])
    if kind == "started":
        return Started(**value)
    if kind == "finished":
        return Finished(value["request"], value["count"])
    raise ValueError(f"unknown event {kind!r}")


def to_upstream_error(error: WireError) -> UpstreamError:
    """Return this layer's error for one of the HTTP layer."""
    return UpstreamError(error.message, sent=error.sent)


class MalformedEvent(ReaderStopped):
    """The engine sent what is not an event."""


def parse_event(data: bytes) -> EngineEvent:
    """Return the typed event of its JSON, or end the stream's reading."""
    try:
        return decode_event(data)
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedEvent(str(error)) from error
