"""A short soak with a fixed seed, and with each seed that exposed a fault."""

import pytest

from rosemaryyoke.soak import run_soak

SECONDS = 6.0
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_of_a_seed(seed):
    report = run_soak(seed, SECONDS)
    assert not report.broken, report
    assert report.requests > 0 and report.faults
