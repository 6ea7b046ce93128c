"""A whole routing host on loopback, between stand-ins of the platform."""

import logging
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import orjson
import pytest
from attrs import define, evolve

from rosemaryyoke.core.logs import LogWriter
from rosemaryyoke.exchanges.host import RoutingHost
from rosemaryyoke.http1 import Address, call_once
from rosemaryyoke.platform.adapter import make_adapter
from rosemaryyoke.platform.settings_file import read_settings
from rosemaryyoke.platform.tests.builders import (
    make_configuration,
    make_entry,
    make_settings,
)
from rosemaryyoke.platform.tests.standins import (
    EngineStandin,
    StoreStandin,
    ask,
    free_port,
    read_answer,
    stream_headers,
)
from rosemaryyoke.timeline.log_lines import follow_request, read_logs

PORTS = 6


def wait_for(condition, timeout_s=5.0):
    """Wait until a condition holds."""
    until_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until_s, "not in time"
        time.sleep(0.01)


@define(eq=False)
class Deployment:
    """A store, two engines, two plain upstreams and one host."""

    store: StoreStandin
    engines: list[EngineStandin]
    records: list[EngineStandin]
    host: RoutingHost

    @property
    def callers(self) -> Address:
        """Return the address of callers."""
        return self.host.settings.callers

    def stream(self, **options):
        """Return the answer to a request for a stream."""
        return ask(self.callers, headers=stream_headers(), **options)


def start_host(store, seeds=()):
    """Return a host that serves."""
    document = make_settings(port=free_port(PORTS), store=str(store.address))
    document["seeds"] = [str(seed) for seed in seeds]
    document["nodeName"] = f"front-{document['listen']['front']}"
    settings = evolve(read_settings(document), metrics_port=0)
    host = RoutingHost(settings, make_adapter(settings))
    host.kernel.start()
    host.timer.every(0.1, host.transfer.fetch)
    host.timer.every(0.1, host.follower.expire_lapsed)
    return host


@pytest.fixture()
def deployment():
    store = StoreStandin()
    engines = [EngineStandin(f"e{number}") for number in (1, 2)]
    records = [EngineStandin(f"p{number}") for number in (1, 2)]
    store.set("config", "main", make_configuration())
    for engine in engines:
        store.set("servers", engine.name, make_entry(str(engine.address)))
    for plain in records:
        entry = make_entry(str(plain.address), "records")
        store.set("servers", plain.name, entry)
    host = start_host(store)
    wait_for(host.is_ready)
    yield Deployment(store, engines, records, host)
    host.kernel.stop()
    for part in (store, *engines, *records):
        part.stop()


def script_all(upstreams, *steps):
    """Let whichever upstream is asked first follow the script, then the next."""
    script = list(steps)
    for upstream in upstreams:
        upstream.script = script


def break_off(events):
    """Return a step that sends some events and breaks off."""

    def step(engine, message, caller):
        engine.run(message, caller, events=events, finish=False)

    return step


def silent_close(engine, message, caller):
    """Run the request and lose its answer."""
    engine.ran.append(b"")
    raise OSError("the answer is lost")


def test_stream_whole(deployment):
    answer = deployment.stream().messages[0]
    assert answer.complete and answer.status == 200
    assert answer.body.count(b"data: x") == 5
    assert dict(answer.headers)[b"Response-Seal"] == b"sealed"


def test_stream_told_what_only_the_router_sets(deployment):
    deployment.stream()
    (message,) = [m for engine in deployment.engines for m in engine.seen]
    headers = dict(message.headers)
    assert headers[b"Tenant"] == b"t1" and b"Authorization" not in headers
    assert headers[b"Expect-Version"] == b"1"
    assert headers[b"Kv-Fetch"] == b"127.0.0.1:9"
    assert 0 < int(headers[b"Deadline-Ms"]) <= 2000


def test_stream_goes_on_at_another_engine_after_its_last_event(deployment):
    script_all(deployment.engines, break_off(2), 200)
    answer = deployment.stream().messages[0]
    assert answer.complete
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id")]
    assert ids == [b"id: %d" % number for number in range(1, 6)]


def test_stream_that_cannot_go_on_is_cut_not_ended(deployment):
    script_all(deployment.engines, break_off(2), break_off(3))
    answer = deployment.stream().messages[0]
    assert answer.status == 200 and not answer.complete


def test_unsafe_request_refused_by_one_upstream_runs_at_another(deployment):
    script_all(deployment.records, 503, 200)
    answer = ask(deployment.callers, "/issue/1").messages[0]
    assert answer.status == 200
    assert sum(len(plain.ran) for plain in deployment.records) == 1


def test_unsafe_request_with_a_lost_answer_is_not_sent_again(deployment):
    script_all(deployment.records, silent_close)
    answer = ask(deployment.callers, "/issue/1").messages[0]
    assert answer.status == 502
    assert sum(len(plain.seen) for plain in deployment.records) == 1


def test_unsafe_request_that_nobody_takes_may_come_back(deployment):
    script_all(deployment.records, 503, 503, 503, 503)
    answer = ask(deployment.callers, "/issue/1").messages[0]
    assert answer.status == 503
    assert 0 < float(dict(answer.headers)[b"Retry-After"]) < 1


def test_safe_request_repeated_after_a_failure(deployment):
    script_all(deployment.records, 500, 200)
    answer = ask(deployment.callers, "/read/1", "GET").messages[0]
    assert answer.status == 200


def test_late_answer_of_an_earlier_request_is_not_taken(deployment):
    def doubled(engine, message, caller):
        engine.reply(message, caller, 200)
        late = [(b"Request-Id", b"earlier"), (b"Response-Seal", b"other")]
        caller.answer(200, b"OK", late, b"late")

    script_all(deployment.records, doubled, doubled, 200, 200)
    for number in range(4):
        identifier = {"Request-Id": f"r{number}"}
        answer = ask(deployment.callers, "/read/1", "GET", **identifier).messages[0]
        assert (answer.status, answer.body[:7]) == (200, b"body of")


def test_unknown_route_and_key(deployment):
    assert ask(deployment.callers, "/none/1").messages[0].status == 404
    unknown = {"Authorization": "Bearer nobody"}
    assert ask(deployment.callers, **unknown).messages[0].status == 401


def test_unknown_key_is_not_refused_for_good_without_the_store(deployment):
    deployment.store.down = True
    wait_for(lambda: not deployment.host.catalog.is_fresh())
    unknown = {"Authorization": "Bearer nobody"}
    answer = ask(deployment.callers, **unknown).messages[0]
    assert answer.status == 503


def test_requests_too_large_or_malformed(deployment):
    head = [("X-Large", "x" * 5_000)]
    assert ask(deployment.callers, headers=head).messages[0].status == 431
    body = b"x" * 10_001
    assert ask(deployment.callers, body=body).messages[0].status == 413
    assert deployment.host.kernel.get("callers").answering == 0


def test_request_without_a_configuration_may_come_back():
    store = StoreStandin()
    host = start_host(store)
    try:
        assert ask(host.settings.callers).messages[0].status == 503
        reply = call_once(host.settings.readiness, "GET", "/readiness").unwrap()
        assert reply.status == 503
    finally:
        host.kernel.stop()
        store.stop()


def test_configuration_changes_and_never_goes_back(deployment):
    newer = make_configuration(9)
    newer["routes"][0]["pathPrefix"] = "/moved/"
    deployment.store.set("config", "main", newer)
    wait_for(lambda: deployment.host.catalog.configuration.version == 9)
    deployment.store.set("config", "main", make_configuration(8))
    time.sleep(0.2)
    assert ask(deployment.callers, "/chat/1").messages[0].status == 404
    moved = ask(deployment.callers, "/moved/1", headers=stream_headers())
    assert moved.messages[0].status == 200


def test_malformed_configuration_leaves_the_last_good_one(deployment):
    deployment.store.set("config", "main", {"version": 10})
    deployment.store.set("servers", "broken", {"service": 7})
    time.sleep(0.2)
    assert deployment.host.catalog.configuration.version == 1
    assert deployment.stream().messages[0].complete


def test_history_that_is_gone_leads_to_a_new_listing(deployment):
    deployment.store.set("versions", "m1", {"model": "m1", "version": 3})
    deployment.store.forget_history()
    deployment.store.set("config", "main", make_configuration(4))
    wait_for(lambda: deployment.host.catalog.configuration.version == 4)


def test_store_that_fails_and_returns_is_followed_again(deployment):
    deployment.store.down = True
    wait_for(lambda: not deployment.host.catalog.is_fresh())
    assert deployment.stream().messages[0].complete
    deployment.store.down = False
    deployment.store.set("config", "main", make_configuration(5))
    wait_for(lambda: deployment.host.catalog.configuration.version == 5)
    wait_for(deployment.host.catalog.is_fresh)


def test_upstream_that_drains_gets_no_new_request(deployment):
    first = deployment.engines[0]
    entry = make_entry(str(first.address), state="draining")
    deployment.store.set("servers", first.name, entry)
    states = deployment.host.fleet.states
    wait_for(lambda: states[first.name].upstream.draining)
    before = len(first.seen)
    for _ in range(6):
        assert deployment.stream().messages[0].complete
    assert len(first.seen) == before


def test_caller_that_leaves_ends_the_work(deployment):
    ended = []

    def slow(engine, message, caller):
        until_s = time.monotonic() + 3
        while time.monotonic() < until_s:
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
        wait_for(lambda: any(engine.seen for engine in deployment.engines))
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
    """Return the first two answers of a connection."""
    reader = read_answer(connection)
    while len(reader.messages) < 2 or not reader.messages[1].complete:
        reader.feed(connection.recv(65_536))
    return reader.messages[:2]


def test_lookup_names_live_hosts_and_leaves_out_one_that_stops(deployment):
    other = start_host(deployment.store, [deployment.host.settings.peers])
    try:
        directory = deployment.host.settings.directory
        target = "/lookup?name=a.example&region=r1&zone=z1"

        def addresses():
            reply = call_once(directory, "GET", target).unwrap()
            return set(orjson.loads(reply.body)["addresses"])

        both = {str(deployment.callers), str(other.settings.callers)}
        wait_for(lambda: addresses() == both)
        other.leaving = True
        other.beacons.send_now()
        wait_for(lambda: addresses() == {str(deployment.callers)})
        reply = call_once(other.settings.readiness, "GET", "/readiness").unwrap()
        assert reply.status == 503
    finally:
        other.kernel.stop()


def test_host_that_starts_without_the_store_learns_from_another(deployment):
    closed = StoreStandin()
    closed.down = True
    other = start_host(closed, [deployment.host.settings.peers])
    try:
        wait_for(other.is_ready)
        answer = ask(other.settings.callers, headers=stream_headers())
        assert answer.messages[0].complete
        unknown = {"Authorization": "Bearer nobody"}
        assert ask(other.settings.callers, **unknown).messages[0].status == 401
    finally:
        other.kernel.stop()
        closed.stop()


def test_hosts_beyond_the_watchers_hear_of_upstreams_from_one(deployment):
    seeds = [deployment.host.settings.peers]
    others = [start_host(deployment.store, seeds) for _ in range(3)]
    hosts = [deployment.host, *others]
    try:
        wait_for(
            lambda: all(len(host.table.live(time.monotonic())) == 3 for host in hosts)
        )
        wait_for(lambda: sum(bool(host.relay.generation) for host in hosts) == 2, 8.0)
        first = deployment.engines[0]
        entry = make_entry(str(first.address), state="draining")
        deployment.store.set("servers", first.name, entry)
        wait_for(
            lambda: all(host.catalog.upstreams[first.name].draining for host in hosts),
            2.0,
        )
        deployment.store.down = True
        wait_for(lambda: not any(host.catalog.is_fresh() for host in hosts), 5.0)
        deployment.store.down = False
        wait_for(lambda: all(host.catalog.is_fresh() for host in hosts), 8.0)
    finally:
        for host in others:
            host.kernel.stop()


@pytest.fixture()
def logged(tmp_path):
    """Return a reader of what the hosts of this process log meanwhile."""
    path = tmp_path / "host.log"
    with path.open("w") as stream:
        writer = LogWriter("h1", stream)
        root = logging.getLogger()
        level = root.level
        root.addHandler(writer.handler)
        root.setLevel(logging.INFO)
        logging.getLogger("absl").setLevel(logging.INFO)
        writer.start()

        def follow(request):
            writer.drain(1.0)
            time.sleep(0.05)
            return follow_request(read_logs([path]), request)

        yield follow
        root.removeHandler(writer.handler)
        root.setLevel(level)


def test_cause_of_a_refusal_is_in_the_logs(deployment, logged):
    script_all(deployment.records, 503, 503, 503, 503)
    ask(deployment.callers, "/issue/1", **{"Request-Id": "c1"})
    events = logged("c1")
    assert [event.message for event in events][-1] == "refused"
    assert events[-1].fields["code"] == "no_upstream"
    failed = [event for event in events if event.message == "attempt failed"]
    assert failed and all(event.fields["not_run"] for event in failed)


def test_cause_of_a_cut_stream_is_in_the_logs(deployment, logged):
    script_all(deployment.engines, break_off(2), break_off(3))
    deployment.stream(**{"Request-Id": "c2"})
    events = logged("c2")
    assert [event.message for event in events] == [
        "placed",
        "attempt failed",
        "placed",
        "attempt failed",
        "stream cut",
    ]
    reasons = [event.fields.get("reason", "") for event in events]
    assert any("closed" in reason or "lost" in reason for reason in reasons)


def test_cause_of_an_unknown_outcome_is_in_the_logs(deployment, logged):
    script_all(deployment.records, silent_close)
    ask(deployment.callers, "/issue/1", **{"Request-Id": "c3"})
    placed, failed, refused = logged("c3")
    assert failed.fields["may_have_run"] and refused.fields["status"] == 502
    assert placed.fields["upstream"] == failed.fields["upstream"]


def test_engine_whose_weights_were_replaced_too_long_ago_gets_nothing(deployment):
    old, new = deployment.engines
    new.version = 2
    entry = make_entry(str(new.address), version=2)
    deployment.store.set("servers", new.name, entry)
    deployment.store.set("versions", "m1", {"model": "m1", "version": 2})
    host = deployment.host
    wait_for(lambda: host.catalog.wanted.get("m1") == 2)
    wait_for(lambda: host.fleet.states[new.name].weights == {"m1": 2})
    named = host.catalog.named["m1"][-1]
    bound_s = host.settings.weights_bound_s
    host.catalog.named["m1"] = [evolve(named, since_s=named.since_s - bound_s)]
    new.script = [503] * 3
    for _ in range(3):
        deployment.stream()
    assert len(old.seen) == 0


def test_stop_answers_what_began_and_refuses_what_could_not_end(deployment):
    host = deployment.host
    release = threading.Event()

    def slow(engine, message, caller):
        release.wait(5)
        engine.run(message, caller)

    script_all(deployment.engines, slow)
    with ThreadPoolExecutor(4) as pool:
        began = pool.submit(deployment.stream)
        wait_for(lambda: any(engine.seen for engine in deployment.engines))
        stop = pool.submit(host.shut_down)
        wait_for(lambda: host.kernel.get("callers").refusing, 2.0)
        late = ask(deployment.callers, "/read/1", "GET").messages[0]
        release.set()
        assert began.result(5).messages[0].complete
        stop.result(5)
    assert late.status == 503
    assert sum(len(plain.seen) for plain in deployment.records) == 0
