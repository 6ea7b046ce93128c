"""Requests never rely on cached blocks of a dead engine, other account or old weights.

Guards against stale index entries of a restarted engine and against block hashes that
do not cover the account or the weights version.
"""

import time

import pytest

from rosemaryyoke.testing.builders import System, long_prompt
from rosemaryyoke.wire import json_request, send

POLL_S = 2.5
ROLLOUT_S = 30.0
FAST = ("--token-ms", "2", "--prefill-ms", "0.2", "--load-s", "0.3")


@pytest.fixture()
def system():
    with System(
        engines=1, services=0, stores=1, hosts=1, engine_options=FAST
    ) as running:
        time.sleep(POLL_S)
        yield running


def ask(system, prompt, account="cedar"):
    return system.client(account).chat("m", prompt, 2).unwrap()


def last_attempt(system):
    return system.events("host0", "attempt.sent")[-1]["detail"]


def test_restarted_engine_is_not_believed_to_hold(system):
    prompt = long_prompt("restart")
    ask(system, prompt)
    ask(system, prompt)
    assert last_attempt(system)["believed_hit"] > 0
    system.processes["engine0"].kill()
    system.restart("engine0")
    system.wait_for("engine0")
    time.sleep(POLL_S)
    ask(system, prompt)
    assert last_attempt(system)["believed_hit"] == 0


def test_restarted_engine_takes_kept_kv(system):
    prompt = long_prompt("kept")
    ask(system, prompt)
    system.processes["engine0"].kill()
    system.restart("engine0")
    system.wait_for("engine0")
    time.sleep(POLL_S)
    assert ask(system, prompt).cached_tokens > 0


def test_other_account_gets_nothing(system):
    prompt = long_prompt("account")
    ask(system, prompt, "cedar")
    assert ask(system, prompt, "tonos").cached_tokens == 0
    assert last_attempt(system)["believed_hit"] == 0


def test_new_weights_get_nothing_of_older_ones(system):
    prompt = long_prompt("weights")
    ask(system, prompt)
    text = system.rules_text().replace("weights=v1", "weights=v2 floor=0")
    system.publish(text)
    deadline = time.monotonic() + ROLLOUT_S
    while system.ask("engine0", "/control/orders")["weights"] != "v2":
        assert time.monotonic() < deadline
        time.sleep(0.1)
    time.sleep(POLL_S)
    assert ask(system, prompt).cached_tokens == 0
    assert last_attempt(system)["believed_hit"] == 0
    assert last_attempt(system)["weights"] == "v2"


@pytest.mark.parametrize("wrong", ["account", "model", "weights"])
def test_import_of_another_scope_is_refused(system, wrong):
    scope = {"account": "a", "model": "m", "weights": "v1"}
    body = {
        "request": "r",
        "cache_salt": "a",
        "model": "m",
        "weights": "v1",
        "prompt": long_prompt("scope"),
        "max_tokens": 1,
        "kv_import": {**scope, wrong: "other", "store": system.address("store0")},
    }
    url = f"http://{system.address('engine0')}/v1/completions"
    assert send(json_request("POST", url, body)).unwrap().status == 409
