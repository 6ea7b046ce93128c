"""Errors of the HTTP layer."""

from attrs import frozen


@frozen
class TransportError:
    """A request that got no complete response.

    ``sent`` says whether any byte of the request may have reached the server,
    ``broken_off`` whether the server closed the connection before the response's end.
    """

    message: str
    sent: bool
    broken_off: bool = False


class ReadAborted(Exception):
    """Raised by a data callback to abort a streamed response."""


class EventTooLarge(ReadAborted):
    """An event of a stream exceeds the size limit."""


class BodyTooLarge(ReadAborted):
    """The body of a response exceeds the size limit."""
