"""Errors of the caller's library."""

from attrs import frozen


@frozen
class CallFailed:
    """A call that got no good answer; ``not_run`` is what the host said."""

    status: int
    code: str
    message: str
    not_run: bool = False
    retry_after_s: float = 0.0
