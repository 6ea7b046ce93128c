"""Choice of the upstream for a request."""

from collections import Counter
from random import Random

from attrs import evolve
from result import Err

from rosemaryyoke.fleet import ActiveRequest, Chooser
from rosemaryyoke.fleet.cache_estimate import hash_parts
from rosemaryyoke.fleet.state import INITIAL_BACKOFF_S, PROBE_SHARE, RemoteLoad
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


def make_overloaded_and_silent(failed_s):
    """Return an engine with a long queue, and one that fell silent at a time."""
    overloaded, silent = make_states(2)
    load(overloaded, 48, prefill=9_190)
    silent.record_failure(failed_s)
    return overloaded, silent


def make_chooser():
    """Return a chooser whose first draw does not let a request probe by chance."""
    chooser = Chooser(generator=Random(1))
    assert Random(1).random() >= PROBE_SHARE
    return chooser


def test_request_about_to_be_rejected_probes_silent_engine():
    """Pattern: a lost engine is back, and the others are still full of its load."""
    states = make_overloaded_and_silent(NOW_S - INITIAL_BACKOFF_S - 0.1)
    request = make_request(time_left_s=1.0)
    assert choose(states, request, chooser=make_chooser()) == "e1"


def test_silent_engine_is_not_probed_before_its_backoff_or_twice_at_once():
    request = make_request(time_left_s=1.0)
    recent = make_overloaded_and_silent(NOW_S)
    assert isinstance(make_chooser().choose(request, recent, set(), NOW_S), Err)
    probed = make_overloaded_and_silent(NOW_S - INITIAL_BACKOFF_S - 0.1)
    load(probed[1], 1)
    assert isinstance(make_chooser().choose(request, probed, set(), NOW_S), Err)


def test_rejected_requests_of_a_large_fleet_rarely_probe():
    """Pattern: an overloaded fleet with dead engines; a probe costs a caller time."""
    request = evolve(make_request(time_left_s=1.0), probe_share=PROBE_SHARE / 20)
    chooser = Chooser(generator=Random(2))
    chosen = [
        chooser.choose(
            request,
            make_overloaded_and_silent(NOW_S - INITIAL_BACKOFF_S - 0.1),
            set(),
            NOW_S,
        )
        for _ in range(400)
    ]
    assert sum(not isinstance(item, Err) for item in chosen) <= 400 / 10


def test_rejection_names_the_queues_compared():
    states = make_states(2)
    for state in states:
        load(state, 48, prefill=9_190)
    states[0].remote["h2"] = RemoteLoad(3.0, 0.0, 0.0, NOW_S - 0.4)
    refused = Chooser().choose(make_request(time_left_s=1.0), states, set(), NOW_S)
    compared = {item.upstream: item for item in refused.err_value.compared}
    assert compared["e0"].running == 51 and 0.39 < compared["e0"].age_s < 0.41
    assert compared["e1"].age_s is None and compared["e1"].wait_s > 1.0


# Guards against a request that expects another version than its salt was made for.
def test_placement_names_the_version_of_its_salt():
    state = make_state(weights=3)
    placement = Chooser().choose(make_request(), [state], set(), NOW_S).unwrap()
    state.update_weights("m1", 4, NOW_S)
    assert (placement.weights, placement.salt) == (3, b"s:3")
