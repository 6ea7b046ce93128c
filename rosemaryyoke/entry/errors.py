"""Errors for requests that are rejected before they reach an upstream."""

from rosemaryyoke.streams import Failure


class RequestRejected(Exception):
    """A request that the host rejects before sending anything upstream."""

    def __init__(
        self, status: int, code: str, message: str, retry_after_s: float = 0.0
    ):
        super().__init__(message)
        self.failure = Failure(status, code, message, True, retry_after_s)
