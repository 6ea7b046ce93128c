"""Offline bound of the hit rate.

All caches are taken as one pool, and the block evicted is the one whose next use is the
furthest (Belady, "A study of replacement algorithms", 1966). No placement over separate
caches can hit more blocks.
"""

import heapq

from rosemaryyoke.bench.workloads import CACHE_BLOCKS, BenchRequest, Workload

NEVER = 1 << 60


def bound_hit_rate(workload: Workload, requests: list[BenchRequest]) -> float:
    """Return the share of blocks that a pool with foresight would hit."""
    next_uses = _next_uses(requests)
    capacity = workload.engines * CACHE_BLOCKS
    cached: dict[bytes, int] = {}
    furthest: list[tuple[int, bytes]] = []
    hits = total = 0
    for request, uses in zip(requests, next_uses):
        for block, next_use in zip(request.chain, uses):
            total += 1
            hits += block in cached
            cached[block] = next_use
            heapq.heappush(furthest, (-next_use, block))
        while len(cached) > capacity:
            negative, block = heapq.heappop(furthest)
            if cached.get(block) == -negative:
                del cached[block]
    return hits / total


def _next_uses(requests: list[BenchRequest]) -> list[list[int]]:
    """Return for each block of each request the number of its next request."""
    following: dict[bytes, int] = {}
    uses: list[list[int]] = []
    for request in reversed(requests):
        uses.append([following.get(block, NEVER) for block in request.chain])
        for block in request.chain:
            following[block] = request.number
    uses.reverse()
    return uses
