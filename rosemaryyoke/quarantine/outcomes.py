"""Outcomes of prompts at engines, as hosts report them to each other."""

import functools
import hashlib
from typing import Iterable

from attrs import frozen

KEY_BYTES = 8
KEY_CACHE_SIZE = 4_096
MAX_KEYS = 16  # parts of one prompt
UNKNOWN_REQUEST = 0  # of outcomes that name only some of the parts of their prompt
NO_FINGERPRINT = 0


@frozen
class PromptOutcome:
    """How one attempt on a prompt ended.

    ``request`` and ``upstream`` are the keys of the request and of the engine, ``keys``
    those of the parts that other prompts may share. Times are by the clock of this
    host; ``ended_s`` is when the engine crashed, if it did. ``fingerprint`` is what
    repetitions of the request have in common.
    """

    request: int
    upstream: int
    keys: tuple[int, ...]
    sent_s: float
    ended_s: float
    crashed: bool
    fingerprint: int = NO_FINGERPRINT

    @property
    def all_keys(self) -> tuple[int, ...]:
        """Return the keys of the parts and the fingerprint, if it is known."""
        if self.fingerprint == NO_FINGERPRINT:
            return self.keys
        return (*self.keys, self.fingerprint)


@functools.lru_cache(KEY_CACHE_SIZE)
def part_key(name: str) -> int:
    """Return the hash of a part's name.

    Unlike the keys of cache entries it is the same for all accounts and models: a part
    crashes engines whatever else the request holds.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def prompt_keys(names: Iterable[str]) -> tuple[int, ...]:
    """Return the distinct keys of shared parts: of many, the first and the last."""
    keys = tuple(dict.fromkeys(part_key(name) for name in names))
    if len(keys) <= MAX_KEYS:
        return keys
    return keys[: MAX_KEYS // 2] + keys[-MAX_KEYS // 2 :]


def request_key(request_id: bytes) -> int:
    """Return the hash of a request's identifier."""
    digest = hashlib.blake2b(request_id, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")
