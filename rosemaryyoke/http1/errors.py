"""Errors of HTTP/1.1 messages and connections."""

from attrs import frozen


class MalformedMessage(Exception):
    """Bytes that are no HTTP/1.1 message, or one that two readers could frame apart."""


class MessageTooLarge(Exception):
    """A message over its limits; ``status`` is what its sender is answered."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


@frozen
class RequestError:
    """A call without a whole answer; ``sent`` tells whether it may have arrived."""

    message: str
    sent: bool
