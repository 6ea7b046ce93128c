"""The server of connections gives slots and memory to clients that make progress."""

import socket
import threading
import time
from contextlib import suppress

import pytest

from rosemaryyoke.exchanges.caller import CallerConnection, CallerDisconnected
from rosemaryyoke.exchanges.refusal_log import MAX_LINES_PER_S, RefusalLog
from rosemaryyoke.exchanges.server import ConnectionServer, RequestLimits
from rosemaryyoke.http1 import Address, MessageLimits, send_request
from rosemaryyoke.memory import MemoryBudget, Reservation
from rosemaryyoke.memory.budget import STEP_BYTES
from rosemaryyoke.memory.eviction import STALLED_S
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.testing.builders import free_port

BODY_BYTES = 4 * STEP_BYTES
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"2\r\nxx\r\n" * 2_000
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture()
def started():
    """Return a function that starts a server, and stop all of them."""
    servers = []

    def start(connections=2, budget_bytes=5 * STEP_BYTES, **options):
        def answer(message, caller):
            body = b"%d %d" % (len(message.body), message.body_bytes)
            caller.send_response(200, b"OK", [], body)

        server = ConnectionServer(
            Address("127.0.0.1", free_port()),
            answer,
            connections,
            limits=lambda: RequestLimits(MessageLimits(16_384, BODY_BYTES)),
            budget=MemoryBudget(budget_bytes, allowance_bytes=0),
            **options,
        )
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()
        server.close_idle()


def connect(server, data=b""):
    """Return a connection on which some bytes were sent."""
    connection = socket.create_connection((server.address.ip, server.address.port))
    connection.settimeout(5)
    connection.sendall(data)
    return connection


def read_all(connection):
    """Return what arrives until the connection is closed."""
    received = b""
    try:
        while data := connection.recv(65_536):
            received += data
    except ConnectionError:
        pass
    return received


# Guards against a host whose slots are all taken by clients that stopped sending.
def test_stalled_connection_is_closed_for_a_new_one(started):
    server = started()
    stalled = [connect(server, HEAD % 100 + b"x") for _ in range(2)]
    wait_for(lambda: len(server.reservations) == 2)
    time.sleep(STALLED_S + 0.1)
    assert send_request(server.address, "GET", "/", timeout_s=3).ok_value.ok
    assert server.budget.evictions["connection_body"] == 1
    for connection in stalled:
        connection.close()


# Guards against an idle client that takes the refusal for the response to its next
# request.
def test_idle_connection_is_closed_without_a_response(started):
    server = started(connections=1)
    idle = connect(server, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    assert idle.recv(1_000).startswith(b"HTTP/1.1 200")
    wait_for(lambda: server.idle_sockets)
    assert send_request(server.address, "GET", "/", timeout_s=3).ok_value.ok
    assert read_all(idle) == b""


# Guards against a slot that is taken from a request in progress.
def test_connection_is_refused_if_all_make_progress(started):
    server = started(connections=1)
    with connect(server, HEAD % 100 + b"x"):
        wait_for(lambda: server.reservations)
        assert send_request(server.address, "GET", "/").ok_value.status == 503
    assert server.budget.refusals["connections"] == 1


# Guards against a silent client with a large body that keeps out all others.
def test_evicted_request_is_refused_truthfully(started):
    server = started(connections=4)
    silent = connect(server, HEAD % BODY_BYTES + b"x" * (BODY_BYTES - 10))
    wait_for(lambda: server.budget.reserved_bytes > 3 * STEP_BYTES)
    time.sleep(STALLED_S + 0.1)
    body = b"x" * (BODY_BYTES // 2)
    reply = send_request(server.address, "POST", "/", body, timeout_s=5)
    assert reply.ok_value.body == b"%d %d" % (len(body), len(body))
    refusal = read_all(silent)
    assert refusal.startswith(b"HTTP/1.1 503") and b"no_memory" in refusal
    assert b"Retry-After" in refusal and b"Connection: close" in refusal
    wait_for(lambda: server.budget.reserved_bytes == 0)


# Guards against bodies that are held although nobody needs them.
def test_body_that_is_not_needed_is_counted_and_dropped(started):
    server = started(needs_body=lambda message, caller: False)
    body = b"x" * (BODY_BYTES - 1)
    reply = send_request(server.address, "POST", "/", body, timeout_s=5)
    assert reply.ok_value.body == b"0 %d" % len(body)
    body = b"x" * (BODY_BYTES + 1)
    assert send_request(server.address, "POST", "/", body).ok_value.status == 413


# Guards against clients that are made to wait for their body to be asked for, or whose
# connection is not kept.
def test_well_behaved_client_is_served_as_before(started):
    server = started()
    head = HEAD.replace(b"\r\n\r\n", b"\r\nExpect: 100-continue\r\n\r\n")
    with connect(server, head % BODY_BYTES) as connection:
        assert connection.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        connection.sendall(b"x" * BODY_BYTES)
        assert b"%d %d" % (BODY_BYTES, BODY_BYTES) in connection.recv(1_000)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
        received = b""
        while received.count(b"HTTP/1.1 200") < 2:
            received += connection.recv(1_000)
    wait_for(lambda: server.budget.reserved_bytes == 0)


# Guards against a client that names a late deadline and never reads its response.
def test_unread_response_ends_after_the_stall(started):
    own, peer = socket.socketpair()
    with own, peer:
        caller = CallerConnection(own, write_stall_s=0.2)
        caller.write_deadline_s = time.monotonic() + 60.0
        with pytest.raises(CallerDisconnected):
            caller.send_response(200, b"OK", [], b"x" * 8_000_000)
        assert time.monotonic() < caller.write_deadline_s - 50.0
        assert caller.reservation.needed_bytes == 0


# Guards against a log that is flooded by refusals.
def test_refusals_are_logged_a_few_times_a_second():
    log = RefusalLog()
    admitted = [log.admit(10.0 + step / 1_000) for step in range(100)]
    assert admitted.count(0) == MAX_LINES_PER_S
    assert log.admit(11.0) == 100 - MAX_LINES_PER_S and log.admit(11.1) == 0


# Guards against clients that keep every slot by bodies that are costly to parse.
def test_costly_connection_is_closed_for_a_new_one(started):
    server = started(connections=1)
    with connect(server, CHUNKED_HEAD + TINY_CHUNKS) as costly:
        wait_for(lambda: any(item.is_costly for item in server.reservations))
        assert send_request(server.address, "GET", "/", timeout_s=3).ok_value.ok
        assert read_all(costly).startswith(b"HTTP/1.1 503")


# Guards against an evicted connection that waits for its turn and keeps its slot.
def test_evicted_connection_does_not_wait_for_its_turn(started):
    server = started(connections=1)
    with server.costly_turns.turn(Reservation(server.budget)) as granted:
        assert granted
        with connect(server, CHUNKED_HEAD + TINY_CHUNKS) as costly:
            wait_for(lambda: server.costly_turns.waiting)
            assert send_request(server.address, "GET", "/", timeout_s=3).ok_value.ok
            assert read_all(costly).startswith(b"HTTP/1.1 503")


# Guards against heads of very many fields that are not served, or lose their body.
@pytest.mark.parametrize(
    "end",
    [
        b"Content-Length: 20000\r\n\r\n" + b"x" * 20_000,
        b"Transfer-Encoding: chunked\r\n\r\n" + b"2\r\nxx\r\n" * 10_000 + b"0\r\n\r\n",
    ],
    ids=["length", "chunks"],
)
def test_costly_head_is_served_in_calm(started, end):
    server = started()
    head = b"POST / HTTP/1.1\r\nHost: a\r\n" + b"a: b\r\n" * 500
    with connect(server, (head + end) * 2) as connection:
        received = b""
        while received.count(b"20000 20000") < 2:
            assert (data := connection.recv(1_000))
            received += data
    wait_for(lambda: not server.costly_turns.busy)


# Guards against refusing what a single client may send.
def test_costly_body_is_served_in_calm(started):
    server = started()
    with connect(server, CHUNKED_HEAD + TINY_CHUNKS * 10 + b"0\r\n\r\n") as connection:
        assert b"40000 40000" in connection.recv(1_000)
    wait_for(lambda: not server.costly_turns.busy)


# Guards against connections that keep every slot by sending requests ahead.
def test_connection_with_requests_ahead_makes_room_for_others(started):
    server = started(connections=1)
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    with connect(server) as greedy:
        stopped = threading.Event()

        def send_ahead():
            with suppress(OSError):
                while not stopped.is_set():
                    greedy.sendall(request * 100)

        received = []
        reader = threading.Thread(target=lambda: received.append(read_all(greedy)))
        sender = threading.Thread(target=send_ahead)
        reader.start()
        sender.start()
        wait_for(lambda: server.requests_in_progress)

        def is_served():
            reply = send_request(server.address, "GET", "/", timeout_s=3)
            return reply.is_ok() and reply.ok_value.ok

        try:
            wait_for(is_served, 5.0)
        finally:
            stopped.set()
            with suppress(OSError):  # the server has closed it
                greedy.shutdown(socket.SHUT_RDWR)
            sender.join()
            reader.join()
    assert b"Connection: close" in received[0][-300:]
