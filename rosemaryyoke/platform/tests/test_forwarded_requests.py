"""Requests that a host without upstreams forwards by way of another host."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from attrs import evolve

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.forwarding import Envelope
from rosemaryyoke.forwarding.envelope import FORWARDED_HEADER
from rosemaryyoke.http1 import RequestMessage
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import make_configuration
from rosemaryyoke.platform.standins.servers import send_client_request, stream_headers
from rosemaryyoke.platform.tests.cut_hosts import (
    HANGING,
    KINDS,
    REFUSING,
    RESETTING,
    SAFE,
    STREAMING,
    UNSAFE,
    CutFleet,
)
from rosemaryyoke.platform.tests.deployment import (
    abort_after,
    run_and_drop_answer,
    script_all,
    wait_for,
)

GONE_WITHIN_S = 0.5
CUT, OTHER = 0, 1


@pytest.fixture()
def fleet(request):
    fleet = CutFleet()
    fleet.start(getattr(request, "param", 2))
    fleet.cut(CUT, mode=RESETTING)
    fleet.send(CUT, SAFE)
    fleet.send(CUT, STREAMING)
    for upstream in (*fleet.engines, *fleet.records):
        upstream.received.clear()
        upstream.executed.clear()
    yield fleet
    fleet.stop()


def stream(fleet, host=CUT, **changes):
    """Send a streaming request; return its response."""
    address = fleet.hosts[host].settings.callers
    reader = send_client_request(address, headers=stream_headers(), **changes)
    return reader.responses[0]


def ids(answer):
    """Return the identifiers of the events of a stream."""
    lines = answer.body.split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


def received(fleet):
    """Return all requests that upstreams received."""
    upstreams = (*fleet.engines, *fleet.records)
    return [message for upstream in upstreams for message in upstream.received]


def forwarding_connections(fleet):
    """Return the requests that the other host serves for the cut one."""
    return fleet.hosts[OTHER].forwarded.under_way


def test_stream_is_whole_and_as_its_engine_sent_it(fleet):
    answer = stream(fleet)
    assert answer.status == 200 and answer.complete
    assert ids(answer) == [1, 2, 3, 4, 5]
    assert find_header(answer.headers, b"response-seal") == b"sealed"


def test_engine_receives_the_request_of_the_caller(fleet):
    stream(fleet, **{"Request-Id": "mine", "X-Own": "kept"})
    (message,) = received(fleet)
    headers = {key.lower(): value for key, value in message.headers}
    assert headers[b"request-id"] == b"mine" and headers[b"x-own"] == b"kept"
    assert headers[b"tenant"] == b"t1" and b"authorization" not in headers
    assert 0 < int(headers[b"deadline-ms"]) <= 2000
    assert not [name for name in headers if name.startswith(b"rosemaryyoke")]


def test_lost_answer_of_an_unsafe_request_is_no_refusal(fleet):
    # Guards against a 503 for work that ran behind another host.
    script_all(fleet.records, run_and_drop_answer)
    assert fleet.send(CUT, UNSAFE)[0] == 502
    assert len(fleet.runs()) == 1


def test_refusal_of_all_upstreams_is_told_with_a_retry_time(fleet):
    script_all(fleet.records, 503, 503, 503, 503)
    answer = send_client_request(
        fleet.hosts[CUT].settings.callers, "/issue/1"
    ).responses[0]
    assert answer.status == 503
    assert 0 < float(find_header(answer.headers, b"retry-after")) < 1
    assert not fleet.runs()


def test_failure_of_an_upstream_is_told_unchanged(fleet):
    script_all(fleet.records, 500)
    assert fleet.send(CUT, UNSAFE)[0] == 500


def test_lost_connection_to_the_other_host_is_no_refusal(fleet):
    # Guards against a 503 for what the other host may have sent on before it ended.
    reached = threading.Event()

    def hold(engine, message, caller):
        reached.set()
        time.sleep(0.3)
        engine.run(message, caller)

    script_all(fleet.records, hold)
    sockets = []
    host = fleet.hosts[OTHER]
    handle = host.forwarded.handle_request

    def remember(message, caller, envelope):
        sockets.append(caller.socket)
        handle(message, caller, envelope)

    host.forwarded.handle_request = remember

    def reset():
        reached.wait(2)
        sockets[0].shutdown(socket.SHUT_RDWR)

    threading.Thread(target=reset).start()
    assert fleet.send(CUT, UNSAFE)[0] == 502


def test_stream_goes_on_after_its_engine_breaks_off(fleet):
    script_all(fleet.engines, abort_after(2), 200)
    answer = stream(fleet)
    assert answer.complete and ids(answer) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("fleet", (3,), indirect=True)
def test_stream_goes_on_when_the_other_host_is_lost(fleet):
    # Guards against events that are missing or come twice after the change of hosts.
    taken = []
    for host in fleet.hosts[1:]:
        handle = host.forwarded.handle_request

        def handle_once(message, caller, envelope, handle=handle):
            taken.append(caller)
            handle(message, caller, envelope)

        host.forwarded.handle_request = handle_once

    def pause(engine, message, caller):
        head = caller.begin_stream(200, b"OK", engine.headers(message))
        caller.write_events(head, b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
        time.sleep(0.1)
        taken[0].socket.shutdown(socket.SHUT_RDWR)
        time.sleep(0.1)
        raise OSError("the host is gone")

    script_all(fleet.engines, pause)
    answer = stream(fleet)
    assert answer.complete and ids(answer) == [1, 2, 3, 4, 5]
    assert len(taken) == 2


def test_stream_is_taken_up_by_way_of_another_host(fleet):
    changes = {"Last-Event-Id": "2", "Resumes": "r1"}
    answer = stream(fleet, **changes)
    assert answer.complete and ids(answer) == [3, 4, 5]


def test_caller_that_leaves_ends_the_work_behind_another_host(fleet):
    ended = threading.Event()

    def wait_for_end(engine, message, caller):
        caller.socket.settimeout(2)
        if caller.socket.recv(1) == b"":
            ended.set()

    script_all(fleet.engines, wait_for_end)
    address = fleet.hosts[CUT].settings.callers
    lines = ["POST /chat/1 HTTP/1.1", "Host: a.example", "Request-Id: r1"]
    lines += ["Authorization: Bearer k1", "Content-Length: 0"]
    lines += [f"{key}: {value}" for key, value in stream_headers()]
    with socket.create_connection((address.ip, address.port)) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        wait_for(lambda: received(fleet))
    assert ended.wait(GONE_WITHIN_S)
    wait_for(lambda: not forwarding_connections(fleet))


def test_planned_stop_of_the_other_host_cuts_nothing(fleet):
    # Guards against a stop that drains callers' requests but not forwarded ones.
    script_all(
        fleet.engines, lambda engine, message, caller: slow(engine, message, caller)
    )

    def slow(engine, message, caller):
        time.sleep(0.8)
        engine.run(message, caller)

    answers = []
    sender = threading.Thread(target=lambda: answers.append(stream(fleet)))
    sender.start()
    wait_for(lambda: received(fleet))
    fleet.hosts[OTHER].shut_down()
    assert not forwarding_connections(fleet)
    sender.join()
    assert answers[0].complete and answers[0].status == 200


def test_host_that_leaves_refuses_what_is_forwarded(fleet):
    fleet.hosts[OTHER].forwarded.leaving = True
    for kind in KINDS:
        assert fleet.send(CUT, kind)[0] == 503
    assert not fleet.runs()


def test_cut_hosts_do_not_forward_in_a_loop(fleet):
    # Guards against two cut hosts that know of each other's cut too late.
    fleet.cut(CUT, OTHER, mode=HANGING)
    started_s = time.monotonic()
    for kind in KINDS:
        assert fleet.send(CUT, kind)[0] == 503
    assert time.monotonic() - started_s < 3 * len(KINDS)
    assert not fleet.hosts[CUT].forwarded.under_way


def test_host_with_an_older_configuration_takes_nothing(fleet):
    host = fleet.hosts[OTHER]
    envelope = Envelope("front", host.catalog.configuration.version + 1)
    assert answer_forwarded(host, envelope.encode()).startswith(b"HTTP/1.1 503")


def test_strangers_can_not_have_requests_forwarded(fleet):
    envelope = Envelope("front", 1).encode()
    answer = answer_forwarded(fleet.hosts[OTHER], envelope, peer="127.0.0.99")
    assert answer.startswith(b"HTTP/1.1 503") and b"unknown_host" in answer


@pytest.mark.parametrize("value", (b"", b"host", b"host=a&configuration=x&runs=1"))
def test_malformed_envelope_is_refused(fleet, value):
    answer = answer_forwarded(fleet.hosts[OTHER], value)
    assert answer.startswith(b"HTTP/1.1 400")


def answer_forwarded(host, value, peer="127.0.0.1"):
    """Return the answer of a host to a request with an envelope."""
    near, far = socket.socketpair()
    message = RequestMessage(b"/read/1", b"GET", [(FORWARDED_HEADER, value)])
    host.forwarded.handle(message, CallerConnection(near, peer))
    near.close()
    with far:
        return far.recv(65_536)


def test_caller_can_not_set_an_envelope(fleet):
    fleet.heal()
    value = Envelope("front", 10**9, 5).encode().decode()
    name = FORWARDED_HEADER.decode()
    assert fleet.send(OTHER, SAFE, **{name: value})[0] == 200


def test_more_load_than_open_connections_bear(fleet):
    fleet.heal()
    for kind in KINDS:
        wait_for(lambda: fleet.send(CUT, kind)[0] == 200)
        fleet.send_many(CUT, kind, 4)
    fleet.cut(CUT, mode=REFUSING)
    for kind in KINDS:
        assert fleet.served(CUT, kind, 40) == 40, kind


def test_change_of_the_configuration_stops_no_forwarding(fleet):
    # Guards against a host that forwards nothing until beacons tell the new version.
    for version in range(2, 6):
        fleet.store.set("config", "main", make_configuration(version))
        for _ in range(20):
            assert fleet.send(CUT, SAFE)[0] == 200


def test_service_without_upstreams_is_not_forwarded(fleet):
    fleet.heal()
    for plain in fleet.records:
        fleet.store.remove("servers", plain.name)
    for host in fleet.hosts:
        wait_for(lambda: len(host.catalog.upstreams) == len(fleet.engines))
    started_s = time.monotonic()
    assert fleet.send(CUT, SAFE)[0] == 503
    assert time.monotonic() - started_s < 0.1


def test_request_as_large_as_callers_may_send_is_served(fleet):
    # Guards against an envelope that makes a request too large for the other host.
    head = [("X-Large", "x" * 3_700)]
    address = fleet.hosts[CUT].settings.callers
    answer = send_client_request(address, "/read/1", "GET", headers=head).responses[0]
    assert answer.status == 200


# Guards against requests that a stopping host takes from another one, and can't finish.
@pytest.mark.parametrize("fleet", (3,), indirect=True)
def test_host_that_stops_leaves_forwarded_requests_to_others(fleet):
    stopping = fleet.hosts[OTHER]
    configuration = stopping.catalog.configuration.version
    envelope = Envelope("front", configuration).encode()
    stopper = threading.Thread(target=stopping.shut_down)
    stopper.start()
    wait_for(lambda: stopping.leaving)
    time.sleep(0.1)
    assert not stopping.kernel.get("callers").rejecting_requests
    assert b"leaving" in answer_forwarded(stopping, envelope)
    for kind in KINDS:
        assert fleet.served(CUT, kind, 20) == 20, kind
    stopper.join()


# Guards against requests that end unanswered with a host that had forwarded them.
@pytest.mark.parametrize("kind", (SAFE, UNSAFE))
def test_request_that_a_stopping_host_forwarded_is_answered(fleet, kind):
    released, stopping = threading.Event(), fleet.hosts[CUT]

    def hold(engine, message, caller):
        released.wait(5)
        engine.run(message, caller)

    script_all(fleet.records, hold, hold)
    stopping.settings = evolve(stopping.settings, grace_s=1.2)
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(fleet.send, CUT, kind)
        wait_for(lambda: received(fleet))
        stopping.shut_down()
        assert running.result(0.1)[0] == 502
        released.set()
