"""Relay of token streams from engines to callers, and stream identifiers."""

from rosemaryyoke.streams.identifiers import (
    StreamIdentifier,
    StreamPosition,
    parse_position,
    sign_identifier,
    verify_identifier,
)
from rosemaryyoke.streams.relay import CompletionRequest, Relay
from rosemaryyoke.streams.sinks import BufferSink, Failure, SseSink, StreamMetadata

__all__ = [
    "BufferSink",
    "CompletionRequest",
    "Failure",
    "Relay",
    "SseSink",
    "StreamIdentifier",
    "StreamMetadata",
    "StreamPosition",
    "parse_position",
    "sign_identifier",
    "verify_identifier",
]
