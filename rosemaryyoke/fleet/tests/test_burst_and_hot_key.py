"""Bursts of requests, and a session that receives a large share of the traffic."""

import pytest

from rosemaryyoke.fleet.tests.engine_model import Burst, Simulation
from rosemaryyoke.fleet.tests.test_lost_engines import (
    ENGINES_BY_SITE,
    LOAD_BY_SITE,
    make_kinds,
)

SECONDS = 30


def simulate(site, seed=1, **options):
    kinds = make_kinds(site, bounded=True)
    return Simulation(ENGINES_BY_SITE[site], kinds, seed, **options).run(SECONDS)


@pytest.mark.parametrize("site", LOAD_BY_SITE)
@pytest.mark.parametrize("seed", [1, 2])
def test_burst_that_the_fleet_bears_is_served_in_time(site, seed):
    outcomes = simulate(site, seed, burst=Burst(10.0, 15.0, 1.7))
    assert all(outcome.on_time_share >= 0.98 for outcome in outcomes.values())


@pytest.mark.parametrize("site", LOAD_BY_SITE)
def test_burst_beyond_the_fleet_costs_the_less_urgent_first(site):
    outcomes = simulate(site, burst=Burst(5.0, 20.0, 8.0))
    assert outcomes["short"].on_time_share >= 0.9
    assert outcomes["short"].on_time_share >= outcomes["long"].on_time_share


@pytest.mark.parametrize("site", LOAD_BY_SITE)
@pytest.mark.parametrize("hot_share", [0.3, 0.6])
def test_hot_key_is_served_in_time(site, hot_share):
    outcomes = simulate(site, hot_share=hot_share)
    assert all(outcome.on_time_share >= 0.98 for outcome in outcomes.values())
