"""Load, health and cache estimate of an upstream, and the retry budget."""

import pytest
from hypothesis import given, settings, strategies as st

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.fleet import (
    ActiveRequest,
    Fleet,
    PromptPrefill,
    RetryBudget,
    UpstreamLoad,
)
from rosemaryyoke.fleet.cache_estimate import CacheEstimate, HashedPart, hash_parts
from rosemaryyoke.fleet.tests.builders import NOW_S, make_ask, make_state

PARTS = hash_parts(b"s:1", make_ask().parts)


def test_state_suspicion_grows_and_ends_with_success():
    state = make_state()
    lengths = []
    for _ in range(6):
        state.record_failure(NOW_S)
        lengths.append(state.suspect_until_s - NOW_S)
    assert lengths == sorted(lengths) and lengths[-1] <= 4.0
    state.record_answer(True, NOW_S)
    assert state.failures == 0


def test_state_new_weights_clear_the_cache_estimate():
    state = make_state()
    state.cache_estimate.add(PARTS)
    state.update_weights("m1", 2, NOW_S)
    assert state.cache_estimate.tokens == 0 and state.weights == {"m1": 2}


def test_state_load_of_a_silent_host_is_forgotten():
    fleet = Fleet(Catalog())
    state = fleet.states["e1"] = make_state()
    fleet.update_remote_loads("other", [UpstreamLoad("e1", 3, 100, 200)])
    received_s = state.remote["other"].received_s
    assert state.running(received_s) == 3 and state.waiting_prefill(received_s) == 100
    assert state.running(received_s + 2.0) == 0
    fleet.update_remote_loads("other", [])
    assert state.running(received_s) == 0


def test_state_own_loads_are_reported():
    clock = [NOW_S]
    fleet = Fleet(Catalog(), now_s=lambda: clock[0])
    state = fleet.states["e1"] = make_state()
    active = fleet.begin(state, 1_000, 600)
    clock[0] += 30.0
    (load,) = fleet.own_loads()
    assert load.running == pytest.approx(1.0)
    assert (load.prefill_tokens, load.tokens) == (600, 1_000)
    fleet.prefilled(fleet.states["e1"], active, PromptPrefill("e1", PARTS, saved=True))
    assert state.cache_estimate.cached_prefix_tokens(PARTS) == 9_190
    assert [read.parts for read in fleet.next_unsent_prefills()] == [PARTS]
    assert fleet.next_unsent_prefills() == ()
    fleet.end(state, active)
    clock[0] += 3.0
    assert fleet.own_loads() == []


def test_state_reported_load_is_a_mean_over_time():
    clock = [NOW_S]
    fleet = Fleet(Catalog(), now_s=lambda: clock[0])
    state = fleet.states["e1"] = make_state()
    for _ in range(50):
        active = fleet.begin(state, 1_000, 600)
        clock[0] += 0.1
        fleet.end(state, active)
        clock[0] += 0.3
    (load,) = fleet.own_loads()
    assert not state.under_way
    assert 0.15 < load.running < 0.35


def test_cache_estimate_counts_prefixes_only():
    cache_estimate = CacheEstimate(10_000)
    cache_estimate.add(PARTS[1:])
    assert cache_estimate.cached_prefix_tokens(PARTS) == 0
    cache_estimate.add(PARTS)
    assert cache_estimate.cached_prefix_tokens(PARTS) == 9_190
    assert (
        cache_estimate.cached_prefix_tokens(hash_parts(b"s:2", make_ask().parts)) == 0
    )


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.lists(st.integers(0, 9), min_size=1, max_size=4), max_size=40))
def test_cache_estimate_stays_within_its_capacity(prompts):
    cache_estimate = CacheEstimate(1_000)
    for prompt in prompts:
        cache_estimate.add([HashedPart(name, 150) for name in prompt])
        assert cache_estimate.tokens <= 1_000
        assert cache_estimate.tokens == sum(cache_estimate.cached.values())


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.floats(0.0, 2.0)), max_size=200))
def test_budget_of_all_hosts_in_every_window(steps):
    """Two hosts that do not communicate stay within the budget of both."""
    hosts = [RetryBudget(0.2, 20.0, 10.0, hosts=2) for _ in range(2)]
    requests, retries, now_s = [], [], 0.0
    for number, (repeat, pause_s) in enumerate(steps):
        now_s += pause_s
        host = hosts[number % 2]
        if not repeat:
            host.record_request("llm", now_s)
            requests.append(now_s)
        elif host.try_retry("llm", now_s):
            retries.append(now_s)
            since_s = now_s - 10.0
            spent = sum(at_s > since_s for at_s in retries)
            earned = sum(at_s > since_s for at_s in requests)
            assert spent <= 0.2 * earned + 20.0


def test_active_requests_compare_by_identity():
    assert len({ActiveRequest(1, 1, 1.0), ActiveRequest(1, 1, 1.0)}) == 2
