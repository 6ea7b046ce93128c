"""The server of connections goes on after errors, and answers what it has read."""

import errno
import socket
import threading
import time

import pytest

from rosemaryyoke.exchanges.server import ConnectionServer
from rosemaryyoke.http1 import Address, send_request
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.testing.builders import free_port, is_free


@pytest.fixture()
def server():
    def answer(message, caller):
        caller.send_response(200, b"OK", [], b"ok")

    server = ConnectionServer(Address("127.0.0.1", free_port()), answer, 8)
    yield server
    server.stop()
    server.close_idle()


class FailingListener:
    """A listener whose first calls of accept fail."""

    def __init__(self, listener, failures):
        self.listener, self.failures = listener, list(failures)

    def accept(self):
        """Fail, or accept a connection."""
        if self.failures:
            raise self.failures.pop()
        return self.listener.accept()

    def shutdown(self, how):
        """End the calls that wait."""
        self.listener.shutdown(how)

    def close(self):
        """Close the listener."""
        self.listener.close()


# Guards against a port that stays taken by the thread that accepts connections.
def test_stopped_server_leaves_its_port(server):
    server.start()
    assert send_request(server.address, "GET", "/").is_ok()
    server.stop()
    wait_for(lambda: is_free(server.address.port))
    assert send_request(server.address, "GET", "/").is_err()


# Guards against a host that accepts nothing any more once it was short of descriptors.
def test_server_accepts_again_after_a_lack_of_descriptors(server, monkeypatch):
    failures = [OSError(errno.EMFILE, "too many"), OSError(errno.ECONNABORTED, "gone")]
    monkeypatch.setattr(
        "rosemaryyoke.exchanges.server.listen",
        lambda address, backlog: FailingListener(
            socket.create_server((address.ip, address.port)), failures
        ),
    )
    server.start()
    assert send_request(server.address, "GET", "/").ok_value.ok


# Guards against a host that accepts nothing any more once no thread could be started.
def test_server_accepts_again_after_a_lack_of_threads(server):
    server.start()
    submit = server.pool.submit

    def fail(*_):
        server.pool.submit = submit
        raise RuntimeError("can't start new thread")

    server.pool.submit = fail
    assert send_request(server.address, "GET", "/").is_err()
    assert send_request(server.address, "GET", "/").ok_value.ok
    assert server.open_connections <= 1


# Guards against a request that is read as the process ends, and gets no answer.
def test_request_that_is_read_last_is_answered(server):
    server.start()
    address = (server.address.ip, server.address.port)
    with socket.create_connection(address) as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n")
        while not server.open_connections:
            time.sleep(0.01)
        time.sleep(0.05)
        assert server.wait_idle(time.monotonic())
        server.reject_new_requests()
        server.stop()
        closed = []
        waiting = threading.Thread(
            target=lambda: closed.append(server.wait_closed(time.monotonic() + 2.0))
        )
        waiting.start()
        time.sleep(0.1)
        connection.sendall(b"\r\n")
        connection.settimeout(2)
        assert connection.recv(100).startswith(b"HTTP/1.1 503")
    waiting.join()
    assert closed == [True]
