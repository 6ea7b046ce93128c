"""HTTP towards callers, upstreams, the platform and operators."""

from rosemaryyoke.wire.app import (
    Application,
    Exchange,
    error_response,
    json_response,
)
from rosemaryyoke.wire.errors import ReaderStopped, WireError
from rosemaryyoke.wire.http import Answer, Call, HeaderReader, json_call, send, stream
from rosemaryyoke.wire.pump import StreamPump
from rosemaryyoke.wire.server import HttpServer
from rosemaryyoke.wire.sse import SseEvent, SseReader, encode_event
from rosemaryyoke.wire.writer import StreamWriter

__all__ = [
    "Answer",
    "Application",
    "Call",
    "Exchange",
    "HeaderReader",
    "HttpServer",
    "ReaderStopped",
    "SseEvent",
    "SseReader",
    "StreamPump",
    "StreamWriter",
    "WireError",
    "encode_event",
    "error_response",
    "json_call",
    "json_response",
    "send",
    "stream",
]
