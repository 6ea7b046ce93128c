"""HTTP client and server for callers, upstreams, the platform and operators."""

from rosemaryyoke.wire.app import (
    Application,
    Exchange,
    error_response,
    json_response,
)
from rosemaryyoke.wire.errors import (
    BodyTooLarge,
    EventTooLarge,
    ReadAborted,
    RequestRefused,
    TransportError,
)
from rosemaryyoke.wire.http import (
    MAX_CONTROL_BODY_BYTES,
    BodyBuffer,
    DroppedBody,
    HeaderParser,
    HttpRequest,
    HttpResponse,
    json_request,
    send,
    stream,
)
from rosemaryyoke.wire.limits import ServerLimits, derive_limits
from rosemaryyoke.wire.server import HttpServer
from rosemaryyoke.wire.sse import SseEvent, SseParser, encode_event
from rosemaryyoke.wire.stream_receiver import StreamReceiver
from rosemaryyoke.wire.writer import StreamWriter

__all__ = [
    "Application",
    "BodyBuffer",
    "BodyTooLarge",
    "DroppedBody",
    "EventTooLarge",
    "Exchange",
    "HeaderParser",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "MAX_CONTROL_BODY_BYTES",
    "ReadAborted",
    "RequestRefused",
    "ServerLimits",
    "SseEvent",
    "SseParser",
    "StreamReceiver",
    "StreamWriter",
    "TransportError",
    "derive_limits",
    "encode_event",
    "error_response",
    "json_request",
    "json_response",
    "send",
    "stream",
]
