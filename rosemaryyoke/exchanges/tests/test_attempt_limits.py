"""Limits of an attempt hold while it checks an upstream or hands a request over."""

import threading
import time
from contextlib import suppress
from types import SimpleNamespace

import pytest
from result import Err

from rosemaryyoke.exchanges.connections import TCP_USER_TIMEOUT_S
from rosemaryyoke.exchanges.tests.builders import Sockets, make_attempt, make_forwarder
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.http1 import Address
from rosemaryyoke.http1.sockets import connect, listen

MAX_OVERLAP_S = 0.4
CHECK_S = 0.25


@pytest.fixture()
def sockets():
    opened = Sockets()
    yield opened
    opened.close()


# Guards against two upstreams that work on one request while a third is sought.
def test_handover_ends_in_time_when_the_next_upstream_stalls_too(sockets):
    earlier = Sockets()
    predecessor = make_attempt(earlier, streams=True, left_s=0.05)
    predecessor.connection = predecessor.pool.take()
    ends_s = []

    def await_end():
        assert earlier.upstream.recv(1) == b""
        ends_s.append(time.monotonic())

    watcher = threading.Thread(target=await_end)
    watcher.start()
    started_s = time.monotonic()
    attempt = make_attempt(
        sockets,
        streams=True,
        left_s=0.8,
        predecessor=predecessor,
        on_first_stall=lambda: time.sleep(CHECK_S),
        progress_deadline_s=started_s + 0.27,
    )
    attempt.run()
    watcher.join()
    earlier.close()
    assert ends_s[0] - started_s <= MAX_OVERLAP_S


# Guards against a caller that waits for a health check after its deadline.
def test_health_check_takes_no_longer_than_the_time_left():
    timeouts_s = []

    def report(address, timeout_s):
        timeouts_s.append(timeout_s)
        return Err("no response")

    engines = SimpleNamespace(report=report)
    forwarder = make_forwarder(engines)
    exchange = SimpleNamespace(
        request_id="r1", response_deadline_s=time.monotonic() + 0.1
    )
    attempt = SimpleNamespace(state=make_state(), started_s=0.0)
    forwarder.record_stall(exchange, attempt)
    assert timeouts_s[0] <= 0.1 and attempt.state.silent


# Guards against a connection ended because its upstream reads a long body late.
@pytest.mark.parametrize("size", [200_000, 1_000_000, 4_000_000])
def test_upstream_that_reads_late_keeps_its_connection(size):
    listener = listen(Address("127.0.0.1", 0), 1)
    sender = connect(Address(*listener.getsockname()), 1.0, TCP_USER_TIMEOUT_S)
    upstream, _ = listener.accept()
    upstream.settimeout(1.0)

    def send():
        with suppress(OSError):
            sender.sendall(b"x" * size)

    threading.Thread(target=send, daemon=True).start()
    time.sleep(2.0)
    received = 0
    with suppress(OSError):
        while received < size and (data := upstream.recv(65_536)):
            received += len(data)
    for end in (sender, upstream, listener):
        end.close()
    assert received == size
