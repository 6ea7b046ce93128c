"""Guards against herding: hosts with equally stale views choose the same engine.

While engines load new weights in turn, the first one to finish looks idle to all hosts.
Each host compares a few random engines, so that only some of them choose that one.
"""

from random import Random

import pytest

from rosemaryyoke.fleet import Placement, placement
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.fleet.tests.engine_model import RequestKind
from rosemaryyoke.fleet.tests.hosts_model import HostsSimulation

SECONDS = 25
LOADS_FROM_S = 5.0
ENGINES = 14
ON_TIME_TARGET = 0.97
LONG_S, SHORT_S = 0.535, 0.415
KINDS = (
    RequestKind("long", 58.0, 2_520, 3_780, 2_890, LONG_S, 0.25, 0.1),
    RequestKind("short", 28.0, 119, 79, 628, SHORT_S, 0.33, 0.4),
)


def make_placement(name, hit=0, loading=False):
    return Placement(make_state(name), b"", (), hit, 0.0, 0.0, 0.0, loading)


def simulate(seed, loads_from_s):
    simulation = HostsSimulation(ENGINES, list(KINDS), seed, loads_from_s=loads_from_s)
    return simulation.run(SECONDS)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_load_herding_is_avoided_during_rolling_loads(seed):
    outcomes = simulate(seed, LOADS_FROM_S)
    assert all(outcome.on_time_share >= ON_TIME_TARGET for outcome in outcomes.values())


def test_simulation_repeats_for_a_seed():
    assert simulate(3, LOADS_FROM_S) == simulate(3, LOADS_FROM_S)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sampling_costs_nothing_without_loads(seed):
    outcomes = simulate(seed, None)
    assert all(outcome.on_time_share >= 0.99 for outcome in outcomes.values())


def test_sample_keeps_the_home_and_two_holders():
    made = [make_placement(f"e{n}", hit=9_000 if n < 6 else 0) for n in range(40)]
    drawn = placement.sample_candidates(made, "e39", 9_000, Random(1))
    names = [item.state.upstream.name for item in drawn]
    holders = [item for item in drawn if item.hit_tokens]
    assert "e39" in names and len(holders) >= placement.HOLDER_SAMPLE_SIZE
    assert len(drawn) <= 1 + placement.HOLDER_SAMPLE_SIZE + placement.RANDOM_SAMPLE_SIZE


def test_sample_of_a_small_fleet_is_all_of_it():
    made = [make_placement(f"e{n}") for n in range(placement.MAX_COMPARED)]
    assert placement.sample_candidates(made, "e0", 9_000, Random(1)) == made


def test_sample_leaves_out_engines_that_load():
    made = [make_placement(f"e{n}", loading=n != 7) for n in range(40)]
    (drawn,) = placement.sample_candidates(made, "", 9_000, Random(1))
    assert drawn.state.upstream.name == "e7"


def test_sample_takes_no_holder_of_a_part_that_most_prompts_begin_with():
    made = [make_placement(f"e{n}", hit=2_520 if n < 2 else 0) for n in range(60)]
    generator = Random(1)
    drawn = [
        placement.sample_candidates(made, "", 9_000, generator) for _ in range(200)
    ]
    shares = [sum(made[n] in each for each in drawn) / len(drawn) for n in (0, 1)]
    assert max(shares) < 0.2
