"""Which prompts are kept from engines, at all hosts, for how long."""

import random

import pytest

from rosemaryyoke.quarantine import quarantine as quarantines
from rosemaryyoke.quarantine.bans import BAN_GROWTH, BAN_S, END_JITTER, Ban
from rosemaryyoke.quarantine.evidence import (
    MAX_CRASHES,
    MAX_PROMPTS_PER_CRASH,
    MAX_SUCCESSES,
)
from rosemaryyoke.quarantine.outcomes import UNKNOWN_REQUEST
from rosemaryyoke.quarantine.quarantine import (
    CATCH_UP_S,
    EXPLAIN_PERIOD_S,
    FORGET_S,
    MAX_BANS,
)
from rosemaryyoke.quarantine.suspicion import MIN_CRASHES, SETTLE_S
from rosemaryyoke.quarantine.tests.builders import TICK_S, HostGroup, make_outcome

COMMON, OTHER, BAD, WORSE = 1, 2, 3, 4
STABLE_S = 3.0
CRASHES = 5


@pytest.fixture()
def group():
    return HostGroup()


def crash_series(group, *keys, crashes=CRASHES, gap_s=0.5, sound=(COMMON,)):
    """Let engines crash on prompts of one host after the other; answer sound ones."""
    for number in range(crashes):
        group.crash(number % group.count, keys, upstream=100 + number)
        group.pass_time(gap_s)
        if sound:
            group.answer((number + 1) % group.count, sound)


# Guards against hosts that go on to send a part that crashed five engines.
@pytest.mark.parametrize(
    "count, loss", [(1, 0.0), (8, 0.0), (8, 0.3), (30, 0.2), (195, 0.2)]
)
def test_part_is_banned_at_all_hosts_within_the_bound(count, loss):
    group = HostGroup(count, loss)
    crash_series(group, COMMON, BAD, gap_s=0.1)
    group.pass_time(STABLE_S)
    assert group.banning(COMMON, BAD) == group.banning(BAD) == count
    assert not group.banning(COMMON) and not group.banning(COMMON, OTHER)


def test_crashes_seen_by_one_host_each_are_added_up(group):
    group = HostGroup(CRASHES)
    for number in range(CRASHES):
        group.crash(number, (COMMON, BAD), upstream=100 + number)
        group.answer(number, (COMMON,))
    group.pass_time(STABLE_S)
    assert group.banning(COMMON, BAD) == CRASHES


def test_crash_that_several_hosts_see_counts_once(group):
    for _ in range(2 * MIN_CRASHES):
        for host in range(group.count):
            group.crash(host, (BAD,), upstream=100)
    group.pass_time(STABLE_S)
    assert not group.banning(BAD)


# Guards against a part that crashes the same engines, which its prefix belongs to.
def test_part_that_crashes_two_engines_in_turn_is_banned(group):
    for number in range(CRASHES):
        group.crash(number % 3, (COMMON, BAD), upstream=number % 2)
        group.pass_time(2.0)
        group.answer(0, (COMMON,))
    group.pass_time(STABLE_S)
    assert group.banning(BAD) == 3 and not group.banning(COMMON)


# Guards against crashes that are joined although the engine had started in between.
def test_engines_that_are_back_at_once_crash_again(group):
    for number in range(CRASHES):
        host = group.hosts[number % 2]
        at_s = group.clock.at_s + 0.05 * number
        host.record_crash(make_outcome((COMMON, BAD), number % 3, at_s, lasted_s=0.01))
    group.pass_time(STABLE_S)
    assert group.banning(COMMON, BAD) == 3


# Guards against sound parts that are banned because engines lose single answers.
@pytest.mark.parametrize("count", [3, 30, 195])
def test_engines_that_break_off_single_answers_have_not_crashed(count):
    group = HostGroup(count)
    for number in range(6 * CRASHES):
        upstream = number % CRASHES
        group.crash(number % count, (COMMON, OTHER), upstream)
        group.clock.at_s += 0.4
        for host in range(min(count, 9)):
            outlived = make_outcome(
                (BAD,), upstream, group.clock.at_s, crashed=False, lasted_s=1.0
            )
            group.hosts[(number + host) % count].record_success(outlived)
        group.pass_time(0.3)
    group.pass_time(STABLE_S)
    assert not group.banning(COMMON, OTHER)


def test_answer_that_began_after_a_crash_does_not_disprove_it(group):
    for upstream in range(CRASHES):
        group.crash(upstream % 3, (COMMON, BAD), upstream)
        group.pass_time(1.0)
        later = make_outcome(
            (COMMON,), upstream, group.clock.at_s, crashed=False, lasted_s=0.9
        )
        group.hosts[0].record_success(later)
    group.pass_time(STABLE_S)
    assert group.banning(BAD) == 3 and not group.banning(COMMON)


# Guards against a success told without all of its parts that counts as another prompt.
def test_outcome_of_some_parts_is_no_success_of_other_prompts(group):
    group.answer(0, (COMMON,))
    group.pass_time(1.0)
    crash_series(group, COMMON, gap_s=0.2, sound=())
    partial = make_outcome((OTHER,), 99, group.clock.at_s, False, UNKNOWN_REQUEST)
    group.hosts[0].receive("h1", [partial], ())
    group.pass_time(STABLE_S)
    assert not group.banning(COMMON)


def test_report_of_a_crash_that_was_disproved_before_is_ignored(group):
    host, now_s = group.hosts[0], group.clock.at_s
    outlived = make_outcome((COMMON,), 1, now_s + 1.0, crashed=False, lasted_s=2.0)
    host.record_success(outlived)
    host.receive("h1", [make_outcome((BAD,), 1, now_s)], ())
    host.receive("h1", [make_outcome((BAD,), 2, now_s)], ())
    assert [crash.upstream for crash in host.evidence.crashes] == [2]


def test_repeats_of_one_request_are_no_evidence_for_its_shared_parts(group):
    for upstream in range(CRASHES):
        outcome = make_outcome((BAD,), upstream, group.clock.at_s, request=7)
        group.hosts[0].record_crash(outcome)
    group.pass_time(STABLE_S)
    assert not group.banning(BAD)


def test_wave_of_crashes_bans_no_part_that_is_answered(group):
    for upstream in range(2 * CRASHES):
        group.crash(upstream % 3, (COMMON, OTHER), upstream)
    group.pass_time(SETTLE_S / 2)
    group.answer(0, (COMMON, OTHER))
    group.pass_time(STABLE_S)
    assert not group.banning(COMMON, OTHER)


# Guards against a ban of all traffic while nothing is answered.
def test_outage_of_all_engines_bans_no_part_that_was_answered_before(group):
    group.answer(0, (COMMON, OTHER))
    group.pass_time(1.0)
    for upstream in range(4 * CRASHES):
        group.crash(upstream % 3, (COMMON, OTHER), upstream % 9)
        group.pass_time(0.2)
    group.pass_time(STABLE_S)
    assert not group.banning(COMMON, OTHER)


def test_engine_that_breaks_off_all_answers_is_no_evidence(group):
    for number in range(4 * CRASHES):
        group.crash(number % 3, (COMMON, OTHER), upstream=100)
        group.pass_time(0.3)
    group.pass_time(STABLE_S)
    assert not group.banning(COMMON, OTHER)


def test_answers_of_plain_services_are_no_success_of_other_prompts(group):
    group.answer(0, (COMMON, OTHER))
    group.pass_time(1.0)
    for upstream in range(2 * CRASHES):
        group.crash(upstream % 3, (COMMON, OTHER), upstream)
        for host in range(3):
            group.answer(host, ())
        group.pass_time(0.2)
    group.pass_time(STABLE_S)
    assert not group.banning(COMMON, OTHER)


# Guards against bans by crashes that the ban of another part explains already.
def test_crash_that_a_ban_explains_counts_against_no_other_part(group):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    for upstream in range(200, 200 + CRASHES):
        group.crash(0, (COMMON, BAD), upstream)
        group.crash(1, (WORSE, OTHER), upstream)
        group.pass_time(0.2)
        group.answer(2, (COMMON,))
    group.pass_time(STABLE_S)
    assert group.banning(BAD) == 3 and not group.banning(WORSE, OTHER)


def test_answers_elsewhere_protect_a_part_at_a_host_that_sees_only_crashes():
    group = HostGroup(30)
    for number in range(4 * CRASHES):
        group.crash(0, (COMMON,), upstream=number)
        group.pass_time(0.3)
        group.answer(1 + number % 29, (COMMON,))
    group.pass_time(STABLE_S)
    assert not group.banning(COMMON)


def test_shared_parts_are_not_banned_for_crashes_of_some_requests():
    generator = random.Random(5)
    for _ in range(20):
        group = HostGroup()
        for upstream in range(100):
            host = upstream % 3
            if generator.random() < 0.25:
                group.crash(host, (COMMON, OTHER), upstream)
            else:
                group.answer(host, (COMMON, OTHER))
            group.pass_time(0.1)
        group.pass_time(STABLE_S)
        assert not group.banning(COMMON, OTHER)


def test_two_bad_parts_at_once_are_both_banned(group):
    for number in range(CRASHES):
        group.crash(0, (COMMON, BAD), upstream=2 * number)
        group.crash(1, (COMMON, WORSE), upstream=2 * number + 1)
        group.pass_time(0.3)
        group.answer(2, (COMMON, OTHER))
    group.pass_time(STABLE_S)
    assert group.banning(COMMON, BAD) == group.banning(COMMON, WORSE) == 3
    assert not group.banning(COMMON, OTHER)


# Guards against a ban of a sound part that occurs only beside the bad one.
def test_parts_that_cannot_be_told_apart_are_banned_only_together(group):
    crash_series(group, COMMON, BAD, sound=())
    group.pass_time(STABLE_S)
    assert group.banning(COMMON, BAD) == 3
    assert not group.banning(COMMON) and not group.banning(BAD)


def test_answer_shows_which_of_two_parts_is_bad(group):
    crash_series(group, COMMON, BAD, sound=())
    group.pass_time(STABLE_S)
    group.answer(0, (COMMON, OTHER))
    group.pass_time(1.0)
    assert group.banning(BAD) == 3 and not group.banning(COMMON)


def test_one_more_crash_shows_which_of_two_parts_is_bad(group):
    crash_series(group, COMMON, BAD, sound=())
    group.pass_time(STABLE_S)
    group.crash(1, (OTHER, BAD), upstream=200)
    group.pass_time(1.0)
    assert group.banning(BAD, WORSE) == 3
    assert not group.banning(COMMON) and not group.banning(OTHER)


def test_part_that_was_sound_before_is_banned_too(group):
    for _ in range(50):
        group.answer(0, (COMMON, BAD))
    group.pass_time(1.0)
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    assert group.banning(BAD) == 3 and not group.banning(COMMON)


def test_part_that_never_succeeded_is_blamed_before_one_that_did(group):
    group.answer(0, (COMMON,))
    group.pass_time(1.0)
    crash_series(group, COMMON, BAD, sound=())
    group.pass_time(STABLE_S)
    assert group.banning(BAD) == 3 and not group.banning(COMMON)


def test_new_host_learns_of_bans_from_a_beacon(group):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    new = group.make_host()
    assert new.find_ban((BAD,)) is None
    new.receive("h1", (), group.hosts[0].reported_bans())
    assert new.find_ban((BAD,)) is not None


# Guards against a host that judges by reports that are repeated as it starts.
def test_new_host_hears_answers_before_it_judges_crashes(group):
    crashes = [
        make_outcome((COMMON, OTHER), upstream, group.clock.at_s)
        for upstream in range(CRASHES)
    ]
    group.pass_time(2 * SETTLE_S)
    new = group.make_host()
    new.receive("h1", crashes, ())
    new.review()
    group.clock.at_s += SETTLE_S
    new.record_success(make_outcome((COMMON,), 9, group.clock.at_s, crashed=False))
    new.record_success(make_outcome((OTHER,), 9, group.clock.at_s, crashed=False))
    group.clock.at_s += STABLE_S
    new.review()
    assert not new.bans


# Guards against a ban of sound parts by a host that has missed the answers to them.
def test_crashes_before_the_start_of_a_host_are_judged_by_the_others(group):
    before = [
        make_outcome((COMMON,), upstream, group.clock.at_s, fingerprint=100 + upstream)
        for upstream in range(CRASHES)
    ]
    group.pass_time(TICK_S)
    new = group.make_host()
    new.receive("h1", before, ())
    group.clock.at_s += STABLE_S
    new.review()
    assert not new.bans and not new.suspects
    assert new.take_due() == ([], [])


def test_crashes_after_the_start_of_a_host_are_judged(group):
    new = group.make_host()
    group.pass_time(TICK_S)
    after = [
        make_outcome((COMMON,), upstream, group.clock.at_s, fingerprint=100 + upstream)
        for upstream in range(CRASHES)
    ]
    new.receive("h1", after, ())
    for _ in range(round(STABLE_S / TICK_S)):
        group.clock.at_s += TICK_S
        new.review()
    assert new.bans


# Guards against a ban before queued messages with answers are handled.
def test_suspended_host_reads_the_answers_before_it_judges():
    group = HostGroup(1)
    group.pass_time(STABLE_S)
    host = group.hosts[0]
    for number in range(CRASHES):
        group.crash(0, (COMMON,), upstream=100 + number, fingerprint=200 + number)
    group.clock.at_s += 2 * SETTLE_S
    host.review()
    answer = make_outcome((COMMON,), 9, group.clock.at_s, crashed=False)
    host.receive("h1", [answer], ())
    group.pass_time(STABLE_S)
    assert not host.bans


# Guards against late reviews that suppress a ban.
def test_suspended_host_judges_what_is_not_refuted(group):
    group.pass_time(STABLE_S)
    for number in range(CRASHES):
        group.crash(0, (COMMON,), upstream=100 + number, fingerprint=200 + number)
    group.clock.at_s += 2 * SETTLE_S
    group.pass_time(CATCH_UP_S + 3 * TICK_S)
    assert group.banning(COMMON) == group.count


def end_of_ban(level=0):
    return BAN_S * BAN_GROWTH**level * END_JITTER[1] + 1.0


def test_one_request_tries_the_part_after_the_ban(group):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    group.clock.at_s += end_of_ban()
    host = group.hosts[0]
    assert host.find_ban((BAD,)) is None
    assert host.find_ban((BAD,)) is not None
    assert host.is_suspect((BAD,))


# Guards against several engines that are lost to find out whether a part still crashes.
def test_crash_after_the_ban_renews_it_at_all_hosts(group):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    group.clock.at_s += end_of_ban()
    assert group.hosts[0].find_ban((BAD,)) is None
    group.crash(0, (COMMON, BAD), upstream=300)
    group.pass_time(0.5)
    group.clock.at_s += end_of_ban() - BAN_S
    assert group.banning(BAD) == 3


def test_answer_after_the_ban_ends_it_at_all_hosts(group):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    group.clock.at_s += end_of_ban()
    bans = group.hosts[1].reported_bans()
    assert group.hosts[0].find_ban((BAD,)) is None
    group.answer(0, (COMMON, BAD))
    group.pass_time(STABLE_S)
    assert not any(host.bans for host in group.hosts)
    group.hosts[0].receive("h9", (), bans)
    assert not group.hosts[0].bans


def test_ban_whose_part_is_never_requested_ends(group):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    group.clock.at_s += end_of_ban() + FORGET_S
    group.pass_time(1.0)
    assert not any(host.bans for host in group.hosts)


def test_suspected_part_is_not_repeated(group):
    group.crash(0, (COMMON, BAD), upstream=1)
    group.pass_time(0.3)
    assert not group.hosts[0].is_suspect((COMMON, BAD))
    group.crash(1, (COMMON, BAD), upstream=2)
    group.pass_time(0.3)
    assert all(host.is_suspect((COMMON, BAD)) for host in group.hosts)
    group.answer(0, (COMMON,))
    group.pass_time(0.3)
    assert not group.hosts[0].is_suspect((COMMON, OTHER))


def test_memory_is_bounded(group):
    host = group.hosts[0]
    for number in range(2 * MAX_CRASHES):
        group.clock.at_s += 0.01
        for part in range(3):
            host.record_crash(
                make_outcome((number, part), 10_000 + number, group.clock.at_s)
            )
    for number in range(2 * MAX_SUCCESSES):
        host.record_success(make_outcome((number,), crashed=False))
    assert len(host.evidence.crashes) <= MAX_CRASHES
    assert len(host.evidence.successes) <= MAX_SUCCESSES
    assert len(host.evidence.crashes_by_key) <= MAX_CRASHES + 3
    for number in range(2 * MAX_PROMPTS_PER_CRASH):
        host.record_crash(make_outcome((number,), 1, group.clock.at_s))
    assert len(host.evidence.crashes[-1].prompts) <= MAX_PROMPTS_PER_CRASH


# Guards against processor time for old crashes, ten times a second.
def test_old_crashes_are_explained_rarely(group, monkeypatch):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    explained = []
    monkeypatch.setattr(quarantines, "find_explanation", lambda *_: explained.append(1))
    group.pass_time(20.0)
    assert 0 < len(explained) <= 3 * (20.0 / EXPLAIN_PERIOD_S + 1)


def test_number_of_bans_is_bounded(group):
    for number in range(2 * MAX_BANS):
        crash_series(group, 1_000 + number, crashes=MIN_CRASHES, gap_s=0.1, sound=())
    group.pass_time(STABLE_S)
    assert 0 < len(group.hosts[0].bans) <= MAX_BANS


# Guards against an answer that ends a ban only at the host that saw it.
def test_answer_ends_a_ban_everywhere_although_an_earlier_one_was_announced(group):
    crash_series(group, COMMON, BAD)
    group.pass_time(STABLE_S)
    for host in group.hosts:
        host.announced[BAD] = host.announced[COMMON] = group.clock.at_s
    group.clock.at_s += 1.0
    group.answer(0, (COMMON, BAD))
    group.pass_time(STABLE_S)
    assert not any(host.bans for host in group.hosts)


# Guards against a ban that goes on elsewhere since its crashes are known to no host.
def test_answer_ends_a_ban_everywhere_although_no_crash_is_known(group):
    for host in group.hosts:
        host.receive("store", (), [Ban(frozenset((BAD,)), group.clock.at_s)])
    group.pass_time(STABLE_S)
    group.answer(0, (COMMON, BAD))
    group.pass_time(STABLE_S)
    assert not any(host.bans for host in group.hosts)
