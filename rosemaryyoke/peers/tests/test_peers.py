"""Invalid input from peers is rejected and counted, and the server keeps running."""

import socket
import struct

import pytest
from hypothesis import given, settings, strategies as st

from rosemaryyoke.core import EventRecorder
from rosemaryyoke.peers import (
    Message,
    PeerClient,
    PeerError,
    PeerServer,
    connect,
    decode_message,
)
from rosemaryyoke.testing.builders import free_port

KEY = b"0123456789abcdef"
EXAMPLES = 2_000
SMALL_EXAMPLES = 100


@pytest.fixture(scope="module")
def server():
    port = free_port()
    running = PeerServer("127.0.0.1", port, KEY, EventRecorder("server"))
    running.address = f"127.0.0.1:{port}"
    running.handlers.register("heartbeat")(lambda channel, message: heartbeat())
    running.start()
    yield running
    running.stop()


def heartbeat():
    message = Message.new_message()
    message.heartbeat = None
    return message


def is_serving(server):
    client = PeerClient(KEY, EventRecorder("caller"))
    answer = client.request(server.address, heartbeat(), 2.0)
    client.close()
    return answer.which() == "heartbeat"


def test_request_is_answered(server):
    assert is_serving(server)


def test_wrong_key_is_rejected_and_counted(server):
    before = server.rejected_connections
    with pytest.raises(PeerError):
        connect(server.address, b"another-key-0123", EventRecorder("caller"))
    assert is_serving(server)
    assert server.rejected_connections > before


def test_unexpected_message_closes_connection(server):
    channel = connect(server.address, KEY, EventRecorder("caller"))
    message = Message.new_message()
    message.getManifest = None
    channel.send(message, 1.0)
    with pytest.raises(PeerError):
        channel.receive(1.0)
    assert is_serving(server)


def test_replayed_frame_is_rejected(server):
    channel = connect(server.address, KEY, EventRecorder("caller"))
    frames = []
    send_all = channel._send_all
    channel._send_all = lambda data: (frames.append(data), send_all(data))
    channel.send(heartbeat(), 1.0)
    channel.receive(1.0)
    send_all(frames[0])
    with pytest.raises(PeerError):
        channel.receive(1.0)


def test_oversize_frame_is_rejected(server):
    channel = connect(server.address, KEY, EventRecorder("caller"))
    channel._send_all(struct.pack(">I", 2**31) + b"x" * 100)
    with pytest.raises(PeerError):
        channel.receive(1.0)
    assert is_serving(server)


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(st.binary(max_size=300))
def test_decode_fuzz_is_a_message_or_a_peer_error(data):
    try:
        decode_message(data).which()
    except PeerError:
        pass


@settings(max_examples=SMALL_EXAMPLES, derandomize=True, deadline=None)
@given(st.binary(min_size=1, max_size=100))
def test_server_survives_connection_fuzz(server, data):
    host, port = server.address.split(":")
    with socket.create_connection((host, int(port)), timeout=2) as connection:
        connection.sendall(data)
    assert server.thread.is_alive()


def test_server_answers_after_fuzzing(server):
    assert is_serving(server)
