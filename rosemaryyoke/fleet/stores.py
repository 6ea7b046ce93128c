"""KV cache stores, and what each is believed to hold of prompts."""

from collections import OrderedDict
from typing import Sequence

from attrs import define, field

from rosemaryyoke.catalog import ServiceTraits
from rosemaryyoke.fleet.belief import ReadPart
from rosemaryyoke.http1 import Address
from rosemaryyoke.placement.rendezvous import rank

STORE_TRUST_S = 12.0  # after which a part is saved anew, in case the store lost it
CAPACITY_SHARE = 0.9  # of a store; what others save is heard of late
KEY_BYTES = 8


@define(eq=False)
class StoreBelief:
    """Prompt parts that were saved to a store lately; ``capacity`` is in tokens."""

    address: Address
    capacity: int
    saved: OrderedDict[int, tuple[float, int]] = field(factory=OrderedDict)
    tokens: int = 0

    def add(self, parts: Sequence[ReadPart], now_s: float) -> None:
        """Note that parts are saved; what the store then has no room for is gone."""
        for part in parts:
            _, known = self.saved.pop(part.key, (0.0, 0))
            self.saved[part.key] = (now_s, part.tokens)
            self.tokens += part.tokens - known
        while self.tokens > self.capacity and self.saved:
            _, (_, tokens) = self.saved.popitem(last=False)
            self.tokens -= tokens

    def holds(self, part: ReadPart, now_s: float) -> bool:
        """Tell whether a part was saved lately."""
        saved_s, _ = self.saved.get(part.key, (-STORE_TRUST_S, 0))
        return now_s - saved_s < STORE_TRUST_S

    def held_tokens(self, parts: Sequence[ReadPart], now_s: float) -> int:
        """Return how many tokens of a prompt's beginning are believed to be kept."""
        total = 0
        for part in parts:
            if not self.holds(part, now_s):
                break
            total += part.tokens
        return total


@define(eq=False)
class CacheStores:
    """All stores. A prompt belongs to one, whichever host asks.

    Several stores so hold more than one, and share the transfers.
    """

    by_address: dict[str, StoreBelief] = field(factory=dict)

    def follow(self, services: Sequence[ServiceTraits]) -> None:
        """Take in the stores that are declared."""
        found = {str(item.store): item for item in services if item.store is not None}
        for address in self.by_address.keys() - found.keys():
            del self.by_address[address]
        for address, service in found.items():
            capacity = int(service.store_tokens * CAPACITY_SHARE)
            belief = self.by_address.get(address)
            if belief is None:
                belief = StoreBelief(service.store, capacity)
                self.by_address[address] = belief
            belief.capacity = capacity

    def of_prompt(self, parts: Sequence[ReadPart]) -> StoreBelief | None:
        """Return the store of a prompt, or none; ``parts`` are its shared ones."""
        if not self.by_address or not parts:
            return None
        if len(self.by_address) == 1:
            return next(iter(self.by_address.values()))
        key = parts[-1].key.to_bytes(KEY_BYTES, "big")
        return self.by_address[rank(key, self.by_address, 1)[0]]
