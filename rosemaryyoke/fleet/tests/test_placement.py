"""Choice of the upstream for a request."""

from collections import Counter

from result import Err

from rosemaryyoke.fleet import ActiveRequest, Chooser
from rosemaryyoke.fleet.cache_estimate import hash_parts
from rosemaryyoke.fleet.tests.builders import (
    NOW_S,
    make_ask,
    make_request,
    make_state,
    make_states,
)


def choose(states, request=None, excluded=(), chooser=None):
    chosen = (chooser or Chooser()).choose(
        request or make_request(), states, set(excluded), NOW_S
    )
    return chosen.unwrap().state.upstream.name


def load(state, count, prefill=0, tokens=1_000):
    state.under_way.update(ActiveRequest(tokens, prefill, NOW_S) for _ in range(count))


def test_placement_equal_on_hosts_that_know_nothing_of_each_other():
    for session in ("s1", "s2", "s3"):
        request = make_request(make_ask(session))
        assert len({choose(make_states(9), request) for _ in range(5)}) == 1


def test_placement_spreads_sessions():
    homes = Counter(
        choose(make_states(9), make_request(make_ask(f"s{n}"))) for n in range(900)
    )
    assert len(homes) == 9 and max(homes.values()) < 150


def test_placement_leaves_a_loaded_home():
    states = make_states(3)
    home = choose(states)
    (loaded,) = [state for state in states if state.upstream.name == home]
    load(loaded, 20, prefill=9_190)
    assert choose(states) != home


def test_placement_stays_with_a_cached_prefix():
    states = make_states(3)
    home = choose(states)
    other, _ = [state for state in states if state.upstream.name != home]
    other.cache_estimate.add(hash_parts(b"s:1", make_ask().parts))
    for state in states:
        if state is not other:
            load(state, 4, prefill=4_000)
    assert choose(states) == other.upstream.name


def test_placement_excludes_tried_draining_and_suspect():
    states = [make_state("e1"), make_state("e2", draining=True), make_state("e3")]
    states[2].record_failure(NOW_S)
    assert choose(states) == "e1"
    assert choose(states, excluded=["e1"]) == "e3", "a suspect is the last resort"
    assert isinstance(
        Chooser().choose(make_request(), states, {"e1", "e3"}, NOW_S), Err
    )


def test_placement_prefers_new_weights_and_avoids_loading():
    old, new = make_state("e1", weights=1), make_state("e2", weights=2)
    assert choose([old, new], make_request(wanted=2)) == "e2"
    new.loading_until_s = NOW_S + 1
    assert choose([old, new], make_request(wanted=2)) == "e1"


def test_placement_avoids_failing_answers():
    states = make_states(2)
    for _ in range(20):
        states[0].record_answer(False, NOW_S)
    plain = make_request(make_ask(sizes=(0, 0, 0)))
    assert choose(states, plain) == "e1"


def test_placement_refuses_what_cannot_be_served_in_time():
    states = make_states(2)
    for state in states:
        load(state, 48, prefill=9_190)
    refused = Chooser().choose(make_request(time_left_s=1.0), states, set(), NOW_S)
    assert isinstance(refused, Err) and refused.err_value.retry_after_s > 0


def test_placement_never_refuses_while_an_engine_is_free():
    for time_left_s in (5.0, 1.0, 0.2, 0.05):
        assert choose(make_states(2), make_request(time_left_s=time_left_s))
