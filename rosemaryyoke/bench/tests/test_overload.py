"""Bounds under twice the capacity, in modelled time."""

from functools import lru_cache

import pytest

from rosemaryyoke.bench.overload import overload_measures
from rosemaryyoke.bench.workloads import WORKLOADS
from rosemaryyoke.limits.fairness import FairShareTracker

NAMES = sorted(WORKLOADS)


@lru_cache(maxsize=None)
def measures(name):
    return overload_measures(name)


@pytest.mark.parametrize("name", NAMES)
def test_overload_keeps_goodput(name):
    assert measures(name)[0].met, measures(name)[0]


@pytest.mark.parametrize("name", NAMES)
def test_overload_keeps_small_accounts_tail(name):
    assert measures(name)[1].met, measures(name)[1]


@pytest.mark.parametrize("name", NAMES)
def test_overload_refuses_no_small_account(name):
    assert measures(name)[2].met, measures(name)[2]


def test_shares_large_account_stays_large_while_refused():
    shares = FairShareTracker()
    for second in range(60):
        shares.record_demand("large", 5.0, float(second))
        shares.record_demand("small", 0.1, float(second))
        shares.record_admission(1.0, float(second))
    assert not shares.is_small("large", 60.0)
    assert shares.is_small("small", 60.0)


def test_shares_forget_idle_accounts():
    shares = FairShareTracker()
    for number in range(5_000):
        shares.record_demand(f"account{number}", 0.01, number * 1.0)
    assert len(shares.demands) < 1_200
