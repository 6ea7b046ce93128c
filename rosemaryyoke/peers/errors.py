"""Errors of the layer between hosts."""


class PeerError(Exception):
    """A peer did not answer, or sent what it must not."""

    def __init__(self, message: str, sent: bool = False):
        super().__init__(message)
        self.sent = sent
