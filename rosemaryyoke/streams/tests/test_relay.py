import pytest
from hypothesis import given, settings, strategies as st

from rosemaryyoke.calls.retry import MAX_RETRY_BALANCE, RETRY_SHARE
from rosemaryyoke.rules.model import RuleSet, Upstream
from rosemaryyoke.streams import StreamIdentifier, StreamPosition
from rosemaryyoke.streams.tests.builders import (
    NO_RULES,
    TOKENS,
    RecordingSink,
    expected_tokens,
    make_completion,
    make_relay,
)
from rosemaryyoke.upstreams import KvImport

EXAMPLES = 1_000
STEPS = ["token", "crossed", "double", "skip", "cut", "silent", "refuse"]
SCRIPT = st.lists(st.sampled_from(STEPS), max_size=10)


def run_relay(scripts, **options):
    sink = RecordingSink()
    make_relay(scripts, **options).run(NO_RULES, make_completion(), sink)
    return sink


def is_complete(sink):
    return sink.count == TOKENS and sink.texts == [
        word + " " for word in expected_tokens()
    ]


def test_relay_delivers_all_tokens():
    assert is_complete(run_relay([[]]))


def test_relay_drops_events_of_other_requests():
    assert is_complete(run_relay([["token", "crossed", "token"]]))


def test_relay_drops_duplicate_tokens():
    assert is_complete(run_relay([["token", "double", "double", "token"]]))


def test_relay_resumes_after_disconnect():
    assert is_complete(run_relay([["token", "token", "cut"], ["token"]]))


def test_relay_continues_on_another_engine():
    cuts = [["token", "cut"]] * 3
    assert is_complete(run_relay([*cuts, ["token", "cut"], []]))


def test_relay_retries_stream_without_finished_event():
    assert is_complete(run_relay([["token", "silent"], []]))


def test_relay_retries_after_missing_token():
    assert is_complete(run_relay([["token", "skip", "token"], []]))


def test_relay_reports_error_when_all_engines_refuse():
    sink = run_relay([["refuse"]] * 9)
    assert sink.failure.code == "engines_failed"
    assert sink.failure.not_run


def test_relay_failure_after_send_is_not_marked_not_run():
    sink = run_relay([["token", "cut"]] * 9)
    assert not sink.failure.not_run


def test_relay_resume_on_another_engine_skips_received_tokens():
    sink = RecordingSink(first=3)
    position = StreamPosition(StreamIdentifier("gone", "i", "r", "v1"), 3)
    make_relay([[]]).resume(NO_RULES, make_completion(), position, sink)
    assert sink.texts == [word + " " for word in expected_tokens()][3:]


def test_relay_resume_of_sampled_stream_fails_explicitly():
    sink = RecordingSink(first=3)
    position = StreamPosition(StreamIdentifier("gone", "i", "r", "v1"), 3)
    completion = make_completion(repeatable=False)
    make_relay([[]]).resume(NO_RULES, completion, position, sink)
    assert sink.failure.code == "stream_lost"
    assert sink.texts == []


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(st.lists(SCRIPT, max_size=8))
def test_relay_completes_or_reports_error(scripts):
    sink = run_relay(scripts)
    expected = [word + " " for word in expected_tokens()]
    assert expected[: len(sink.texts)] == sink.texts
    assert is_complete(sink) != (sink.failure is not None)


def test_relay_retries_stay_within_their_budget():
    requests = 1_000
    scripts = [["refuse"] if number % 3 == 0 else [] for number in range(3 * requests)]
    relay = make_relay(scripts)
    for _ in range(requests):
        relay.run(NO_RULES, make_completion(), RecordingSink())
    calls = relay.directory.engine_adapter.calls
    assert calls <= requests * (1 + RETRY_SHARE) + MAX_RETRY_BALANCE
    assert calls > requests


def run_with_other_weights(*scripts):
    relay = make_relay(list(scripts), engines=("a", "b"))
    relay.placement.weights = {"b": "v2"}
    sink = RecordingSink()
    relay.run(NO_RULES, make_completion(), sink)
    return sink


def test_relay_continues_under_same_weights_only():
    sink = run_with_other_weights(["token", "cut"], ["cut"], ["cut"])
    assert sink.failure.code == "engines_failed"
    assert len(sink.texts) == 1


def test_relay_accepts_other_weights_before_first_token():
    assert is_complete(run_with_other_weights(["refuse"], []))


def test_relay_resume_under_other_weights_fails_explicitly():
    sink = RecordingSink(first=3)
    position = StreamPosition(StreamIdentifier("gone", "i", "r", "v0"), 3)
    make_relay([[]]).resume(NO_RULES, make_completion(), position, sink)
    assert sink.failure is not None
    assert sink.texts == []


# Guards against a request that was admitted under one version and runs under another,
# on blocks of the first one: its answer, and a belief that the engine now has them.
def test_relay_takes_no_answer_under_other_weights_than_expected():
    sink = RecordingSink()
    relay = make_relay([["other weights"], []])
    relay.run(NO_RULES, make_completion(), sink)
    assert is_complete(sink)
    assert relay.directory.engine_adapter.calls == 2
    assert relay.placement.started == ["b"]


# Guards against a stream that its engine goes on with under other weights, which the
# caller then takes for those of the whole stream.
@pytest.mark.parametrize("repeatable", [True, False])
def test_relay_resume_at_an_engine_whose_weights_changed(repeatable):
    sink = RecordingSink(first=3)
    position = StreamPosition(StreamIdentifier("a", "i", "r", "v1"), 3)
    relay = make_relay([["other weights", "token", "cut"], []])
    rules = RuleSet((Upstream("a", "engine", "a", "d", "m"),))
    relay.resume(rules, make_completion(repeatable), position, sink)
    if repeatable:
        assert sink.texts == [word + " " for word in expected_tokens()][3:]
        assert relay.placement.required == ["v1"]
    else:
        assert sink.failure.code == "stream_lost"
        assert sink.texts == []


# Guards against a stream that was cut and that its engine resumes under other weights.
def test_relay_resumes_after_disconnect_under_same_weights_only():
    relay = make_relay([["token", "cut"], ["other weights"], []])
    sink = RecordingSink()
    relay.run(NO_RULES, make_completion(), sink)
    assert is_complete(sink)
    assert relay.placement.required == ["", "v1"]


def run_with_imports(store):
    relay = make_relay([[]])
    relay.placement.weights = {"a": "v7"}
    relay.placement.queries_kv_store = True
    relay.directory.store = store
    relay.run(NO_RULES, make_completion(), RecordingSink())
    return relay.directory.engine_adapter.requests[0]


# Guards against an import under other weights than those that the request expects.
def test_relay_imports_blocks_of_the_expected_weights():
    request = run_with_imports("store:1")
    assert request.weights == "v7"
    assert request.kv_import == KvImport("account", "m", "v7", "store:1")


# Guards against an import from no store, as the store was lost after the placement.
def test_relay_imports_nothing_without_a_store():
    assert run_with_imports("").kv_import is None
