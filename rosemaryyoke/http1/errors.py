"""Errors of HTTP/1.1 messages and connections."""

from attrs import frozen


class MalformedMessage(Exception):
    """Invalid HTTP/1.1, or a message with ambiguous framing."""


class MessageTooLarge(Exception):
    """A message exceeds a size limit; ``status`` is the response status to send."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class ResponseTooLarge(Exception):
    """A response, or an event of a stream, exceeds a size limit."""


class MalformedEvent(Exception):
    """A stream holds a line that is no field of an event."""


@frozen
class RequestError:
    """No complete response; ``sent`` is true if the request may have arrived."""

    message: str
    sent: bool
