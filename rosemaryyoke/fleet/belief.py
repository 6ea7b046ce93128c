"""What a host believes that each upstream holds in its prefix cache."""

from collections import OrderedDict
from typing import Sequence

from attrs import define, field

from rosemaryyoke.exchanges.messages import PromptPart

PartKey = tuple[bytes, str]


@define(eq=False)
class CacheBelief:
    """Prompt parts that an upstream read, least recently used first.

    ``capacity`` is in tokens; parts of other hosts' requests share the upstream's
    cache, so less than the whole of it is believed to be filled from here.
    """

    capacity: int
    held: OrderedDict[PartKey, int] = field(factory=OrderedDict)
    tokens: int = 0

    def held_tokens(self, salt: bytes, parts: Sequence[PromptPart]) -> int:
        """Return how many tokens of a prompt's beginning are believed to be cached."""
        total = 0
        for part in parts:
            if (salt, part.name) not in self.held:
                break
            total += part.tokens
        return total

    def add(self, salt: bytes, parts: Sequence[PromptPart]) -> None:
        """Note that the upstream has read a prompt; its beginning is used last."""
        for part in reversed(parts):
            key = (salt, part.name)
            if key in self.held:
                self.held.move_to_end(key)
            else:
                self.held[key] = part.tokens
                self.tokens += part.tokens
        while self.tokens > self.capacity and self.held:
            _, tokens = self.held.popitem(last=False)
            self.tokens -= tokens

    def clear(self) -> None:
        """Forget everything, as after a restart or new weights."""
        self.held.clear()
        self.tokens = 0
