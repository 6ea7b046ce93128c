"""Placement policies, which choose an engine for a request."""

import itertools
import random
from typing import Callable, Protocol

from attrs import define, field, frozen

from rosemaryyoke.core import Registry
from rosemaryyoke.placement.blocks import Chain
from rosemaryyoke.placement.fleet import Choice, EngineView, Fleet
from rosemaryyoke.placement.prefixes import PrefixMatch
from rosemaryyoke.placement.rendezvous import RankingCache

EXHAUSTIVE_SEARCH_LIMIT = 16
RANDOM_CANDIDATES = 2
MAX_CACHE_CANDIDATES = 6
NON_HOME_PENALTY_S = 1e-6
BASE_PREFILL_WEIGHT = 1.0
QUEUE_PREFILL_WEIGHT_PER_S = 20.0


@frozen
class PlacementRequest:
    """A request for a placement policy.

    ``names`` is the non-empty set of engines allowed by the rules and by health;
    ``ordered_names`` has the same names in a fixed order.
    """

    chain: Chain
    names: frozenset[str]
    ordered_names: tuple[str, ...]
    urgent: bool = False


class Policy(Protocol):
    """Interface of placement policies."""

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return one of the engines allowed by the request."""


policies: Registry[Callable[[], Policy]] = Registry("placement policy")


def home_key(chain: Chain) -> bytes:
    """Return the key that selects a prompt's home engine: its first block hash."""
    return chain[0] if chain else b"empty"


def predict(
    engine: EngineView, request: PlacementRequest, fleet: Fleet, now_s: float
) -> Choice:
    """Return the given engine as a choice, with its predicted latency."""
    matches = fleet.index.match_prefix(request.chain)
    stored = fleet.stored_blocks(matches)
    return fleet.predict(engine, request.chain, matches, stored, now_s)


@policies.register("round-robin")
@define
class RoundRobin:
    """Choose engines in rotation."""

    counter: itertools.count = field(factory=itertools.count)

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the next engine in the rotation."""
        name = request.ordered_names[next(self.counter) % len(request.ordered_names)]
        return predict(fleet.engines[name], request, fleet, now_s)


@policies.register("least-load")
@define
class LeastLoad:
    """Choose the engine with the shortest queue."""

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the engine with the shortest queue, then the fewest requests."""
        name = min(
            request.ordered_names,
            key=lambda item: (
                fleet.engines[item].queue_s(now_s),
                fleet.engines[item].in_flight,
            ),
        )
        return predict(fleet.engines[name], request, fleet, now_s)


@policies.register("consistent-hash")
@define
class ConsistentHash:
    """Choose the home engine by the first block's hash, regardless of load."""

    rankings: RankingCache = field(factory=lambda: RankingCache(1))

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the prompt's home engine."""
        name = self.rankings.rank(home_key(request.chain), request.names)[0]
        return predict(fleet.engines[name], request, fleet, now_s)


@policies.register("predicted-ttft")
@define
class PredictedTtft:
    """Minimise predicted time to first token plus weighted prefill time.

    The weight of prefill grows with the queues, since each second of prefill then
    delays more requests. Candidates are engines that presumably have the prefix cached,
    the prompt's home engine and a few random engines; in a small fleet, all engines.
    """

    base_prefill_weight: float = BASE_PREFILL_WEIGHT
    queue_prefill_weight_per_s: float = QUEUE_PREFILL_WEIGHT_PER_S
    rankings: RankingCache = field(factory=lambda: RankingCache(1))
    rng: random.Random = field(factory=lambda: random.Random(0))

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the candidate with the lowest cost."""
        matches = fleet.index.match_prefix(request.chain)
        stored = fleet.stored_blocks(matches)
        home = self.rankings.rank(home_key(request.chain), request.names)[0]
        names = self.candidates(request, matches, home)
        engines = [fleet.engines[name] for name in names]
        weight = self.prefill_weight(engines, now_s, request.urgent)
        best, best_cost = None, 0.0
        for engine in engines:
            choice = fleet.predict(
                engine, request.chain, matches, stored, now_s, request.urgent
            )
            cost = choice.ttft_s + weight * choice.prefill_s
            if engine.name != home:
                cost += NON_HOME_PENALTY_S
            if best is None or cost < best_cost:
                best, best_cost = choice, cost
        return best

    def prefill_weight(
        self, engines: list[EngineView], now_s: float, urgent: bool
    ) -> float:
        """Return the cost of a second of prefill relative to a second of waiting."""
        mean_s = sum(engine.queue_s(now_s, urgent) for engine in engines) / len(engines)
        return self.base_prefill_weight + self.queue_prefill_weight_per_s * mean_s

    def candidates(
        self, request: PlacementRequest, matches: list[PrefixMatch], home: str
    ) -> list[str]:
        """Return the names of the engines to compare."""
        if len(request.ordered_names) <= EXHAUSTIVE_SEARCH_LIMIT:
            return list(request.ordered_names)
        found = {home: None}
        for match in reversed(matches):
            for name in itertools.islice(
                match.node.cache_records, MAX_CACHE_CANDIDATES
            ):
                if name in request.names:
                    found[name] = None
            if len(found) >= MAX_CACHE_CANDIDATES:
                break
        for _ in range(RANDOM_CANDIDATES):
            found[self.rng.choice(request.ordered_names)] = None
        return list(found)
