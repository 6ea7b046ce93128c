"""The origin of a stream as a key of fixed size."""

import functools
import hashlib

KEY_BYTES = 8
KEY_CACHE_SIZE = 1_024


@functools.lru_cache(KEY_CACHE_SIZE)
def origin_key(service: str, software: str) -> int:
    """Return the hash of a service and a software version of its upstreams."""
    text = f"{service}\0{software}".encode()
    digest = hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")
