"""Placement policies: which engine answers a request."""

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
    """What a policy is asked to place.

    ``names`` are the engines that rules and health allow; one is there at least.
    """

    chain: Chain
    names: frozenset[str]
    ordered_names: tuple[str, ...]
    urgent: bool = False


class Policy(Protocol):
    """A way to choose an engine."""

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return one of the engines that the request allows."""


policies: Registry[Callable[[], Policy]] = Registry("placement policy")


def home_key(chain: Chain) -> bytes:
    """Return what stands for the widest level of a prompt: its first block."""
    return chain[0] if chain else b"empty"


def predict(
    engine: EngineView, request: PlacementRequest, fleet: Fleet, now_s: float
) -> Choice:
    """Return the choice of an engine for a request."""
    matches = fleet.index.match_prefix(request.chain)
    stored = fleet.stored_blocks(matches)
    return fleet.predict(engine, request.chain, matches, stored, now_s)


@policies.register("round-robin")
@define
class RoundRobin:
    """Take the engines in turn."""

    counter: itertools.count = field(factory=itertools.count)

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the next engine in turn."""
        name = request.ordered_names[next(self.counter) % len(request.ordered_names)]
        return predict(fleet.engines[name], request, fleet, now_s)


@policies.register("least-load")
@define
class LeastLoad:
    """Take the engine with the shortest queue."""

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the engine with the shortest queue."""
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
    """Hash the widest level of the prompt, whatever the load."""

    rankings: RankingCache = field(factory=lambda: RankingCache(1))

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the home of the prompt's widest level."""
        name = self.rankings.rank(home_key(request.chain), request.names)[0]
        return predict(fleet.engines[name], request, fleet, now_s)


@policies.register("predicted-ttft")
@define
class PredictedTtft:
    """Weigh predicted time to first token against prefill that others wait for.

    Prefill weighs more the longer the queues are, since each second of it then delays
    more requests. Candidates are engines believed to hold the prefix, the home of its
    widest level and a few samples.
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
        """Return what a second of prefill weighs beside a second of waiting."""
        mean_s = sum(engine.queue_s(now_s, urgent) for engine in engines) / len(engines)
        return self.base_prefill_weight + self.queue_prefill_weight_per_s * mean_s

    def candidates(
        self, request: PlacementRequest, matches: list[PrefixMatch], home: str
    ) -> list[str]:
        """Return the engines worth a prediction."""
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
