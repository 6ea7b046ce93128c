"""Fingerprints: hashes that are equal for repetitions of one request."""

import hashlib
from typing import Iterable

from rosemaryyoke.quarantine.outcomes import KEY_BYTES

LENGTH_BYTES = 4
# Keeps fingerprints apart from the keys of parts, which are hashes of the same size.
DOMAIN = b"request"


def fingerprint(fields: Iterable[bytes]) -> int:
    """Return the hash of what identifies a request, at any host and over restarts.

    The lengths of the fields are hashed too, so that no two lists of fields run
    together.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES, person=DOMAIN)
    for value in fields:
        digest.update(len(value).to_bytes(LENGTH_BYTES, "big"))
        digest.update(value)
    return int.from_bytes(digest.digest(), "big")
