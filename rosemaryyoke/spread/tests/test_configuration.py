"""Rules updates with concurrent writers, lost answers and host or platform outages."""

import random
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from result import Ok

from rosemaryyoke.core.hlc import MICROSECONDS_PER_SECOND
from rosemaryyoke.objects.adapters import HttpObjectApi
from rosemaryyoke.spread import publish_rules
from rosemaryyoke.testing.builders import System
from rosemaryyoke.testing.chaos import PLATFORM_WELL
from rosemaryyoke.testing.timing import check_time

SEED = 5
ROUNDS = 12
IN_FORCE_S = 5.0
START_TARGET_S = 1.0
GIVE_UP_S = 30.0


@pytest.fixture(scope="module")
def system():
    with System(engines=1, services=0, hosts=5) as running:
        yield running


def rules_with(system, mark):
    return system.rules_text() + f"limit account=* concurrency={mark} # Ana, {mark}\n"


def race(system, mark, revision):
    """Publish two successors of a revision concurrently."""
    texts = [rules_with(system, 1000 + 2 * mark + side) for side in (0, 1)]
    with ThreadPoolExecutor(2) as pool:
        calls = [pool.submit(publish_rules, system.api, t, revision) for t in texts]
        return [call.result() for call in calls]


def wait_in_force(system, revision, names):
    """Poll each host until it has a revision; return the elapsed seconds."""
    began = time.monotonic()
    pending_names = list(names)
    while pending_names and time.monotonic() - began < GIVE_UP_S:
        pending_names = [
            n for n in pending_names if system.status(n)["revision"] < revision
        ]
        time.sleep(0.02)
    assert not pending_names, f"{pending_names} did not reach revision {revision}"
    return time.monotonic() - began


def in_force_revisions(system, name):
    events = system.events(name, "rules.in_force")
    return [event["detail"]["revision"] for event in events]


def test_concurrent_publish_has_one_winner(system):
    generator = random.Random(SEED)
    worst_s = 0.0
    for number in range(ROUNDS):
        before = system.status("host0")["revision"]
        lose = generator.choice([0.0, 0.5])
        system.control("platform", "fault", {**PLATFORM_WELL, "lose_answers": lose})
        outcomes = race(system, number, before)
        system.control("platform", "fault", PLATFORM_WELL)
        winners = [o.ok_value for o in outcomes if isinstance(o, Ok)]
        assert len(winners) == 1, outcomes
        assert winners[0].revision == before + 1 and winners[0].written
        loser = next(o.err_value for o in outcomes if o.is_err())
        assert loser.conflict
        worst_s = max(worst_s, wait_in_force(system, before + 1, system.host_names))
    check_time("worst time in force on every host", worst_s, IN_FORCE_S)


def test_revision_spreads_with_platform_down(system):
    rules = system.folder / "rules.txt"
    rules.write_text(rules_with(system, 2001))
    before = system.status("host0")["revision"]
    arguments = ("--platform", system.address("platform"))
    arguments += ("--host", system.address("host1"))
    arguments += ("--key-file", str(system.key_file))
    api = HttpObjectApi(system.address("platform"))
    with ThreadPoolExecutor(1) as pool:
        done = pool.submit(system.command, "apply", str(rules), *arguments)
        while (
            api.get("rules/current").unwrap().body.find(b'"revision":%d' % before) > 0
        ):
            pass
        system.control("platform", "fault", {**PLATFORM_WELL, "down": True})
        completed = done.result()
    try:
        passed_s = wait_in_force(system, before + 1, system.host_names)
        check_time("in force with the platform down", passed_s, IN_FORCE_S)
    finally:
        system.control("platform", "fault", PLATFORM_WELL)
    assert completed.returncode in (0, 3), completed.stderr


def test_restarted_host_has_revision_while_platform_is_down(system):
    before = system.status("host0")["revision"]
    system.control("platform", "fault", {**PLATFORM_WELL, "down": True})
    try:
        system.processes["host2"].kill()
        began = time.monotonic()
        system.restart("host2")
        system.wait_for("host2")
        assert system.status("host2")["revision"] == before
        passed_s = time.monotonic() - began
        check_time("restart without the platform", passed_s, START_TARGET_S)
    finally:
        system.control("platform", "fault", PLATFORM_WELL)


def test_revisions_increase_on_each_host(system):
    for name in system.host_names:
        revisions = in_force_revisions(system, name)
        assert revisions == sorted(set(revisions))


def test_event_times_are_close_to_publishing(system):
    began = time.time()
    revision = system.publish(rules_with(system, 3001)).revision
    wait_in_force(system, revision, system.host_names)
    for name in system.host_names:
        event = system.events(name, "rules.in_force")[-1]
        passed_s = event["time"]["wall_us"] / MICROSECONDS_PER_SECOND - began
        assert event["detail"]["revision"] == revision
        check_time(f"{name} after publishing", passed_s, IN_FORCE_S)
