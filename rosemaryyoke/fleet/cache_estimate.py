"""What upstreams are believed to hold of prompts."""

import hashlib
from collections import OrderedDict
from typing import Sequence

from attrs import define, field, frozen

from rosemaryyoke.exchanges.messages import PromptPart

KEY_BYTES = 8


@frozen
class HashedPart:
    """A prompt part under its salt, as one number, and its size in tokens."""

    key: int
    tokens: int


def hash_parts(salt: bytes, parts: Sequence[PromptPart]) -> tuple[HashedPart, ...]:
    """Return parts as beliefs know them."""
    return tuple(HashedPart(part_key(salt, part.name), part.tokens) for part in parts)


def part_key(salt: bytes, name: str) -> int:
    """Return the number of a part under a salt."""
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES, key=salt[:64])
    return int.from_bytes(digest.digest(), "big")


@define(eq=False)
class CacheEstimate:
    """Prompt parts that an upstream read, least recently used first.

    ``capacity`` is in tokens.
    """

    capacity: int
    cached: OrderedDict[int, int] = field(factory=OrderedDict)
    tokens: int = 0

    def cached_prefix_tokens(self, parts: Sequence[HashedPart]) -> int:
        """Return how many tokens of a prompt's beginning are believed to be cached."""
        total = 0
        for part in parts:
            if part.key not in self.cached:
                break
            total += part.tokens
        return total

    def add(self, parts: Sequence[HashedPart]) -> None:
        """Note that the upstream has read a prompt; its beginning is used last."""
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
        """Forget everything, as after a restart or new weights."""
        self.cached.clear()
        self.tokens = 0
