"""Prefixes of a prompt's text, as parts that other prompts may share."""

import hashlib
from typing import Iterator

from rosemaryyoke.quarantine.outcomes import KEY_BYTES

FIRST_PREFIX_BYTES = 256
PREFIX_GROWTH = 1.1
MAX_PREFIXES = 64  # reach 110 KB


def prefix_lengths() -> Iterator[int]:
    """Yield the lengths of prefixes in bytes; each is a tenth longer than the last."""
    length = FIRST_PREFIX_BYTES
    for _ in range(MAX_PREFIXES):
        yield length
        length = int(length * PREFIX_GROWTH)


def prefix_keys(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes, shortest first.

    All of them are shorter than the prompt, whose end belongs to one request.
    """
    raw = prompt.encode()
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    keys, hashed = [], 0
    for length in prefix_lengths():
        if length >= len(raw):
            break
        digest.update(raw[hashed:length])
        keys.append(int.from_bytes(digest.digest(), "big"))
        hashed = length
    return tuple(keys)
