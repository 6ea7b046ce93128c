"""Errors of the upstreams layer."""

from attrs import frozen


@frozen
class UpstreamError:
    """A failed call to an upstream.

    ``sent`` is true if the upstream may have begun to process the call, ``refused`` if
    the upstream itself rejected it, and ``missing`` if it answered that it does not
    know the stream (status 404). ``broken_off`` is true if the upstream ended its
    response early, as it does when it crashes.
    """

    message: str
    sent: bool = False
    refused: bool = False
    missing: bool = False
    broken_off: bool = False
