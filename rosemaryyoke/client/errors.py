"""Errors of the client library."""

from attrs import frozen


@frozen
class CallFailed:
    """A failed call.

    ``not_run`` is the host's statement that the call was not executed.
    """

    status: int
    code: str
    message: str
    not_run: bool = False
    retry_after_s: float = 0.0
