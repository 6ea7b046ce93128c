"""The origin of a stream, a software version, as a key of fixed size."""

import functools
import hashlib

KEY_BYTES = 8
KEY_CACHE_SIZE = 1_024


@functools.lru_cache(KEY_CACHE_SIZE)
def origin_key(software: str) -> int:
    """Return the hash of a software version of upstreams."""
    digest = hashlib.blake2b(software.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")
