"""Placement policies: which engine answers a request."""

import itertools
import random
from typing import Callable, Protocol

from attrs import define, field, frozen

from rosemaryyoke.core import Registry
from rosemaryyoke.placement.blocks import Chain
from rosemaryyoke.placement.fleet import Choice, EngineView, Fleet
from rosemaryyoke.placement.prefixes import Step
from rosemaryyoke.placement.rendezvous import RankingCache

ALL_ENGINES_UP_TO = 16
SAMPLES = 2
HOLDERS_TRIED = 6
AWAY_FROM_HOME_S = 1e-6
RECOMPUTE_WEIGHT = 1.0
PRESSURE_WEIGHT_PER_S = 20.0


@frozen
class PlacementRequest:
    """What a policy is asked to place.

    ``names`` are the engines that rules and health allow; one is there at least.
    """

    chain: Chain
    names: frozenset[str]
    ordered: tuple[str, ...]
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
    steps = fleet.index.walk(request.chain)
    kept = fleet.kept_blocks(steps)
    return fleet.predict(engine, request.chain, steps, kept, now_s)


@policies.register("round-robin")
@define
class RoundRobin:
    """Take the engines in turn."""

    numbers: itertools.count = field(factory=itertools.count)

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the next engine in turn."""
        name = request.ordered[next(self.numbers) % len(request.ordered)]
        return predict(fleet.engines[name], request, fleet, now_s)


@policies.register("least-load")
@define
class LeastLoad:
    """Take the engine with the shortest queue."""

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the engine with the shortest queue."""
        name = min(
            request.ordered,
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

    recompute_weight: float = RECOMPUTE_WEIGHT
    pressure_weight_per_s: float = PRESSURE_WEIGHT_PER_S
    rankings: RankingCache = field(factory=lambda: RankingCache(1))
    generator: random.Random = field(factory=lambda: random.Random(0))

    def choose(self, request: PlacementRequest, fleet: Fleet, now_s: float) -> Choice:
        """Return the candidate with the lowest cost."""
        steps = fleet.index.walk(request.chain)
        kept = fleet.kept_blocks(steps)
        home = self.rankings.rank(home_key(request.chain), request.names)[0]
        names = self.candidates(request, steps, home)
        engines = [fleet.engines[name] for name in names]
        weight = self.prefill_weight(engines, now_s, request.urgent)
        best, best_cost = None, 0.0
        for engine in engines:
            choice = fleet.predict(
                engine, request.chain, steps, kept, now_s, request.urgent
            )
            cost = choice.ttft_s + weight * choice.prefill_s
            if engine.name != home:
                cost += AWAY_FROM_HOME_S
            if best is None or cost < best_cost:
                best, best_cost = choice, cost
        return best

    def prefill_weight(
        self, engines: list[EngineView], now_s: float, urgent: bool
    ) -> float:
        """Return what a second of prefill weighs beside a second of waiting."""
        mean_s = sum(engine.queue_s(now_s, urgent) for engine in engines) / len(engines)
        return self.recompute_weight + self.pressure_weight_per_s * mean_s

    def candidates(
        self, request: PlacementRequest, steps: list[Step], home: str
    ) -> list[str]:
        """Return the engines worth a prediction."""
        if len(request.ordered) <= ALL_ENGINES_UP_TO:
            return list(request.ordered)
        found = {home: None}
        for step in reversed(steps):
            for name in itertools.islice(step.node.holders, HOLDERS_TRIED):
                if name in request.names:
                    found[name] = None
            if len(found) >= HOLDERS_TRIED:
                break
        for _ in range(SAMPLES):
            found[self.generator.choice(request.ordered)] = None
        return list(found)
