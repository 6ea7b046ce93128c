"""Guards against an unsafe service call that executes more than once.

Hosts are killed and paused, and the platform and the services fail or lose responses,
while callers repeat calls with the same keys at random hosts.
"""

import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from attrs import define, field
from result import Err

from rosemaryyoke.testing.builders import System
from rosemaryyoke.testing.chaos import Chaos

SEED = 7
KEYS = 10_000
WORKERS = 24
TRIES = 4
FAULTS = [
    "kill-host",
    "platform-down",
    "pause-host",
    "platform-loses-answers",
    "service-loses-answers",
    "platform-slow",
]


@define
class KeyRecord:
    """The responses that callers received for one key."""

    key: str
    answers: list[bytes] = field(factory=list)
    not_run_at: list[float] = field(factory=list)
    codes: list[str] = field(factory=list)


def call_key(system, number):
    generator = random.Random(SEED * KEYS + number)
    record = KeyRecord(f"key-{number}")
    client = system.client()
    for _ in range(TRIES):
        host = system.address(generator.choice(system.host_names))
        outcome = client.service_once(
            host, "POST", "records", "/issue", {"n": number}, record.key
        )
        if isinstance(outcome, Err):
            record.codes.append(outcome.err_value.code)
            if outcome.err_value.not_run:
                record.not_run_at.append(time.time())
            if outcome.err_value.code == "outcome_unknown":
                break
            time.sleep(generator.uniform(0.0, 0.2))
            continue
        record.codes.append("ok")
        record.answers.append(outcome.ok_value.body)
        if generator.random() < 0.9:
            break
    return record


def runs_by_key(system):
    runs = {}
    for name in system.processes:
        if name.startswith("records"):
            for key, times in system.ask(name, "/control/runs")["runs"].items():
                runs.setdefault(key, []).extend(times)
    return runs


def check_records(records, runs):
    for record in records:
        times = runs.get(record.key, [])
        assert len(times) <= 1, f"{record.key} ran {len(times)} times"
        for said_at in record.not_run_at:
            assert all(ran_at > said_at for ran_at in times), record
        assert len(set(record.answers)) <= 1, record
        if record.answers:
            assert len(times) == 1, record


def test_keys_run_at_most_once_under_faults():
    with System(engines=0, services=2, hosts=3) as system:
        with Chaos(system, FAULTS, SEED) as chaos:
            with ThreadPoolExecutor(WORKERS) as pool:
                calls = [pool.submit(call_key, system, n) for n in range(KEYS)]
                records = [call.result() for call in calls]
        codes = Counter(code for record in records for code in record.codes)
        print(f"faults {Counter(chaos.caused)}, codes {codes}")
        check_records(records, runs_by_key(system))
        assert not chaos.errors
        assert codes["ok"] > KEYS / 2
