"""Streams: identifiers, the caller's side, and the relay from engines."""

from rosemaryyoke.streams.identifiers import (
    StreamIdentifier,
    StreamPosition,
    parse_position,
    seal,
    unseal,
)
from rosemaryyoke.streams.relay import Completion, Relay
from rosemaryyoke.streams.sinks import BufferSink, Failure, Opening, SseSink

__all__ = [
    "BufferSink",
    "Completion",
    "Failure",
    "Opening",
    "Relay",
    "SseSink",
    "StreamIdentifier",
    "StreamPosition",
    "parse_position",
    "seal",
    "unseal",
]
