"""An engine's block cache: limited, least recently used first out."""

from collections import OrderedDict
from typing import Sequence

from attrs import field, frozen


@frozen
class Stored:
    """What one insertion changed: blocks added and blocks evicted."""

    added: list = field(factory=list)
    evicted: list = field(factory=list)


class BlockCache:
    """Keep blocks by recency; a block always outlives its children."""

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.blocks: OrderedDict = OrderedDict()

    def match(self, chain: Sequence) -> int:
        """Return how many leading blocks of a chain are cached."""
        for index, block in enumerate(chain):
            if block not in self.blocks:
                return index
        return len(chain)

    def insert(self, chain: Sequence) -> Stored:
        """Cache a chain, the deepest block as the least recent of it."""
        kept = chain[: self.capacity]
        added = [block for block in kept if block not in self.blocks]
        for block in reversed(kept):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > self.capacity:
            evicted.append(self.blocks.popitem(last=False)[0])
        return Stored(added, evicted)

    def clear(self) -> None:
        """Drop every block."""
        self.blocks.clear()
