"""Errors of the HTTP layer."""

from attrs import frozen


@frozen
class TransportError:
    """A request that got no complete response.

    ``sent`` says whether any byte of the request may have reached the server,
    ``broken_off`` whether the server closed the connection before the response's end,
    ``no_memory`` whether this process had no memory for the response.
    """

    message: str
    sent: bool
    broken_off: bool = False
    no_memory: bool = False


class ReadAborted(Exception):
    """Raised by a data callback to abort a streamed response."""


class EventTooLarge(ReadAborted):
    """An event of a stream exceeds the size limit."""


class BodyTooLarge(ReadAborted):
    """The body of a response exceeds the size limit."""


class NoMemoryForBody(ReadAborted):
    """This process has no memory for the body of a response now."""


class RequestRefused(Exception):
    """A request that is refused before it was run, for lack of memory."""

    def __init__(self, code: str, message: str, retry_after_s: float):
        super().__init__(message)
        self.code = code
        self.retry_after_s = retry_after_s
