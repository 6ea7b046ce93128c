"""Rollouts with a paused lease holder, with and without fencing checks in engines.

Guards against a holder that resumes after its lease has expired and sends orders for
old weights, or that starts more loads than the model's limits allow.
"""

import signal
import time

import pytest

from rosemaryyoke.testing.builders import System

ENGINES = 4
CONCURRENCY = 2
FLOOR = 2
PAUSE_S = 9.0
ROLLOUT_TIMEOUT_S = 60.0
OPTIONS = ("--load-s", "0.6", "--token-ms", "5", "--prefill-ms", "0.2")


def model_rules(system, weights, fencing):
    text = system.rules_text().replace(
        "model name=m weights=v1",
        f"model name=m weights={weights} load_concurrency={CONCURRENCY} floor={FLOOR}",
    )
    return text.replace("kind=engine", f"kind=engine fencing={fencing}")


def engine_names(system):
    return [name for name in system.processes if name.startswith("engine")]


def loaded(system):
    return {
        system.ask(name, "/control/orders")["weights"] for name in engine_names(system)
    }


def loads(system):
    """Return the start and end times of all loads, as sorted (time, change) pairs."""
    edges = []
    for name in engine_names(system):
        for order in system.ask(name, "/control/orders")["orders"]:
            edges.append((order["began_at"], 1))
            edges.append((order["ended_at"] or time.time(), -1))
    return sorted(edges)


def most_at_once(edges):
    running = most = 0
    for _, change in edges:
        running += change
        most = max(most, running)
    return most


def find_holder(system, before):
    """Return the first host seen with more orders than in ``before``."""
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
    while time.monotonic() < deadline:
        for name in system.host_names:
            if len(system.events(name, "order.sent")) > before.get(name, 0):
                return name
        time.sleep(0.02)
    raise TimeoutError("no host ordered")


def wait_loaded(system, weights):
    deadline = time.monotonic() + ROLLOUT_TIMEOUT_S
    while loaded(system) != {weights}:
        assert time.monotonic() < deadline, loaded(system)
        time.sleep(0.1)


@pytest.mark.parametrize("fencing", ["yes", "no"])
def test_paused_holder_leaves_no_engine_behind(fencing):
    options = OPTIONS + (("--checks-fencing",) if fencing == "yes" else ())
    with System(engines=ENGINES, services=0, hosts=3, engine_options=options) as system:
        system.publish(model_rules(system, "v2", fencing))
        holder = find_holder(system, {})
        system.processes[holder].signal(signal.SIGSTOP)
        system.publish(model_rules(system, "v3", fencing))
        time.sleep(PAUSE_S)
        system.processes[holder].signal(signal.SIGCONT)
        wait_loaded(system, "v3")
        time.sleep(1.0)
        assert loaded(system) == {"v3"}
        most = most_at_once(loads(system))
        assert 1 <= most <= CONCURRENCY
        assert ENGINES - most >= FLOOR
        assert system.client().chat("m", "after", 2).is_ok()
