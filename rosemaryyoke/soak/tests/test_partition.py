"""Connections of a process to some ports, cut from outside."""

import socket
import time

import pytest

from rosemaryyoke.testing.partition import (
    HANGING,
    MODES,
    REFUSING,
    RESETTING,
    ConnectionCutter,
    Partition,
    load_partition,
)

TIMEOUT_S = 0.1
ERRORS = {
    HANGING: TimeoutError,
    RESETTING: ConnectionResetError,
    REFUSING: ConnectionRefusedError,
}


@pytest.fixture()
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener


@pytest.fixture()
def cutter(tmp_path):
    return ConnectionCutter(tmp_path / "partition")


def port_of(listener):
    return listener.getsockname()[1]


def open_connection(cutter, listener):
    """Return both ends of a connection that the cutter knows of."""
    connection = socket.socket()
    connection.settimeout(TIMEOUT_S)
    cutter.connect(connection, listener.getsockname())
    return connection, listener.accept()[0]


@pytest.mark.parametrize("mode", MODES)
def test_new_connections_to_cut_ports_fail(cutter, listener, mode):
    cutter.apply(Partition(mode, (port_of(listener),)))
    with socket.socket() as connection, pytest.raises(ERRORS[mode]):
        connection.settimeout(TIMEOUT_S)
        cutter.connect(connection, listener.getsockname())


def test_other_ports_and_healed_ports_are_reached(cutter, listener):
    cutter.apply(Partition(RESETTING, (port_of(listener) + 1,)))
    for partition in (Partition(RESETTING, (port_of(listener),)), Partition()):
        near, far = open_connection(cutter, listener)
        far.sendall(b"data")
        assert near.recv(4) == b"data"
        near.close(), far.close()
        cutter.apply(partition)
        cutter.apply(Partition())


def test_open_connections_live_on_while_new_ones_are_refused(cutter, listener):
    near, far = open_connection(cutter, listener)
    cutter.apply(Partition(REFUSING, (port_of(listener),)))
    far.sendall(b"data")
    assert near.recv(4) == b"data"
    near.close(), far.close()


def test_open_connections_are_reset(cutter, listener):
    near, far = open_connection(cutter, listener)
    cutter.apply(Partition(RESETTING, (port_of(listener),)))
    with pytest.raises(ConnectionResetError):
        near.recv(4)
    assert far.recv(4) == b""
    near.close(), far.close()


# Guards against a silent connection that looks closed, or like no TCP connection.
def test_open_connections_hang(cutter, listener):
    near, far = open_connection(cutter, listener)
    cutter.apply(Partition(HANGING, (port_of(listener),)))
    near.sendall(b"data")
    near.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1_000)
    with pytest.raises(TimeoutError):
        near.recv(4)
    assert far.recv(4) == b""
    near.close(), far.close()


def test_partition_is_read_from_its_file(cutter, tmp_path):
    assert load_partition(tmp_path / "missing") == Partition()
    partition = Partition(HANGING, (1, 2))
    partition.save(cutter.path)
    assert load_partition(cutter.path) == partition
    started_s = time.monotonic()
    with socket.socket() as connection, pytest.raises(TimeoutError):
        connection.settimeout(TIMEOUT_S)
        cutter.apply(load_partition(cutter.path))
        cutter.connect(connection, ("127.0.0.1", 1))
    assert time.monotonic() - started_s >= TIMEOUT_S
