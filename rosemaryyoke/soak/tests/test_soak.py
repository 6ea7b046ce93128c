"""A short soak with a fixed seed, and with each seed that exposed a fault."""

import pytest

from rosemaryyoke.soak import run_soak

SECONDS = 6.0
SEEDS = (1,)
PAUSES_SEED = 4
PAUSES_SECONDS = 5.0
BREAKS_SEED = 301
BREAKS_SECONDS = 5.0
CRASHES_SEED = 401
CRASHES_SECONDS = 10.0
REQUESTS_SEED = 701
REQUESTS_SECONDS = 10.0
VERSIONS_SEED = 801
VERSIONS_SECONDS = 8.0
LIMITS_SEED = 601
LIMITS_SECONDS = 10.0
REJECTIONS_SEED = 901
REJECTIONS_SECONDS = 9.0
OUTAGE_SEED = 501
OUTAGE_SECONDS = 18.0


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


# One request that came again at all hosts and crashed one upstream after the other.
def test_soak_request_that_crashes_upstreams_is_stopped():
    report = run_soak(REQUESTS_SEED, REQUESTS_SECONDS, "request crashes upstreams")
    assert not report.broken, report
    assert report.requests > 0 and report.faults


# Engines of two software versions, at which streams of the other one went on.
def test_soak_stream_goes_on_at_its_software_version():
    report = run_soak(
        VERSIONS_SEED,
        VERSIONS_SECONDS,
        "upstream replaced by another software version",
    )
    assert not report.broken, report
    assert report.requests > 0 and report.faults


# Prompts that crashed one engine after the other, sent by all hosts.
def test_soak_part_that_crashes_engines_is_stopped():
    report = run_soak(
        CRASHES_SEED, CRASHES_SECONDS, "part of prompts crashes upstreams"
    )
    assert not report.broken, report
    assert report.requests > 0 and report.faults


# An engine that broke off all answers while no other was usable, for which hosts
# stopped all prompts.
def test_soak_prompts_are_served_after_an_outage_of_all_engines():
    report = run_soak(OUTAGE_SEED, OUTAGE_SECONDS)
    assert not report.broken, report
    assert report.requests > 0 and report.faults


# Upstreams that named a limit and got the requests of all hosts as before.
def test_soak_limits_that_upstreams_name_are_kept():
    report = run_soak(LIMITS_SEED, LIMITS_SECONDS, "upstream names a limit")
    assert not report.broken, report
    assert report.requests > 0 and report.faults


# A store that rejects the hosts that read it for the others, while a route is added.
def test_soak_changes_apply_while_the_store_rejects_most_hosts():
    report = run_soak(
        REJECTIONS_SEED, REJECTIONS_SECONDS, "store rejects most hosts", True
    )
    assert not report.broken, report
    assert report.requests > 0 and report.faults
