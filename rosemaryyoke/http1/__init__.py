"""A strict HTTP/1.1 parser and client for routed exchanges."""

from rosemaryyoke.http1.client import HttpClient, Response, send_request
from rosemaryyoke.http1.errors import MalformedMessage, MessageTooLarge, RequestError
from rosemaryyoke.http1.messages import (
    Headers,
    MessageLimits,
    RequestMessage,
    RequestParser,
)
from rosemaryyoke.http1.responses import (
    Framing,
    ResponseLimits,
    ResponseMessage,
    ResponseParser,
)
from rosemaryyoke.http1.sockets import Address

__all__ = [
    "Address",
    "Framing",
    "Headers",
    "HttpClient",
    "MalformedMessage",
    "MessageLimits",
    "MessageTooLarge",
    "RequestError",
    "RequestMessage",
    "RequestParser",
    "Response",
    "ResponseLimits",
    "ResponseMessage",
    "ResponseParser",
    "send_request",
]
