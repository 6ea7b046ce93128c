"""Rendezvous (highest random weight) hashing.

Source: Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

import hashlib
import math
from collections import OrderedDict
from typing import Iterable

MAX_CACHED_RANKINGS = 4_096
SCORE_BITS = 64


def score(key: bytes, name: str, weight: float = 1.0) -> float:
    """Return the score of a name for a key; the name with the highest score wins."""
    digest = hashlib.blake2b(name.encode(), digest_size=8, key=key[:64]).digest()
    uniform = (int.from_bytes(digest, "big") + 1) / (2**SCORE_BITS + 1)
    return -weight / math.log(uniform)


def rank(key: bytes, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the highest scores for a key, best first."""
    ordered = sorted(names, key=lambda name: score(key, name), reverse=True)
    return ordered[:count]


class RankingCache:
    """Cache of rankings, cleared when the set of names changes.

    At most ``max_rankings`` rankings are cached; the oldest is evicted first.
    """

    def __init__(self, count: int, max_rankings: int = MAX_CACHED_RANKINGS):
        self.count = count
        self.max_rankings = max_rankings
        self.names: frozenset[str] = frozenset()
        self.rankings: OrderedDict[bytes, list[str]] = OrderedDict()

    def rank(self, key: bytes, names: frozenset[str]) -> list[str]:
        """Return the best names for a key, from the cache if possible."""
        if names is not self.names and names != self.names:
            self.rankings.clear()
        self.names = names
        ranking = self.rankings.get(key)
        if ranking is None:
            ranking = rank(key, names, self.count)
            self.rankings[key] = ranking
            if len(self.rankings) > self.max_rankings:
                self.rankings.popitem(last=False)
        return ranking
