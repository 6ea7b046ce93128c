"""Which requests are kept from engines since each engine that runs them crashes."""

import random

import pytest

from rosemaryyoke.quarantine import fingerprint
from rosemaryyoke.quarantine.bans import MAX_REQUEST_PROBES
from rosemaryyoke.quarantine.evidence import MAX_REQUEST_SUCCESSES
from rosemaryyoke.quarantine.quarantine import TRIAL_TIMEOUT_S
from rosemaryyoke.quarantine.repetitions import (
    MIN_CRASHES,
    MIN_CRASHES_OF_ONE_UPSTREAM,
)
from rosemaryyoke.quarantine.rows import (
    decode_outcomes,
    encode_fingerprints,
    encode_outcomes,
)
from rosemaryyoke.quarantine.tests.builders import HostGroup, make_outcome

BAD, SOUND, OTHER = 101, 102, 103
COMMON, PART = 1, 2
STABLE_S = 3.0
RUN_S = 0.1
DAY_S = 86_400.0


@pytest.fixture()
def group():
    return HostGroup()


def crash_in_turn(group, key, hosts=(0,), crashes=MIN_CRASHES, first=100, keys=()):
    """Let engines crash on repetitions of a request, one after the other."""
    for number in range(crashes):
        group.clock.at_s += RUN_S
        group.crash(
            hosts[number % len(hosts)],
            keys,
            first + number,
            fingerprint=key,
            lasted_s=RUN_S / 2,
        )


# Guards against hosts that go on to send a request that crashed three engines.
@pytest.mark.parametrize(
    "count, loss", [(1, 0.0), (8, 0.0), (8, 0.3), (30, 0.2), (195, 0.2)]
)
def test_request_is_banned_at_all_hosts_within_the_bound(count, loss):
    group = HostGroup(count, loss)
    crash_in_turn(group, BAD)
    group.pass_time(STABLE_S)
    assert group.refusing(BAD) == count and not group.refusing(SOUND)


# Guards against evidence that is lost since the attempts of one request are joined.
def test_attempts_of_one_request_count_by_engine(group):
    for number in range(MIN_CRASHES):
        group.clock.at_s += RUN_S
        group.crash(0, (), number, request=7, fingerprint=BAD, lasted_s=RUN_S / 2)
    group.pass_time(STABLE_S)
    assert group.refusing(BAD) == group.count


def test_crashes_seen_by_one_host_each_are_added_up(group):
    crash_in_turn(group, BAD, hosts=(0, 1, 2))
    group.pass_time(STABLE_S)
    assert group.refusing(BAD) == group.count


# Guards against engines that are lost while answers could still refute the suspicion.
def test_request_is_held_back_until_the_verdict(group):
    crash_in_turn(group, BAD)
    assert group.refuses(0, BAD)
    group.pass_time(0.1)
    assert group.refusing(BAD) == group.count


def test_request_that_crashed_two_engines_is_sent_once_more_only(group):
    crash_in_turn(group, BAD, crashes=2)
    assert not group.refuses(0, BAD) and group.hosts[0].is_suspect((BAD,))


def crash_only_upstream(group, crashes, answers):
    """Let a request crash the same engine, which answers another one in between."""
    for number in range(crashes):
        group.clock.at_s += RUN_S
        if number < answers:
            for host in range(group.count):
                group.answer(host, (), upstream=100, fingerprint=SOUND)
        group.clock.at_s += RUN_S
        group.crash(number % group.count, (), 100, fingerprint=BAD, lasted_s=RUN_S / 2)
        group.pass_time(RUN_S)


# Guards against a request that crashes the only upstream of its service for good.
def test_request_that_crashes_the_only_upstream_is_banned(group):
    crash_only_upstream(group, MIN_CRASHES_OF_ONE_UPSTREAM, answers=DAY_S)
    assert group.refusing(BAD) == group.count
    group.pass_time(STABLE_S)
    assert group.refusing(BAD) == group.count and not group.refusing(SOUND)


# Guards against a ban of a request because the only upstream is faulty.
@pytest.mark.parametrize("answers", [0, 2])
def test_only_upstream_that_seldom_answers_bans_nothing(group, answers):
    crash_only_upstream(group, 2 * MIN_CRASHES_OF_ONE_UPSTREAM, answers)
    group.pass_time(STABLE_S)
    assert not group.refusing(BAD)


# Guards against several engines that crash before the first crash is known.
def test_repetitions_of_a_suspect_are_sent_one_at_a_time(group):
    crash_in_turn(group, BAD, crashes=2)
    assert not group.refuses(0, BAD) and group.refuses(0, BAD)
    group.hosts[0].end_trial(BAD)
    assert not group.refuses(0, BAD)


def test_repetition_whose_outcome_stays_unknown_blocks_no_more(group):
    crash_in_turn(group, BAD, crashes=2)
    assert not group.refuses(0, BAD)
    group.clock.at_s += TRIAL_TIMEOUT_S
    assert not group.refuses(0, BAD)


# Guards against sound requests that get no third attempt while engines often crash.
def test_request_beside_two_of_many_crashes_is_repeated(group):
    crash_in_turn(group, BAD, crashes=1, first=100)
    for number in range(4):
        crash_in_turn(group, OTHER + number, crashes=1, first=200 + number)
    crash_in_turn(group, BAD, crashes=1, first=300)
    assert not group.hosts[0].is_suspect((BAD,))


# Guards against the refusal of a request that everyone sends when all engines fail.
def test_outage_bans_no_request_that_was_under_way_everywhere(group):
    for host in range(group.count):
        for upstream in range(4):
            group.crash(host, (), upstream, fingerprint=SOUND)
    group.pass_time(STABLE_S)
    assert not group.refusing(SOUND)


# Guards against the refusal of a sound request at hosts that saw none of its answers.
@pytest.mark.parametrize("count", [3, 195])
def test_answers_anywhere_refute_crashes(count):
    group = HostGroup(count)
    for number in range(3 * MIN_CRASHES):
        crash_in_turn(group, SOUND, hosts=(number % count,), crashes=1, first=number)
        group.pass_time(0.3)
        group.answer((number + 1) % count, (), fingerprint=SOUND)
        group.pass_time(0.3)
    group.pass_time(STABLE_S)
    assert not group.refusing(SOUND)


# Guards against the refusal of a sound request that was at the engines of a bad one.
def test_request_with_fewer_crashes_is_not_blamed(group):
    for number in range(MIN_CRASHES + 1):
        group.clock.at_s += RUN_S
        lasted = {"lasted_s": RUN_S / 2}
        group.crash(0, (), number, fingerprint=BAD, **lasted)
        if number:
            group.crash(1, (), number, fingerprint=SOUND, **lasted)
    group.pass_time(STABLE_S)
    assert group.refusing(BAD) == group.count and not group.refusing(SOUND)


# Guards against a request that crashes engines beside others that are banned first.
def test_request_whose_crashes_a_ban_explains_is_sent_one_at_a_time(group):
    for number in range(MIN_CRASHES + 1):
        group.clock.at_s += RUN_S
        keys = (BAD, OTHER) if number < MIN_CRASHES else (BAD,)
        for key in keys:
            group.crash(0, (), 100 + number, fingerprint=key, lasted_s=RUN_S / 2)
    group.pass_time(STABLE_S)
    assert group.refusing(BAD) == group.count
    assert [group.refuses(0, OTHER) for _ in range(3)] == [False, True, True]
    assert group.hosts[0].is_suspect((OTHER,))
    group.answer(0, (), fingerprint=OTHER)
    assert not any(group.refuses(0, OTHER) for _ in range(3))
    assert not group.hosts[0].is_suspect((OTHER,))


# Guards against the refusal of a request that everyone sends beside crashing prompts.
def test_popular_request_is_not_blamed_while_there_are_other_suspects(group):
    group.answer(0, (), fingerprint=SOUND)
    for number in range(12):
        group.clock.at_s += RUN_S
        part, lasted = 10 + number % 3, {"lasted_s": RUN_S / 2}
        group.crash(0, (part,), number, fingerprint=1_000 + number, **lasted)
        group.crash(1, (), number, fingerprint=SOUND, **lasted)
    group.pass_time(STABLE_S)
    assert not group.refusing(SOUND)


def test_answer_ends_the_ban_of_a_request_everywhere(group):
    crash_in_turn(group, BAD)
    group.pass_time(STABLE_S)
    group.answer(0, (), fingerprint=BAD)
    group.pass_time(STABLE_S)
    assert not group.refusing(BAD)


# Guards against a request that was sound until a release of the engines.
def test_request_that_was_answered_before_needs_more_crashes(group):
    crash_in_turn(group, OTHER, crashes=1, first=50)
    group.answer(0, (), fingerprint=BAD)
    crash_in_turn(group, BAD, crashes=MIN_CRASHES)
    group.pass_time(STABLE_S)
    assert not group.refusing(BAD)
    crash_in_turn(group, BAD, crashes=MIN_CRASHES, first=200)
    group.pass_time(STABLE_S)
    assert group.refusing(BAD) == group.count


# Guards against a ban that is tried again and again for as long as the request comes.
def test_request_is_tried_three_times_at_most_while_it_comes():
    group, generator = HostGroup(8), random.Random(1)
    crash_in_turn(group, BAD)
    group.pass_time(STABLE_S)
    tries, start_s = 0, group.clock.at_s
    while group.clock.at_s < start_s + DAY_S:
        group.clock.at_s += generator.uniform(1.0, 60.0)
        host = generator.randrange(group.count)
        if not group.refuses(host, BAD):
            tries += 1
            group.crash(host, (), 500 + tries, fingerprint=BAD)
        group.pass_time(0.2)
    assert 1 <= tries <= MAX_REQUEST_PROBES


def test_request_is_tried_again_after_it_has_not_come_for_long(group):
    crash_in_turn(group, BAD)
    group.pass_time(STABLE_S)
    group.clock.at_s += 60.0
    assert not group.refuses(0, BAD) and group.refuses(0, BAD)


# Guards against a part that no one bans since each of its requests is banned by itself.
def test_part_is_banned_although_each_of_its_requests_is(group):
    for number in range(4):
        crash_in_turn(group, BAD + number, first=100 * number, keys=(COMMON, PART))
        group.pass_time(STABLE_S)
        group.answer(0, (COMMON,))
    group.pass_time(STABLE_S)
    assert group.refuses(0, OTHER + 10, (COMMON, PART))
    assert not group.refuses(0, OTHER + 10, (COMMON,))


# Guards against shared parts that are banned for the crashes of one request.
def test_repetitions_are_no_evidence_for_their_parts(group):
    crash_in_turn(group, BAD, crashes=8, keys=(COMMON, PART))
    group.pass_time(STABLE_S)
    assert group.refuses(0, BAD, (COMMON, PART))
    assert not group.refuses(0, SOUND, (COMMON, PART))


def test_new_host_learns_of_the_ban_of_a_request(group):
    crash_in_turn(group, BAD)
    group.pass_time(STABLE_S)
    new = group.make_host()
    new.receive("h0", (), group.hosts[0].reported_bans())
    assert new.refuse((), lambda: BAD) is not None


def test_memory_of_answered_requests_is_bounded(group):
    host = group.hosts[0]
    crash_in_turn(group, BAD, crashes=1)
    group.answer(0, (COMMON,))
    for number in range(2 * MAX_REQUEST_SUCCESSES):
        group.answer(0, (), fingerprint=1_000 + number)
    assert len(host.evidence.request_successes) == MAX_REQUEST_SUCCESSES
    assert host.evidence.has_succeeded(COMMON)


def test_fingerprint_is_not_computed_while_nothing_is_banned(group):
    def fail():
        raise AssertionError("computed")

    assert group.hosts[0].refuse((COMMON,), fail) is None


def test_outcomes_keep_their_fingerprints():
    outcomes = (make_outcome((COMMON,), fingerprint=BAD), make_outcome(()))
    rows, now_s = encode_outcomes(outcomes, 2_000.0), 2_000.0
    decoded = decode_outcomes(rows, now_s, encode_fingerprints(outcomes))
    assert [item.fingerprint for item in decoded] == [BAD, 0]
    assert [item.fingerprint for item in decode_outcomes(rows, now_s)] == [0, 0]
    with pytest.raises(ValueError):
        decode_outcomes(rows, now_s, b"123")


def test_fingerprint_tells_fields_apart():
    assert fingerprint([b"ab", b"c"]) != fingerprint([b"a", b"bc"])
    assert fingerprint([b"ab", b"c"]) == fingerprint([b"ab", b"c"])
