"""Errors of the peer protocol."""


class PeerError(Exception):
    """A peer did not answer, or violated the protocol."""

    def __init__(self, message: str, sent: bool = False):
        super().__init__(message)
        self.sent = sent
