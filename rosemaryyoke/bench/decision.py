"""Time of one placement decision at the planned size."""

import random
import time

from rosemaryyoke.bench.measure import Measure, bench
from rosemaryyoke.bench.simulate import percentile
from rosemaryyoke.placement import EngineView, Fleet, PlacementRequest, policies

ENGINES = 600
PROMPT_BLOCKS = 4_000
SHARED_BLOCKS = 3_900
PREFIXES = 40
WARM_REQUESTS = 400
DECISIONS = 2_000
BOUND_US = 100.0
MICROSECONDS = 1_000_000


def make_prompt(prefixes: list[list[bytes]], generator: random.Random) -> list[bytes]:
    """Return a long prompt of a shared prefix and a tail of its own."""
    tail_length = PROMPT_BLOCKS - SHARED_BLOCKS
    tail = [generator.randbytes(16) for _ in range(tail_length)]
    return generator.choice(prefixes) + tail


def time_decisions(engines: int = ENGINES, decisions: int = DECISIONS) -> list[float]:
    """Return the seconds of each decision, in order of size."""
    generator = random.Random(1)
    names = tuple(f"engine{number}" for number in range(engines))
    views = {name: EngineView(name, "1", cache_blocks=200_000) for name in names}
    fleet = Fleet(views)
    policy = policies.get("predicted-ttft")()
    prefixes = [
        [generator.randbytes(16) for _ in range(SHARED_BLOCKS)] for _ in range(PREFIXES)
    ]
    times = []
    allowed = frozenset(names)
    for number in range(WARM_REQUESTS + decisions):
        chain = make_prompt(prefixes, generator)
        request = PlacementRequest(chain, allowed, names)
        began_s = time.perf_counter()
        choice = policy.choose(request, fleet, float(number))
        passed_s = time.perf_counter() - began_s
        fleet.record_dispatch(choice, chain, float(number))
        if number >= WARM_REQUESTS:
            times.append(passed_s)
    return sorted(times)


@bench.register("decision")
def bench_decision() -> list[Measure]:
    """Return the time of a decision beside its bound."""
    times = time_decisions()
    return [
        Measure(
            "decision, median", percentile(times, 0.5) * MICROSECONDS, BOUND_US, "us"
        ),
        Measure(
            "decision, p99", percentile(times, 0.99) * MICROSECONDS, BOUND_US, "us"
        ),
    ]
