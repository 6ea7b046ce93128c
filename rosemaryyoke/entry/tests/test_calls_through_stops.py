"""Calls that a host takes while it stops are answered, however short its grace is."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import orjson
import pytest

from rosemaryyoke.testing.builders import System, api_key
from rosemaryyoke.wire import json_request, send

SLOW_ENGINE = ("--token-ms", "300")
TOKENS = 100
SLOW_CALL_MS = 30_000
CALL_TIMEOUT_S = 40.0
GRACES_S = (2.0, 8.0)
STARTED_S = 0.5


@pytest.fixture(params=GRACES_S)
def system(request):
    settings = {"stop_grace_s": request.param}
    with System(
        engines=2, hosts=1, engine_options=SLOW_ENGINE, host_settings=settings
    ) as running:
        fault = {"slow_ms": SLOW_CALL_MS, "lose_every": 0}
        running.control("records0", "fault", fault)
        yield running


def post(system, path, value, **headers):
    """Send a request to the host, and return its answer or how it failed."""
    url = f"http://{system.address('host0')}{path}"
    headers["Authorization"] = f"Bearer {api_key('cedar')}"
    call = json_request("POST", url, value, headers=headers, timeout_s=CALL_TIMEOUT_S)
    return send(call)


def complete(system, stream, number):
    """Ask for a completion that outlasts the host."""
    messages = [{"role": "user", "content": f"prompt {number}"}]
    body = {"model": "m", "messages": messages, "max_tokens": TOKENS, "stream": stream}
    return post(system, "/v1/chat/completions", body)


def failure(answer):
    """Return the status and the error that an answer tells."""
    answer = answer.unwrap()
    body = answer.body
    if answer.status == 200:  # in the last event of a stream that had begun
        body = body.rpartition(b"event: error\ndata: ")[2]
    return answer.status, orjson.loads(body)["error"]


# Guards against calls that are cut with no answer at the end of the grace period.
def test_call_that_outlasts_the_host_is_answered(system):
    host = system.processes["host0"]
    with ThreadPoolExecutor(16) as pool:

        def send_all(number):
            key = {"Idempotency-Key": f"key-{number}"}
            return (
                pool.submit(post, system, f"/services/records/{number}", {}),
                pool.submit(post, system, f"/services/records/{number}", {}, **key),
                pool.submit(complete, system, False, number),
                pool.submit(complete, system, True, number),
            )

        before = send_all(0)
        time.sleep(STARTED_S)
        host.signal(signal.SIGTERM)
        time.sleep(STARTED_S)
        during = send_all(1)
        assert host.wait(30) == 0
        runs = system.ask("records0", "/control/runs")["runs"]
        plain, keyed, whole, streamed = (failure(call.result()) for call in before)
        for status, error in (plain, keyed):
            assert (status, error["not_run"]) == (502, False)
        plain, keyed, late_whole, late_streamed = (
            failure(call.result()) for call in during
        )
        assert (plain[0], plain[1]["not_run"]) == (503, True)
        assert keyed[0] == 503
        # They were sent on before the stop began, and none of the others was.
        assert sum(map(len, runs.values())) == 2
        for status, error in (whole, late_whole):
            assert (status, error["not_run"]) == (503, False)
        for status, error in (streamed, late_streamed):
            assert (status, error["code"]) == (200, "leaving")


# Guards against SIGHUP, which ends a process that does not handle it.
def test_hangup_and_repeated_signals_cut_no_call():
    with System(engines=1, hosts=1) as system:
        system.control("records0", "fault", {"slow_ms": 2000, "lose_every": 0})
        host = system.processes["host0"]
        with ThreadPoolExecutor(1) as pool:
            call = pool.submit(post, system, "/services/records/1", {})
            time.sleep(STARTED_S)
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
                host.signal(number)
                time.sleep(0.2)
            host.signal(signal.SIGTERM)
            assert call.result().unwrap().status == 201
        assert host.wait(30) == 0
