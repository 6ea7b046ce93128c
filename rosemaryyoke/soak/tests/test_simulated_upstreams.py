"""Upstreams pause and refuse as told, and clients record how exchanges end."""

import socket
import threading
import time

import pytest

from rosemaryyoke.http1 import Address
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.http1.sockets import listen
from rosemaryyoke.platform.standins.answer_forms import AnswerForm
from rosemaryyoke.platform.standins.limited_slots import LimitedSlots
from rosemaryyoke.platform.standins.simulated_upstreams import (
    ABANDONED,
    CLOSED,
    COMPLETE,
    NOT_CONNECTED,
    RESET,
    Client,
    SimulatedUpstream,
    encode_request,
)
from rosemaryyoke.soak.invariants import event_text
from rosemaryyoke.soak.link import close_with_reset
from rosemaryyoke.testing.builders import free_port

PAUSE_S = 0.4
TIMEOUT_S = 2.0
PARTIAL = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"


@pytest.fixture()
def upstream():
    """Return an engine that sends two events."""
    upstream = SimulatedUpstream("e1", make_event=event_text, events=2)
    yield upstream
    upstream.stop()


def call(upstream, timeout_s=TIMEOUT_S):
    client = Client(upstream.address)
    started_s = time.monotonic()
    exchange = client.exchange(request_bytes(), timeout_s)
    client.close()
    return exchange, time.monotonic() - started_s


def request_bytes():
    return encode_request("r1", "/chat/1", "POST", "k1", TIMEOUT_S, True)


def serve_once(end):
    """Return the address of a server that sends half an answer and ends as told."""
    listener = listen(Address("127.0.0.1", free_port()), 1)

    def serve():
        connection, _ = listener.accept()
        connection.recv(65_536)
        connection.sendall(PARTIAL)
        end(connection)
        listener.close()

    threading.Thread(target=serve, daemon=True).start()
    return Address(*listener.getsockname())


def test_upstream_pauses_in_its_stream(upstream):
    upstream.next_event_after_s = time.monotonic() + PAUSE_S
    exchange, took_s = call(upstream, PAUSE_S / 2)
    assert exchange.ending == ABANDONED and b"r1 1" in exchange.message.body
    exchange, took_s = call(upstream)
    assert exchange.ending == COMPLETE and b"r1 2" in exchange.message.body


def test_upstream_pauses_before_it_answers(upstream):
    upstream.first_event_after_s = time.monotonic() + PAUSE_S
    exchange, took_s = call(upstream)
    assert exchange.ending == COMPLETE and took_s >= PAUSE_S


def test_upstream_refuses_while_busy(upstream):
    upstream.busy = True
    exchange, _ = call(upstream)
    assert exchange.message.status == 503
    assert find_header(exchange.message.headers, b"not-executed") == b"1"


def test_upstream_asks_for_quiet(upstream):
    upstream.busy, upstream.quiet_s = True, 1.5
    exchange, _ = call(upstream)
    assert exchange.message.status == 503
    assert find_header(exchange.message.headers, b"retry-after") == b"1.500"


def test_client_keeps_its_connection(upstream):
    client = Client(upstream.address)
    assert client.exchange(request_bytes(), TIMEOUT_S).ending == COMPLETE
    first = client.connection
    assert client.exchange(request_bytes(), TIMEOUT_S).ending == COMPLETE
    assert first is not None and client.connection is first
    client.close()


@pytest.mark.parametrize(
    "end, ending", [(socket.socket.close, CLOSED), (close_with_reset, RESET)]
)
def test_client_tells_a_reset_from_a_close(end, ending):
    exchange = Client(serve_once(end)).exchange(request_bytes(), TIMEOUT_S)
    assert exchange.ending == ending and not exchange.message.complete


def test_client_not_connected():
    client = Client(Address("127.0.0.1", free_port()))
    assert client.exchange(request_bytes(), TIMEOUT_S).ending == NOT_CONNECTED


@pytest.mark.parametrize("events", [2, 5])
def test_close_delimited_stream_is_whole(upstream, events):
    upstream.form, upstream.events = AnswerForm.CLOSE_DELIMITED, events
    exchange, _ = call(upstream)
    assert exchange.ending == COMPLETE
    expected = b"".join(event_text("r1", number + 1) for number in range(events))
    assert exchange.message.body == expected


def test_truncated_stream_ends_within_an_event(upstream):
    upstream.form, upstream.events = AnswerForm.TRUNCATED, 5
    exchange, _ = call(upstream)
    whole = b"".join(event_text("r1", number) for number in (1, 2, 3))
    body = exchange.message.body
    assert body.startswith(whole) and len(whole) < len(body)
    assert not body.endswith(b"\n\n")


def test_unbounded_answer_is_too_large(upstream):
    upstream.form, upstream.events = AnswerForm.UNBOUNDED, 5
    exchange, _ = call(upstream)
    assert not exchange.message.complete


def test_limited_slots_fall_after_too_many_refusals_in_a_second():
    falls, clock = [], [1.0]
    slots = LimitedSlots(1, 2, lambda: falls.append(clock[0]), now_s=lambda: clock[0])
    assert slots.acquire()
    for _ in range(4):
        assert not slots.acquire()
        clock[0] += 0.6
    assert not falls
    assert not slots.acquire() and not slots.acquire()
    assert falls == [clock[0]]
    slots.release()
    assert slots.acquire()
