"""Engines that announce their leaving or ask for a pause, through a routing host."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import orjson
import pytest

from rosemaryyoke.platform.standins.documents import make_registration
from rosemaryyoke.platform.standins.servers import (
    read_answer,
    refuse_and_pause,
    send_client_request,
)
from rosemaryyoke.platform.standins.simulated_upstreams import SimulatedUpstream
from rosemaryyoke.platform.tests.deployment import (
    abort_after,
    start_host,
    wait_for,
)

NOT_EXECUTED = [(b"Not-Executed", b"1")]
REQUESTS = 8
FOREVER_S = 1e12


def state_of(deployment, upstream):
    return deployment.host.fleet.states[upstream.name]


def reach_first(deployment, upstreams, send):
    """Send a request while only the first upstream is usable; return the response."""
    first, other = upstreams
    before = len(first.received)
    state_of(deployment, other).suspect_until_s = FOREVER_S
    reader = send()
    state_of(deployment, other).suspect_until_s = 0.0
    assert len(first.received) == before + 1
    return reader


def read(deployment):
    return send_client_request(deployment.callers, "/read/1", "GET")


def read_on_kept_connection(deployment, count):
    """Send requests one after another on a connection; return their statuses."""
    address = deployment.callers
    lines = ["GET /read/1 HTTP/1.1", "Host: a.example", "Authorization: Bearer k1"]
    statuses = []
    with socket.create_connection((address.ip, address.port), 2) as connection:
        for number in range(count):
            head = "\r\n".join([*lines, f"Request-Id: r{number}", "", ""])
            connection.sendall(head.encode())
            statuses.append(read_answer(connection).responses[0].status)
    return statuses


def forget_failures(deployment, upstreams):
    """Forget failed answers, so that only notices keep requests away."""
    for upstream in upstreams:
        state = state_of(deployment, upstream)
        state.failures, state.suspect_until_s, state.error_share = 0, 0.0, 0.0
        state.silent = False


def test_leaving_engine_gets_nothing_on_kept_connections(deployment):
    first, other = deployment.records
    first.leaving = True
    reach_first(deployment, deployment.records, lambda: read(deployment))
    assert read_on_kept_connection(deployment, REQUESTS) == [200] * REQUESTS
    assert len(first.received) == 1 and len(other.received) == REQUESTS


def test_stream_announces_leaving_with_its_head(deployment):
    """Pattern: an engine leaves while its stream goes on for seconds."""
    first, other = deployment.engines
    release = threading.Event()

    def announce_and_hold(engine, message, caller):
        headers = [*engine.headers(message), (b"Server-Leaving", b"1")]
        head = caller.begin_stream(200, b"OK", headers)
        caller.write_events(head, b"id: 1\ndata: x\n\n")
        release.wait(5)
        caller.end_stream(b"")

    first.script = [announce_and_hold]
    state_of(deployment, other).suspect_until_s = FOREVER_S
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(deployment.stream)
        wait_for(lambda: state_of(deployment, first).last_byte_s)
        time.sleep(0.05)
        state_of(deployment, other).suspect_until_s = 0.0
        for _ in range(REQUESTS):
            assert deployment.stream().responses[0].complete
        assert len(first.received) == 1
        release.set()
        assert running.result(5).responses[0].complete


@pytest.mark.parametrize("status, headers", [(503, NOT_EXECUTED), (500, [])])
def test_refusal_or_failure_announces_leaving(deployment, status, headers):
    first, other = deployment.records

    def announce(engine, message, caller):
        engine.reply(message, caller, status, [*headers, (b"Server-Leaving", b"1")])

    first.script = [announce]
    reach_first(deployment, deployment.records, lambda: read(deployment))
    forget_failures(deployment, deployment.records)
    assert read_on_kept_connection(deployment, REQUESTS) == [200] * REQUESTS
    assert len(first.received) == 1


def test_stream_that_breaks_off_announces_leaving(deployment):
    first, other = deployment.engines

    def announce_and_abort(engine, message, caller):
        engine.leaving = True
        engine.run(message, caller, events=2, finish=False)

    first.script = [announce_and_abort]
    reach_first(deployment, deployment.engines, deployment.stream)
    forget_failures(deployment, deployment.engines)
    state_of(deployment, other).suspect_until_s = FOREVER_S
    for _ in range(REQUESTS):
        assert deployment.stream().responses[0].complete
    assert len(first.received) == 1


def test_stream_is_not_resumed_at_leaving_engine(deployment):
    first, other = deployment.engines
    first.leaving = True
    reach_first(deployment, deployment.engines, deployment.stream)
    other.script = [abort_after(2)]
    answer = deployment.stream().responses[0]
    assert answer.status == 200 and not answer.complete
    assert len(first.received) == 1


def test_ready_registration_does_not_undo_the_announcement(deployment):
    first, other = deployment.records
    first.leaving = True
    reach_first(deployment, deployment.records, lambda: read(deployment))
    entry = make_registration(str(first.address), "records", slots=7)
    deployment.store.set("servers", first.name, entry)
    wait_for(lambda: state_of(deployment, first).upstream.slots == 7)
    assert read_on_kept_connection(deployment, REQUESTS) == [200] * REQUESTS
    assert len(first.received) == 1


def test_engine_that_starts_again_under_its_name_gets_requests(deployment):
    first, other = deployment.records
    first.leaving = True
    reach_first(deployment, deployment.records, lambda: read(deployment))
    for born in (1, 2):
        entry = make_registration(str(first.address), "records", born=born)
        deployment.store.set("servers", first.name, entry)
        wait_for(lambda: state_of(deployment, first).upstream.born_ms == born)
        assert state_of(deployment, first).draining == (born == 1)
    first.leaving = False
    reach_first(deployment, deployment.records, lambda: read(deployment))
    assert not state_of(deployment, first).draining


def test_other_host_learns_that_an_engine_leaves(deployment):
    first = deployment.records[0]
    other = start_host(deployment.store, [deployment.host.settings.peers])
    try:
        wait_for(lambda: other.is_ready() and other.table.live_peers(time.monotonic()))
        first.leaving = True
        reach_first(deployment, deployment.records, lambda: read(deployment))
        wait_for(lambda: other.fleet.states[first.name].draining)
    finally:
        other.kernel.stop()


@pytest.mark.parametrize("headers", [NOT_EXECUTED, []])
def test_engine_gets_nothing_until_its_retry_after_ends(deployment, headers):
    """Pattern: an engine refuses, and says for how long it wants nothing."""
    first, other = deployment.records
    first.script = [refuse_and_pause(1.2, headers)]
    reach_first(deployment, deployment.records, lambda: read(deployment))
    refused_s = time.monotonic()
    other.script = [500] * 100
    while time.monotonic() < refused_s + 0.7:
        forget_failures(deployment, deployment.records)
        read(deployment)
    assert len(first.received) == 1
    other.script.clear()
    time.sleep(max(0.0, refused_s + 1.3 - time.monotonic()))
    forget_failures(deployment, deployment.records)
    reach_first(deployment, deployment.records, lambda: read(deployment))


def test_retry_after_of_other_answers_is_no_pause(deployment):
    first, other = deployment.records

    def reply(engine, message, caller):
        engine.reply(message, caller, 429, [(b"Retry-After", b"60")])

    first.script = [reply]
    reach_first(deployment, deployment.records, lambda: read(deployment))
    assert not state_of(deployment, first).notices.paused(time.monotonic())


def test_paused_silent_engine_is_not_probed(deployment):
    first, other = deployment.records
    first.script = [refuse_and_pause(5)]
    reach_first(deployment, deployment.records, lambda: read(deployment))
    other.script = [500] * 100
    for _ in range(3 * REQUESTS):
        forget_failures(deployment, deployment.records)
        state_of(deployment, first).silent = True
        read(deployment)
    assert len(first.received) == 1


def test_stream_is_not_resumed_at_paused_engine(deployment):
    first, other = deployment.engines
    first.script = [refuse_and_pause(5)]
    reach_first(deployment, deployment.engines, deployment.stream)
    forget_failures(deployment, deployment.engines)
    other.script = [abort_after(2)]
    answer = deployment.stream().responses[0]
    assert answer.status == 200 and not answer.complete
    assert len(first.received) == 1


def test_request_with_only_quiet_engines_is_rejected_with_the_earliest_end(deployment):
    first, other = deployment.records
    first.script, other.script = [refuse_and_pause(4)], [refuse_and_pause(1.5)]
    for _ in range(REQUESTS):
        started_s = time.monotonic()
        answer = send_client_request(deployment.callers, "/issue/1").responses[0]
        assert answer.status == 503 and time.monotonic() - started_s < 1.0
        assert 1.0 < float(dict(answer.headers)[b"Retry-After"]) < 2.0
    assert len(first.received) == len(other.received) == 1


@pytest.mark.parametrize("value", [b"soon", b"-2", b"inf", b"1e3", b"9" * 400])
def test_malformed_retry_after_is_ignored(deployment, caplog, value):
    caplog.set_level("INFO", logger="absl")
    first, other = deployment.records
    first.script = [refuse_and_pause(value)]
    reach_first(deployment, deployment.records, lambda: read(deployment))
    forget_failures(deployment, deployment.records)
    reach_first(deployment, deployment.records, lambda: read(deployment))
    messages = [record.getMessage() for record in caplog.records]
    assert messages.count("malformed retry time ignored") == 1


@pytest.fixture()
def simulated():
    upstream = SimulatedUpstream("s1")
    yield upstream
    upstream.stop()


def test_simulated_upstream_announces_leaving_in_all_answers(simulated):
    order = {"version": 1, "holder": "h1", "fencingToken": 1}
    calls = [
        ("/health", "GET", b""),
        ("/report", "GET", b""),
        ("/order", "POST", orjson.dumps(order)),
        ("/read/1", "GET", b""),
    ]
    for leaving in (False, True):
        simulated.leaving = leaving
        for path, method, body in calls:
            reader = send_client_request(simulated.address, path, method, body=body)
            answer = reader.responses[0]
            assert ((b"Server-Leaving", b"1") in answer.headers) is leaving
            assert answer.status == (503 if leaving and path == "/health" else 200)


def test_simulated_upstream_refuses_by_its_script(simulated):
    simulated.script = [refuse_and_pause(0.5)]
    refused, run = (
        send_client_request(simulated.address, "/read/1", "GET").responses[0]
        for _ in range(2)
    )
    assert (refused.status, run.status) == (503, 200)
    assert dict(refused.headers)[b"Retry-After"] == b"0.5"
