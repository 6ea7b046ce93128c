"""Responses of many attempts at once do not exhaust a host's memory."""

import gc
import threading
import weakref

import pytest

from rosemaryyoke.exchanges.attempt import AttemptFailed, ResponseReceived
from rosemaryyoke.exchanges.response_memory import (
    SMALL_RESPONSE_BYTES,
    ResponseMemory,
)
from rosemaryyoke.exchanges.tests.builders import RESPONSE, Sockets, make_attempt

CLOSE_DELIMITED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
MIB = 1024 * 1024


@pytest.fixture()
def sockets():
    opened = Sockets()
    yield opened
    opened.close()


def send_and_close(sockets, size):
    """Read the request and send a response without framing, from a thread."""

    def send():
        sockets.upstream.recv(64)
        try:
            sockets.upstream.sendall(CLOSE_DELIMITED_HEAD + b"x" * size)
        except OSError:
            pass
        sockets.upstream.close()

    threading.Thread(target=send, daemon=True).start()


def test_response_that_does_not_fit_fails(sockets):
    memory = ResponseMemory(limit_bytes=4 * MIB)
    memory.resize(0, 3 * MIB)
    send_and_close(sockets, 2 * MIB)
    outcome = make_attempt(sockets, memory=memory).run()
    assert isinstance(outcome, AttemptFailed) and "memory" in outcome.reason
    assert outcome.health_recorded  # the upstream is not at fault
    assert memory.held_bytes == 3 * MIB


def test_response_that_fits_is_received(sockets):
    memory = ResponseMemory(limit_bytes=4 * MIB)
    send_and_close(sockets, 2 * MIB)
    outcome = make_attempt(sockets, memory=memory).run()
    assert isinstance(outcome, ResponseReceived)
    assert len(outcome.message.body) == 2 * MIB
    assert memory.held_bytes == 0


# Guards against answers of usual size that fail since an upstream sends too much.
def test_small_response_always_fits(sockets):
    memory = ResponseMemory(limit_bytes=4 * MIB)
    memory.resize(0, 8 * MIB)
    sockets.upstream.sendall(RESPONSE)
    assert isinstance(make_attempt(sockets, memory=memory).run(), ResponseReceived)
    assert memory.resize(0, SMALL_RESPONSE_BYTES)
    assert not memory.resize(0, SMALL_RESPONSE_BYTES + 1)


def test_partial_event_counts_until_the_stream_ends(sockets):
    memory = ResponseMemory(limit_bytes=4 * MIB)
    memory.resize(0, 4 * MIB)
    send_and_close(sockets, MIB // 2)
    outcome = make_attempt(sockets, streams=True, memory=memory).run()
    assert isinstance(outcome, AttemptFailed) and "memory" in outcome.reason
    assert memory.held_bytes == 4 * MIB


# Guards against bodies of abandoned responses that live until the garbage collection.
@pytest.mark.parametrize("limit_bytes", (4 * MIB, 64 * MIB))
def test_body_is_freed_with_its_attempt(sockets, limit_bytes):
    memory = ResponseMemory(limit_bytes=limit_bytes)
    memory.resize(0, 3 * MIB)
    send_and_close(sockets, 2 * MIB)
    gc.disable()
    try:
        attempt = make_attempt(sockets, memory=memory)
        attempt.run()
        reader = weakref.ref(attempt.reader)
        del attempt
        assert reader() is None
    finally:
        gc.enable()
