"""Errors of the HTTP layer."""

from attrs import frozen


@frozen
class TransportError:
    """A call that got no whole answer.

    ``sent`` tells whether any byte of the request may have reached the other side.
    """

    message: str
    sent: bool


class ReadAborted(Exception):
    """Raised by a reader of a streamed answer that wants no more of it."""
