"""KV cache stores, and estimates of the prompt parts that each one holds."""

from collections import OrderedDict
from typing import Sequence

from attrs import define, field

from rosemaryyoke.catalog import ServiceTraits
from rosemaryyoke.fleet.cache_estimate import HashedPart
from rosemaryyoke.http1 import Address
from rosemaryyoke.placement.rendezvous import rank

STORE_ENTRY_TTL_S = 12.0  # parts are then saved again, in case the store lost them
USABLE_CAPACITY_SHARE = 0.9  # other hosts' saves are reported with a delay
KEY_BYTES = 8


@define(eq=False)
class StoreEstimate:
    """Estimate of the prompt parts in a store, least recently saved first.

    ``capacity`` and ``tokens`` are in tokens.
    """

    address: Address
    capacity: int
    saved: OrderedDict[int, tuple[float, int]] = field(factory=OrderedDict)
    tokens: int = 0

    def add(self, parts: Sequence[HashedPart], now_s: float) -> None:
        """Add saved parts, and evict the oldest ones beyond the capacity."""
        for part in parts:
            _, old_tokens = self.saved.pop(part.key, (0.0, 0))
            self.saved[part.key] = (now_s, part.tokens)
            self.tokens += part.tokens - old_tokens
        while self.tokens > self.capacity and self.saved:
            _, (_, tokens) = self.saved.popitem(last=False)
            self.tokens -= tokens

    def holds(self, part: HashedPart, now_s: float) -> bool:
        """Return whether a part was saved within the last ``STORE_ENTRY_TTL_S``."""
        saved_s, _ = self.saved.get(part.key, (-STORE_ENTRY_TTL_S, 0))
        return now_s - saved_s < STORE_ENTRY_TTL_S

    def cached_prefix_tokens(self, parts: Sequence[HashedPart], now_s: float) -> int:
        """Return the size in tokens of the longest prefix estimated to be stored."""
        total = 0
        for part in parts:
            if not self.holds(part, now_s):
                break
            total += part.tokens
        return total


@define(eq=False)
class CacheStores:
    """All KV cache stores.

    Every host maps a prompt to the same store by rendezvous hashing, so that several
    stores hold more prompts than one and share the transfers.
    """

    by_address: dict[str, StoreEstimate] = field(factory=dict)

    def refresh(self, services: Sequence[ServiceTraits]) -> None:
        """Update the stores from the declared services."""
        declared = {
            str(item.store): item for item in services if item.store is not None
        }
        for address in self.by_address.keys() - declared.keys():
            del self.by_address[address]
        for address, service in declared.items():
            capacity = int(service.store_tokens * USABLE_CAPACITY_SHARE)
            cache_estimate = self.by_address.get(address)
            if cache_estimate is None:
                cache_estimate = StoreEstimate(service.store, capacity)
                self.by_address[address] = cache_estimate
            cache_estimate.capacity = capacity

    def store_for_prompt(self, parts: Sequence[HashedPart]) -> StoreEstimate | None:
        """Return the store for a prompt with the shared ``parts``, or ``None``."""
        if not self.by_address or not parts:
            return None
        if len(self.by_address) == 1:
            return next(iter(self.by_address.values()))
        key = parts[-1].key.to_bytes(KEY_BYTES, "big")
        return self.by_address[rank(key, self.by_address, 1)[0]]
