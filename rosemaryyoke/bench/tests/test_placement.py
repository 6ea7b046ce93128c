"""Bounds of placement on the pinned workloads, in modelled time."""

import pytest

from rosemaryyoke.bench.placement import (
    OURS,
    engine_hit_measures,
    plain,
    reuse_measures,
    run_case,
    tail_measures,
)
from rosemaryyoke.bench.workloads import WORKLOADS, make_requests

REQUESTS = 6_000
OVERLOAD = 2.5


def check(measures):
    assert [str(measure) for measure in measures if not measure.met] == []


def test_tail_on_tonos_with_faults():
    check(tail_measures())


@pytest.mark.parametrize("workload", sorted(WORKLOADS))
def test_reuse_against_offline_bound(workload):
    check(reuse_measures(workload, REQUESTS))


@pytest.mark.parametrize("workload", sorted(WORKLOADS))
def test_hit_rate_of_engine_caches_against_offline_bound(workload):
    check(engine_hit_measures(workload, REQUESTS))


@pytest.mark.parametrize("workload", sorted(WORKLOADS))
def test_overload_keeps_prefixes_together(workload):
    calm = run_case(plain(workload, OURS, load=0.7), REQUESTS)
    hard = run_case(plain(workload, OURS, load=OVERLOAD), REQUESTS)
    assert hard.hit_rate > 0.9 * calm.hit_rate


def test_workload_same_for_same_seed():
    workload = WORKLOADS["tonos"]
    assert make_requests(workload, 50, 1.0, 3) == make_requests(workload, 50, 1.0, 3)


def test_workload_rate_fills_engines_at_load_one():
    workload = WORKLOADS["cedarline"]
    prefill_s = workload.rate(1.0) * workload.prompt_blocks * 0.004
    assert prefill_s == pytest.approx(workload.engines)
