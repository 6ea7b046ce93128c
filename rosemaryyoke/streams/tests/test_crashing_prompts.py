"""Prompts whose text crashes each engine that begins to answer them."""

import time

from result import Ok

from rosemaryyoke.quarantine import prefix_keys
from rosemaryyoke.quarantine.prefixes import FIRST_PREFIX_BYTES
from rosemaryyoke.quarantine.tests.builders import review_for
from rosemaryyoke.streams import CompletionRequest
from rosemaryyoke.streams.relay import MAX_RESUMES
from rosemaryyoke.streams.tests.builders import (
    NO_RULES,
    RecordingSink,
    make_completion,
    make_relay,
)
from rosemaryyoke.testing.builders import System, long_prompt

ENGINES = 5
CRASH_TEXT = "clause bad"
STABLE_S = 3.0
REQUESTS = 20
MAX_REQUESTS = 3


def make_prompt(second, number):
    """Return a prompt with a shared first part, a second part and an end of its own."""
    return long_prompt("common", second, f"tail {number} " * 20)


def run(relay, prompt):
    """Run a completion and return its sink."""
    sink = RecordingSink()
    route = make_completion().route
    completion = CompletionRequest("account", route, prompt, 8, True)
    relay.run(NO_RULES, completion, sink)
    return sink


def test_prefixes_are_shared_up_to_the_first_difference():
    first, second = (prefix_keys(make_prompt("bad", number)) for number in (1, 2))
    sound = prefix_keys(make_prompt("sound", 1))
    shared = [key for key in first if key in second]
    assert shared == list(first[: len(shared)]) and len(shared) < len(first)
    common = [key for key in shared if key in sound]
    assert 0 < len(common) < len(shared)
    assert prefix_keys("x" * FIRST_PREFIX_BYTES) == ()


# Guards against /v1 requests that crash engines after their prefix has crashed several.
def test_prefix_that_crashed_engines_reaches_no_more():
    relay = make_relay([["crash"]] * 1_000)
    for number in range(ENGINES):
        run(relay, make_prompt("bad", number))
    assert relay.quarantine.find_ban(prefix_keys(make_prompt("bad", 0))) is None
    review_for(relay.quarantine, STABLE_S)
    calls = relay.directory.engine_adapter.calls
    for number in range(REQUESTS):
        sink = run(relay, make_prompt("bad", ENGINES + number))
        assert sink.failure.code == "quarantined" and sink.failure.not_run
    assert relay.directory.engine_adapter.calls == calls


# Guards against a /v1 request that crashes engines though its prompt has no prefix.
def test_request_that_crashed_engines_reaches_no_more():
    relay = make_relay([["crash"]] * 1_000)
    for _ in range(2):
        run(relay, "short prompt")
    review_for(relay.quarantine, STABLE_S)
    calls = relay.directory.engine_adapter.calls
    for _ in range(REQUESTS):
        sink = run(relay, "short prompt")
        assert sink.failure.code == "quarantined" and sink.failure.not_run
    assert relay.directory.engine_adapter.calls == calls
    run(relay, "another prompt")
    assert relay.directory.engine_adapter.calls > calls


def test_engine_that_resumes_its_stream_has_not_crashed():
    relay = make_relay([["token", "crash"], []] * REQUESTS)
    for number in range(REQUESTS):
        run(relay, make_prompt("sound", number))
    relay.quarantine.review()
    assert not relay.quarantine.evidence.crashes


# Guards against bans of sound prefixes by an engine that cuts its connections.
def test_engine_that_went_on_with_its_stream_has_not_crashed():
    cut = [["token", "crash"]] * (1 + MAX_RESUMES)
    relay = make_relay([*cut, []] * REQUESTS)
    for number in range(REQUESTS):
        run(relay, make_prompt("sound", number))
    relay.quarantine.review()
    assert not relay.quarantine.evidence.crashes


def test_suspected_prefix_is_not_repeated():
    relay = make_relay([["crash"]] * 1_000)
    run(relay, make_prompt("bad", 0))
    calls = relay.directory.engine_adapter.calls
    sink = run(relay, make_prompt("bad", 1))
    # The second call asks the engine for the rest of its stream.
    assert relay.directory.engine_adapter.calls - calls <= 3
    assert sink.failure.code == "engines_failed" and not sink.failure.not_run


def count_admitted(system):
    """Return how many requests the engines admitted."""
    return sum(
        len(system.ask(name, "/control/admitted")["admitted_at"])
        for name in system.processes
        if name.startswith("engine")
    )


# Guards against crashes that only one of the hosts learns of.
def test_hosts_tell_each_other_of_prefixes_that_crash_engines():
    with System(engines=ENGINES, services=0, hosts=2) as system:
        for number in range(ENGINES):
            fault = {"crash_text": CRASH_TEXT}
            system.control(f"engine{number}", "fault", fault)
        sound = system.client(host="host0")
        for number in range(ENGINES):
            system.client(host="host0").chat("m", make_prompt("bad", number), 4)
            answer = sound.chat("m", make_prompt("sound", number), 4)
            assert isinstance(answer, Ok), answer
        time.sleep(STABLE_S)
        before = count_admitted(system)
        for number in range(ENGINES, REQUESTS):
            client = system.client(host=f"host{number % 2}")
            client.chat("m", make_prompt("bad", number), 4)
        assert count_admitted(system) - before <= MAX_REQUESTS
        answer = system.client(host="host1").chat("m", make_prompt("sound", 99), 4)
        assert isinstance(answer, Ok), answer
