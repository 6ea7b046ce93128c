"""The proxy of a link applies the faults set on it."""

import socket
import threading
import time
from contextlib import suppress

import pytest

from rosemaryyoke.http1 import Address
from rosemaryyoke.http1.sockets import listen
from rosemaryyoke.soak.link import BACKWARD, FORWARD, Link
from rosemaryyoke.testing.builders import free_port

WAIT_S = 0.2


@pytest.fixture()
def link():
    """Return a link to an echo server."""
    target = Address("127.0.0.1", free_port())
    listener = listen(target, 8)

    def echo(connection):
        with connection, suppress(ConnectionError):
            while data := connection.recv(1024):
                connection.sendall(data)

    def accept():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=echo, args=(connection,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    link = Link(target, Address("127.0.0.1", free_port()))
    link.start()
    yield link
    link.stop()
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


def open_through(link):
    connection = socket.create_connection((link.address.ip, link.address.port))
    connection.settimeout(WAIT_S)
    return connection


def test_link_without_faults_passes_bytes_both_ways(link):
    with open_through(link) as connection:
        connection.sendall(b"to and fro")
        assert connection.recv(64) == b"to and fro"


@pytest.mark.parametrize("direction", [FORWARD, BACKWARD])
def test_link_blocked_one_way_delivers_after_heal(link, direction):
    with open_through(link) as connection:
        link.blocked = frozenset({direction})
        connection.sendall(b"late")
        with pytest.raises(TimeoutError):
            connection.recv(64)
        link.heal()
        assert connection.recv(64) == b"late"


def test_link_delayed(link):
    with open_through(link) as connection:
        link.delay_s = 0.05
        started_s = time.monotonic()
        connection.sendall(b"slow")
        assert connection.recv(64) == b"slow"
        assert time.monotonic() - started_s >= 0.1


def test_link_reset_ends_open_connections(link):
    with open_through(link) as connection:
        connection.sendall(b"a")
        assert connection.recv(64) == b"a"
        link.reset()
        with pytest.raises(ConnectionError):
            connection.recv(64)


def test_link_that_refuses_resets_new_connections(link):
    link.refusing = True
    with open_through(link) as connection, pytest.raises(ConnectionError):
        connection.recv(64)
