"""Bodies of responses that are given up are freed at once.

Pattern: the host gives up a response for lack of memory, or as it is too large; the
next one needs that memory.
"""

import gc
import weakref

import pytest

from rosemaryyoke.testing.raw_server import RawServer
from rosemaryyoke.wire import (
    BodyBuffer,
    HeaderParser,
    HttpRequest,
    ReadAborted,
    StreamReceiver,
    send,
)

TAKEN_BYTES = 1024 * 1024


class Reservation:
    """Has memory for the beginning of a body."""

    def __init__(self):
        self.taken_bytes = 0

    def reserve(self, count):
        """Return whether there is memory for more bytes."""
        self.taken_bytes += count
        return self.taken_bytes < TAKEN_BYTES


@pytest.fixture()
def server():
    server = RawServer(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536)
    gc.collect()
    gc.disable()
    yield server
    gc.enable()
    server.close()


def send_without_memory(address):
    """Give up a response; return a reference to what its body refers to."""
    reservation = Reservation()
    request = HttpRequest("GET", f"http://{address}/", reserve=reservation.reserve)
    outcome = send(request)
    assert outcome.err_value.no_memory
    return weakref.ref(reservation)


def receive_without_memory(address):
    """Give up a streamed response; return a reference to its body."""
    receiver = StreamReceiver()
    receiver.start()
    body = BodyBuffer(Reservation().reserve)
    request = HttpRequest("GET", f"http://{address}/")
    with pytest.raises(ReadAborted):
        receiver.submit(request, body.append, HeaderParser()).result()
    receiver.stop()
    receiver.thread.join()
    return weakref.ref(body)


# Guards against memory that is held until the next garbage collection.
@pytest.mark.parametrize("read", (send_without_memory, receive_without_memory))
def test_body_that_is_given_up_is_freed(server, read):
    assert read(server.address)() is None
