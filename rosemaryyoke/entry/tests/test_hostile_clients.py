"""Guards against clients that exhaust the memory or the connections of a host.

The bound of memory is the one that the setting allows, of descriptors the one that
follows from the slots for connections. Neither times nor shares are checked.
"""

import time

import pytest

from rosemaryyoke.core import EventRecorder
from rosemaryyoke.entry.tests.hostile_loads import (
    BODY_BYTES,
    LOADS,
    TARGETS,
    Clients,
    Target,
    ask_for_stream,
    ask_ordinary,
    descriptors,
    peak_mb,
    read_slowly,
    reset_peak,
    send_slowly,
    send_some,
    serve_large_responses,
    unread_mb,
)
from rosemaryyoke.peers import PeerError, connect
from rosemaryyoke.peers.server import MAX_CONNECTIONS as PEER_CONNECTIONS
from rosemaryyoke.testing.builders import SHARED_KEY, System, api_key
from rosemaryyoke.wire import HttpRequest, json_request, send

pytestmark = pytest.mark.hostile_clients

MEMORY_MB = 128  # the smallest machine
MAX_CONNECTIONS = 80
OWN_DESCRIPTORS = 64  # links, upstreams, the platform, files
CLIENTS = 40
READERS = 30
# Small, so that responses wait at the host soon.
READER_BUFFER_BYTES = 4_096
MORE_THAN_SLOTS = MAX_CONNECTIONS + 20
MORE_THAN_PEER_SLOTS = PEER_CONNECTIONS + 20
SETTLE_S = 0.15
SLOW_READ_S = 3.0  # until the buffers of the connections are full


@pytest.fixture(scope="module")
def started():
    settings = {"memory_mb": MEMORY_MB, "max_connections": MAX_CONNECTIONS}
    large = serve_large_responses()
    rules = (
        "service name=large # Ana, large responses\n"
        f"upstream name=large0 kind=service address=127.0.0.1:{large.server_port} "
        "data_centre=Kamloops serves=large # Ana, large responses\n"
    )
    with System(
        engines=1,
        services=1,
        hosts=1,
        host_settings=settings,
        engine_options=("--token-ms", "0.2"),
        extra_rules=rules,
    ) as running:
        yield running
    large.shutdown()
    large.server_close()


@pytest.fixture
def system(started):
    """Return a system whose host holds nothing of an earlier test."""
    process = started.processes["host0"]
    if process.popen.poll() is None:
        reset_peak(process)
        if peak_mb(process) < MEMORY_MB * 0.6:
            return started
        process.kill()
    started.restart("host0")
    started.wait_for("host0")
    assert ask_ordinary(started, 40) == "ok"
    return started


def peer_port(system):
    return system.peer_ports["host0"]


def assert_unharmed(system):
    """Check the process, its memory and descriptors, and one ordinary request."""
    time.sleep(SETTLE_S)
    process = system.processes["host0"]
    assert process.popen.poll() is None, "the process has ended"
    unread = unread_mb(process.port, peer_port(system))
    ordinary = ask_ordinary(system)
    held = peak_mb(process) + unread
    opened = descriptors(process)
    print(f"held {held:.0f} MB, unread {unread:.0f} MB, descriptors {opened}")
    assert held < MEMORY_MB
    assert opened < MAX_CONNECTIONS + PEER_CONNECTIONS + OWN_DESCRIPTORS
    assert ordinary == "ok"


# Guards against memory that grows with what many clients send, on each path of /v1,
# /services, the probes, the metrics and where there is no route.
@pytest.mark.parametrize("target", TARGETS)
@pytest.mark.parametrize("load", LOADS)
def test_load_of_many_clients(system, load, target):
    with Clients(system.processes["host0"].port, CLIENTS) as clients:
        for connection in clients.connections:
            LOADS[load](connection, TARGETS[target])
        assert_unharmed(system)


# Guards against bodies that are kept although they make hardly any progress.
@pytest.mark.parametrize("target", ["chat", "service", "unknown-path"])
def test_bodies_sent_slowly(system, target):
    with Clients(system.processes["host0"].port, CLIENTS) as clients:
        send_slowly(clients.connections, TARGETS[target])
        assert_unharmed(system)


# Guards against stalled clients that take every slot: in the head, in the body, or
# without a byte sent.
@pytest.mark.parametrize("load", ["half_head", "short_body", "no_byte"])
def test_more_clients_than_slots(system, load):
    with Clients(system.processes["host0"].port, MORE_THAN_SLOTS) as clients:
        if load != "no_byte":
            for connection in clients.connections:
                LOADS[load](connection, TARGETS["chat-unknown-key"])
        assert_unharmed(system)


# Guards against one unread stream that blocks the receiver of all streams, and against
# unread events that fill the memory.
def test_streams_unread(system):
    port = system.processes["host0"].port
    with Clients(port, READERS, READER_BUFFER_BYTES) as clients:
        for connection in clients.connections:
            ask_for_stream(connection)
        time.sleep(3.0)  # until the buffers of the connections are full
        assert_unharmed(system)


# Guards against responses that are kept for clients that do not read them.
def test_large_responses_unread(system):
    request = Target("GET", "/services/large/x", True).head() + b"\r\n"
    port = system.processes["host0"].port
    with Clients(port, READERS, READER_BUFFER_BYTES) as clients:
        for connection in clients.connections:
            send_some(connection, request)
        time.sleep(1.0)  # until the service has answered
        assert_unharmed(system)


# Guards against events and responses that are kept for clients that read slowly, but
# steadily enough to keep their connection.
@pytest.mark.parametrize("kind", ["stream", "large_response"])
def test_responses_read_slowly(system, kind):
    request = Target("GET", "/services/large/x", True).head() + b"\r\n"
    port = system.processes["host0"].port
    with Clients(port, READERS, READER_BUFFER_BYTES) as clients:
        for connection in clients.connections:
            if kind == "stream":
                ask_for_stream(connection)
            else:
                send_some(connection, request)
        read_slowly(clients.connections, SLOW_READ_S)
        assert_unharmed(system)


# Guards against limits that refuse what a single client may send when nothing competes.
@pytest.mark.parametrize("size", [1_000, BODY_BYTES])
def test_single_request_within_the_limits(system, size):
    text = "a sentence, " * (size // 12)
    # The stand-in would take minutes to prefill a long prompt; 404 follows the body.
    body = {"model": "unknown", "prompt": text}
    url = f"http://{system.address('host0')}"
    headers = {"Authorization": f"Bearer {api_key('cedar')}"}
    request = json_request("POST", f"{url}/v1/completions", body, headers=headers)
    assert b"unknown_model" in send(request).unwrap().body
    request = json_request("POST", f"{url}/services/records/x", body, headers=headers)
    assert send(request).unwrap().status == 201
    request = HttpRequest("GET", f"{url}/services/large/x", headers)
    assert len(send(request).unwrap().body) == BODY_BYTES


# Guards against strangers at the port for hosts: what they send must not be kept, and
# they must not keep a host from its peers.
@pytest.mark.parametrize("load", [*LOADS, "no_byte"])
def test_load_at_the_peer_port(system, load):
    with Clients(peer_port(system), CLIENTS) as clients:
        if load != "no_byte":
            for connection in clients.connections:
                LOADS[load](connection, TARGETS["chat"])
        assert_unharmed(system)


# Guards against strangers that hold every slot for peers by a byte now and then.
def test_handshakes_that_trickle(system):
    address = f"127.0.0.1:{peer_port(system)}"
    with Clients(peer_port(system), MORE_THAN_PEER_SLOTS) as clients:
        for _ in range(4):
            for connection in clients.connections:
                try:
                    connection.send(b"x")
                except OSError:
                    pass
            time.sleep(0.5)
        channel = None
        for _ in range(3):
            try:
                recorder = EventRecorder("caller")
                channel = connect(address, SHARED_KEY.encode(), recorder)
                break
            except PeerError:
                time.sleep(0.2)
        assert channel is not None, "no peer can connect"
        channel.close()
        assert_unharmed(system)
