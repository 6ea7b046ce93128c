"""Estimates of which prompt parts are in the prefix caches of upstreams."""

import hashlib
from collections import OrderedDict
from typing import Sequence

from attrs import define, field, frozen

from rosemaryyoke.exchanges.messages import PromptPart

KEY_BYTES = 8


@frozen
class HashedPart:
    """The salted hash of a prompt part, and the size of the part in tokens."""

    key: int
    tokens: int


def hash_parts(salt: bytes, parts: Sequence[PromptPart]) -> tuple[HashedPart, ...]:
    """Return the salted hashes and sizes of prompt parts."""
    return tuple(HashedPart(part_key(salt, part.name), part.tokens) for part in parts)


def part_key(salt: bytes, name: str) -> int:
    """Return the salted hash of a part's name as an integer."""
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES, key=salt[:64])
    return int.from_bytes(digest.digest(), "big")


@define(eq=False)
class CacheEstimate:
    """LRU estimate of an upstream's prefix cache, least recently used parts first.

    ``capacity`` and ``tokens`` are in tokens.
    """

    capacity: int
    cached: OrderedDict[int, int] = field(factory=OrderedDict)
    tokens: int = 0

    def cached_prefix_tokens(self, parts: Sequence[HashedPart]) -> int:
        """Return the size in tokens of the longest prefix estimated to be cached."""
        total = 0
        for part in parts:
            if part.key not in self.cached:
                break
            total += part.tokens
        return total

    def add(self, parts: Sequence[HashedPart]) -> None:
        """Add the parts of a prompt that was prefilled.

        The first part becomes the most recently used one, so a prefix is evicted after
        the parts that extend it.
        """
        for part in reversed(parts):
            if part.key in self.cached:
                self.cached.move_to_end(part.key)
            else:
                self.cached[part.key] = part.tokens
                self.tokens += part.tokens
        while self.tokens > self.capacity and self.cached:
            _, tokens = self.cached.popitem(last=False)
            self.tokens -= tokens

    def clear(self) -> None:
        """Remove all parts, as after a restart or a change of weights."""
        self.cached.clear()
        self.tokens = 0
