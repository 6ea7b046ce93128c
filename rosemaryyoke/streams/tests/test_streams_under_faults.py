"""Streams stay complete while engines and hosts are killed, paused or cut off."""

import random
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from result import Ok

from rosemaryyoke.standins import expected_text
from rosemaryyoke.testing.builders import System, long_prompt
from rosemaryyoke.testing.chaos import Chaos

SEED = 11
STREAMS = 2_000
WORKERS = 32
FAULTS = ["kill-engine", "kill-host", "cut-streams", "pause-engine", "pause-host"]
FAST_ENGINE = ("--token-ms", "5", "--prefill-ms", "0.2")


def run_stream(system, number):
    """Run a stream, check its text, and return its outcome or error code."""
    generator = random.Random(SEED * STREAMS + number)
    prompt = long_prompt(f"std-{number % 5}", f"clause-{number % 20}", f"tail {number}")
    tokens = generator.randint(5, 60)
    temperature = generator.choice([0.0, 0.0, 0.0, 1.0])
    seen = []
    client = system.client(generator.choice(["cedar", "tonos"]))
    outcome = client.chat("m", prompt, tokens, seen.append, temperature)
    expected = expected_text(f"user: {prompt}\n", tokens)
    text = "".join(seen)
    assert expected.startswith(text), (number, text, expected)
    if isinstance(outcome, Ok):
        assert outcome.ok_value.text == text == expected
        return "resumed" if outcome.ok_value.resumes else "complete"
    failure = outcome.err_value
    assert failure.code, failure
    assert not (failure.not_run and text)
    return failure.code


def test_streams_complete_and_in_order_under_faults():
    with System(engines=3, services=0, hosts=3, engine_options=FAST_ENGINE) as system:
        with Chaos(system, FAULTS, SEED) as chaos:
            with ThreadPoolExecutor(WORKERS) as pool:
                streams = [pool.submit(run_stream, system, n) for n in range(STREAMS)]
                outcomes = Counter(stream.result() for stream in streams)
        print(f"faults {Counter(chaos.caused)}, outcomes {outcomes}")
        assert not chaos.errors
        assert outcomes["complete"] > STREAMS / 2
        assert outcomes["complete"] + outcomes["resumed"] > 0.9 * STREAMS
