"""A short soak with a fixed seed, and with each seed that exposed a fault."""

import pytest

from rosemaryyoke.soak import run_soak

SECONDS = 6.0
SEEDS = (1,)
PAUSES_SEED = 4
PAUSES_SECONDS = 5.0
BREAKS_SEED = 301
BREAKS_SECONDS = 5.0


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_of_a_seed(seed):
    report = run_soak(seed, SECONDS)
    assert not report.broken, report
    assert report.requests > 0 and report.faults


# A pause of an engine, under which hosts gave the stream up and closed on its caller.
def test_soak_stream_of_a_pausing_engine_is_not_lost():
    report = run_soak(PAUSES_SEED, PAUSES_SECONDS, "upstream pauses in its streams")
    assert not report.broken, report
    assert report.requests > 0 and report.faults


# An engine that closed in order inside an event, whose stream callers got as complete.
def test_soak_stream_truncated_within_an_event_is_not_complete():
    report = run_soak(BREAKS_SEED, BREAKS_SECONDS, "upstream breaks its answers off")
    assert not report.broken, report
    assert report.requests > 0 and report.faults
