from hypothesis import given, settings, strategies as st

from rosemaryyoke.calls.retry import MAX_RETRY_BALANCE, RETRY_SHARE
from rosemaryyoke.streams import StreamIdentifier, StreamPosition
from rosemaryyoke.streams.tests.builders import (
    NO_RULES,
    TOKENS,
    ListSink,
    make_completion,
    make_relay,
    words,
)

EXAMPLES = 1_000
STEPS = ["token", "crossed", "double", "skip", "cut", "silent", "refuse"]
SCRIPT = st.lists(st.sampled_from(STEPS), max_size=10)


def run(scripts, **options):
    sink = ListSink()
    make_relay(scripts, **options).run(NO_RULES, make_completion(), sink)
    return sink


def whole(sink):
    return sink.count == TOKENS and sink.texts == [word + " " for word in words()]


def test_relay_whole():
    assert whole(run([[]]))


def test_relay_drops_crossed():
    assert whole(run([["token", "crossed", "token"]]))


def test_relay_drops_doubled():
    assert whole(run([["token", "double", "double", "token"]]))


def test_relay_resumes_after_cut():
    assert whole(run([["token", "token", "cut"], ["token"]]))


def test_relay_goes_on_elsewhere():
    cuts = [["token", "cut"]] * 3
    assert whole(run([*cuts, ["token", "cut"], []]))


def test_relay_silent_end_is_no_end():
    assert whole(run([["token", "silent"], []]))


def test_relay_gap_is_asked_again():
    assert whole(run([["token", "skip", "token"], []]))


def test_relay_explicit_error_where_engines_end():
    sink = run([["refuse"]] * 9)
    assert sink.failure.code == "engines_failed"
    assert sink.failure.not_run


def test_relay_sent_is_not_called_not_run():
    sink = run([["token", "cut"]] * 9)
    assert not sink.failure.not_run


def test_relay_resume_elsewhere_skips_what_caller_has():
    sink = ListSink(first=3)
    position = StreamPosition(StreamIdentifier("gone", "i", "r", "v1"), 3)
    make_relay([[]]).resume(NO_RULES, make_completion(), position, sink)
    assert sink.texts == [word + " " for word in words()][3:]


def test_relay_resume_of_sampled_stream_fails_explicitly():
    sink = ListSink(first=3)
    position = StreamPosition(StreamIdentifier("gone", "i", "r", "v1"), 3)
    completion = make_completion(repeatable=False)
    make_relay([[]]).resume(NO_RULES, completion, position, sink)
    assert sink.failure.code == "stream_lost"
    assert sink.texts == []


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(st.lists(SCRIPT, max_size=8))
def test_relay_whole_or_explicit_error(scripts):
    sink = run(scripts)
    expected = [word + " " for word in words()]
    assert expected[: len(sink.texts)] == sink.texts
    assert whole(sink) != (sink.failure is not None)


def test_relay_retries_stay_within_their_budget():
    requests = 1_000
    scripts = [["refuse"] if number % 3 == 0 else [] for number in range(3 * requests)]
    relay = make_relay(scripts)
    for _ in range(requests):
        relay.run(NO_RULES, make_completion(), ListSink())
    calls = relay.directory.engine_adapter.calls
    assert calls <= requests * (1 + RETRY_SHARE) + MAX_RETRY_BALANCE
    assert calls > requests


def run_with_other_weights(*scripts):
    relay = make_relay(list(scripts), engines=("a", "b"))
    relay.placement.weights = {"b": "v2"}
    sink = ListSink()
    relay.run(NO_RULES, make_completion(), sink)
    return sink


def test_relay_goes_on_under_the_same_weights_only():
    sink = run_with_other_weights(["token", "cut"], ["cut"], ["cut"])
    assert sink.failure.code == "engines_failed"
    assert len(sink.texts) == 1


def test_relay_not_begun_takes_other_weights():
    assert whole(run_with_other_weights(["refuse"], []))


def test_relay_resume_under_other_weights_fails_explicitly():
    sink = ListSink(first=3)
    position = StreamPosition(StreamIdentifier("gone", "i", "r", "v0"), 3)
    make_relay([[]]).resume(NO_RULES, make_completion(), position, sink)
    assert sink.failure is not None
    assert sink.texts == []
