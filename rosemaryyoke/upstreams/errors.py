"""Errors of the upstreams layer."""

from attrs import frozen


@frozen
class UpstreamError:
    """A call to an upstream that did not end well.

    ``sent`` tells whether the upstream may have begun to act on it; ``refused`` that
    the upstream itself said that it took no work.
    """

    message: str
    sent: bool = False
    refused: bool = False
    missing: bool = False
