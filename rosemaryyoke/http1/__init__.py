"""HTTP/1.1 as routed exchanges need it: strict, and with nothing hidden."""

from rosemaryyoke.http1.client import Caller, Reply, call_once
from rosemaryyoke.http1.errors import CallError, MalformedMessage, MessageTooLarge
from rosemaryyoke.http1.messages import (
    AnswerMessage,
    AnswerReader,
    Headers,
    MessageLimits,
    RequestMessage,
    RequestReader,
)
from rosemaryyoke.http1.sockets import Address

__all__ = [
    "Address",
    "AnswerMessage",
    "AnswerReader",
    "CallError",
    "Caller",
    "Headers",
    "MalformedMessage",
    "MessageLimits",
    "MessageTooLarge",
    "Reply",
    "RequestMessage",
    "RequestReader",
    "call_once",
]
