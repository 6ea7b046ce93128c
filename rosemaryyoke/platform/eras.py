"""Decodes the era that the platform's store states in its responses."""

from rosemaryyoke.http1 import Headers
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.names import STORE_ERA

STORE_ERA_KEY = STORE_ERA.lower()


def decode_era(headers: Headers) -> int:
    """Return the era of a response, 0 if absent; raise ``ValueError`` if malformed."""
    value = find_header(headers, STORE_ERA_KEY)
    if value is None:
        return 0
    era = int(value)
    if era < 0:
        raise ValueError(f"negative era {era}")
    return era
