"""Tests of requests through a complete routing host with stand-ins."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from attrs import evolve

from rosemaryyoke.exchanges import host as hosts
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import (
    read_answer,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.deployment import (
    abort_after,
    run_and_drop_answer,
    script_all,
    wait_for,
)


def test_stream_whole(deployment):
    answer = deployment.stream().responses[0]
    assert answer.complete and answer.status == 200
    assert answer.body.count(b"data: x") == 5
    assert dict(answer.headers)[b"Response-Seal"] == b"sealed"


def test_stream_told_what_only_the_router_sets(deployment):
    deployment.stream()
    (message,) = [m for engine in deployment.engines for m in engine.received]
    headers = dict(message.headers)
    assert headers[b"Tenant"] == b"t1" and b"Authorization" not in headers
    assert headers[b"Expect-Version"] == b"1"
    assert headers[b"Kv-Fetch"] == b"127.0.0.1:9"
    assert 0 < int(headers[b"Deadline-Ms"]) <= 2000


def test_stream_goes_on_at_another_engine_after_its_last_event(deployment):
    script_all(deployment.engines, abort_after(2), 200)
    answer = deployment.stream().responses[0]
    assert answer.complete
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id")]
    assert ids == [b"id: %d" % number for number in range(1, 6)]


def test_stream_that_cannot_go_on_is_cut_not_ended(deployment):
    script_all(deployment.engines, abort_after(2), abort_after(3))
    answer = deployment.stream().responses[0]
    assert answer.status == 200 and not answer.complete


def test_unsafe_request_refused_by_one_upstream_runs_at_another(deployment):
    script_all(deployment.records, 503, 200)
    answer = send_client_request(deployment.callers, "/issue/1").responses[0]
    assert answer.status == 200
    assert sum(len(plain.executed) for plain in deployment.records) == 1


def test_unsafe_request_with_a_lost_answer_is_not_sent_again(deployment):
    script_all(deployment.records, run_and_drop_answer)
    answer = send_client_request(deployment.callers, "/issue/1").responses[0]
    assert answer.status == 502
    assert sum(len(plain.received) for plain in deployment.records) == 1


def test_unsafe_request_that_nobody_takes_may_come_back(deployment):
    script_all(deployment.records, 503, 503, 503, 503)
    answer = send_client_request(deployment.callers, "/issue/1").responses[0]
    assert answer.status == 503
    assert 0 < float(dict(answer.headers)[b"Retry-After"]) < 1


def test_safe_request_repeated_after_a_failure(deployment):
    script_all(deployment.records, 500, 200)
    answer = send_client_request(deployment.callers, "/read/1", "GET").responses[0]
    assert answer.status == 200


def test_late_answer_of_an_earlier_request_is_not_taken(deployment):
    def doubled(engine, message, caller):
        engine.reply(message, caller, 200)
        late = [(b"Request-Id", b"earlier"), (b"Response-Seal", b"other")]
        caller.send_response(200, b"OK", late, b"late")

    script_all(deployment.records, doubled, doubled, 200, 200)
    for number in range(4):
        identifier = {"Request-Id": f"r{number}"}
        answer = send_client_request(
            deployment.callers, "/read/1", "GET", **identifier
        ).responses[0]
        assert (answer.status, answer.body[:7]) == (200, b"body of")


def test_unknown_route_and_key(deployment):
    assert send_client_request(deployment.callers, "/none/1").responses[0].status == 404
    unknown = {"Authorization": "Bearer nobody"}
    assert send_client_request(deployment.callers, **unknown).responses[0].status == 401


def test_requests_too_large_or_malformed(deployment):
    head = [("X-Large", "x" * 5_000)]
    assert (
        send_client_request(deployment.callers, headers=head).responses[0].status == 431
    )
    body = b"x" * 10_001
    assert send_client_request(deployment.callers, body=body).responses[0].status == 413
    assert deployment.host.kernel.get("callers").requests_in_progress == 0


def test_upstream_that_drains_gets_no_new_request(deployment):
    first = deployment.engines[0]
    entry = make_registration(str(first.address), state="draining")
    deployment.store.set("servers", first.name, entry)
    states = deployment.host.fleet.states
    wait_for(lambda: states[first.name].upstream.draining)
    before = len(first.received)
    for _ in range(6):
        assert deployment.stream().responses[0].complete
    assert len(first.received) == before


def test_caller_that_leaves_ends_the_work(deployment):
    ended = []

    def slow(engine, message, caller):
        deadline_s = time.monotonic() + 3
        while time.monotonic() < deadline_s:
            if caller.socket.recv(1) == b"":
                ended.append(True)
                return

    script_all(deployment.engines, slow)
    address = deployment.callers
    head = "\r\n".join(
        ["POST /chat/1 HTTP/1.1", "Host: a.example", "Request-Id: r1"]
        + ["Authorization: Bearer k1", "Content-Length: 0"]
        + [f"{key}: {value}" for key, value in stream_headers()]
    )
    with socket.create_connection((address.ip, address.port)) as connection:
        connection.sendall(head.encode() + b"\r\n\r\n")
        wait_for(lambda: any(engine.received for engine in deployment.engines))
    wait_for(lambda: ended, 1.0)


def test_kept_connection_answers_pipelined_requests(deployment):
    address = deployment.callers
    lines = ["GET /read/1 HTTP/1.1", "Host: a.example", "Authorization: Bearer k1"]
    request = "\r\n".join([*lines, "Request-Id: {}", "", ""])
    with socket.create_connection((address.ip, address.port)) as connection:
        both = request.format("r1") + request.format("r2")
        connection.sendall(both.encode())
        seen = [message for message in read_two(connection)]
    assert [dict(m.headers)[b"Request-Id"] for m in seen] == [b"r1", b"r2"]


def read_two(connection):
    """Return the first two responses on a connection."""
    reader = read_answer(connection)
    while len(reader.responses) < 2 or not reader.responses[1].complete:
        reader.feed(connection.recv(65_536))
    return reader.responses[:2]


def test_engine_whose_weights_were_replaced_too_long_ago_gets_nothing(deployment):
    old, new = deployment.engines
    new.version = 2
    entry = make_registration(str(new.address), version=2)
    deployment.store.set("servers", new.name, entry)
    deployment.store.set("versions", "m1", {"model": "m1", "version": 2})
    host = deployment.host
    wait_for(lambda: host.catalog.wanted.get("m1") == 2)
    wait_for(lambda: host.fleet.states[new.name].weights == {"m1": 2})
    named = host.catalog.declared_versions["m1"][-1]
    bound_s = host.settings.weights_bound_s
    host.catalog.declared_versions["m1"] = [
        evolve(named, declared_s=named.declared_s - bound_s)
    ]
    new.script = [503] * 3
    for _ in range(3):
        deployment.stream()
    assert len(old.received) == 0


def test_stop_answers_what_began_and_refuses_what_could_not_end(
    deployment, monkeypatch
):
    # Leaves 1.5 s of the grace period after the first rejection.
    monkeypatch.setattr(hosts, "STOP_SERVING_SHARE", 0.1)
    host = deployment.host
    release = threading.Event()

    def slow(engine, message, caller):
        release.wait(5)
        engine.run(message, caller)

    script_all(deployment.engines, slow)
    with ThreadPoolExecutor(4) as pool:
        running = pool.submit(deployment.stream)
        wait_for(lambda: any(engine.received for engine in deployment.engines))
        stop = pool.submit(host.shut_down)
        wait_for(lambda: host.kernel.get("callers").rejecting_requests, 2.0)
        late = send_client_request(deployment.callers, "/read/1", "GET").responses[0]
        release.set()
        assert running.result(5).responses[0].complete
        stop.result(5)
    assert late.status == 503
    assert sum(len(plain.received) for plain in deployment.records) == 0


def state_of_the_one_that_ran(deployment, parts):
    (ran,) = [part for part in parts if part.executed]
    return deployment.host.fleet.states[ran.name]


def test_upstream_that_loses_an_answer_is_held_silent(deployment):
    script_all(deployment.records, run_and_drop_answer)
    send_client_request(deployment.callers, "/issue/1")
    assert state_of_the_one_that_ran(deployment, deployment.records).silent


def test_engine_that_answers_others_meanwhile_is_slow_not_silent(deployment):
    engine = deployment.engines[0]
    state = deployment.host.fleet.states[engine.name]
    other = deployment.host.fleet.states[deployment.engines[1].name]
    other.suspect_until_s = 1e12

    def stall(engine, message, caller):
        other.suspect_until_s = 0.0
        state.prefill_reported_s = time.monotonic()
        time.sleep(1.5)
        raise OSError("response too late")

    script_all(deployment.engines, stall, 200)
    answer = deployment.stream().responses[0]
    assert answer.status == 200
    assert not state.silent and state.suspect_until_s > 0


def drop_the_connection(engine, message, caller):
    """Close an idle connection without executing the request."""
    raise OSError("connection dropped")


def test_connection_dropped_while_it_rested_says_nothing_of_its_upstream(deployment):
    only, other = (deployment.host.fleet.states[p.name] for p in deployment.records)
    other.suspect_until_s = 1e12
    assert (
        send_client_request(deployment.callers, "/read/1", "GET").responses[0].status
        == 200
    )
    opened = deployment.host.connections.opened
    script_all(deployment.records, drop_the_connection)
    assert (
        send_client_request(deployment.callers, "/read/1", "GET").responses[0].status
        == 200
    )
    assert deployment.host.connections.opened == opened + 1
    assert not only.silent and not only.suspect_until_s


def test_unsafe_request_takes_no_connection_that_rested_long(deployment):
    only, other = deployment.records
    deployment.host.fleet.states[other.name].suspect_until_s = 1e12
    assert (
        send_client_request(deployment.callers, "/read/1", "GET").responses[0].status
        == 200
    )
    opened = deployment.host.connections.opened
    assert (
        send_client_request(deployment.callers, "/issue/1").responses[0].status == 200
    )
    assert deployment.host.connections.opened == opened
    time.sleep(0.3)
    assert (
        send_client_request(deployment.callers, "/issue/1").responses[0].status == 200
    )
    assert deployment.host.connections.opened == opened + 1


# Guards against accounts that share cached prompts since their service declares no
# engine: entries without a salt are found by everyone.
def test_prompts_have_a_salt_if_the_service_declares_no_engine(deployment):
    document = make_configuration(2)
    del document["services"][0]["engine"]
    deployment.store.set("config", "main", document)
    wait_for(lambda: deployment.host.catalog.configuration.version == 2)
    for key in ("k1", "k2"):
        deployment.stream(**{"Authorization": f"Bearer {key}"})
    received = [item for engine in deployment.engines for item in engine.received]
    salts = {find_header(message.headers, b"cache-salt") for message in received}
    assert salts == {b"s:1", b"a:t2:1"}
