"""A routing host on loopback with scripted stand-ins."""

import socket
import struct
import time

from attrs import define, evolve

from rosemaryyoke.exchanges.host import RoutingHost
from rosemaryyoke.http1 import Address
from rosemaryyoke.http1.messages import encode_head
from rosemaryyoke.platform.adapter import make_adapter
from rosemaryyoke.platform.settings_file import read_settings
from rosemaryyoke.platform.standins.documents import (
    make_settings,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.testing.builders import free_port

PORTS = 6


def reset_on_close(connection):
    """Let a socket reset its connection when it is closed."""
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def wait_for(condition, timeout_s=5.0):
    """Wait until a condition holds and return its value; fail after the timeout."""
    deadline_s = time.monotonic() + timeout_s
    while not (value := condition()):
        assert time.monotonic() < deadline_s, "condition not met before the timeout"
        time.sleep(0.01)
    return value


@define(eq=False)
class Deployment:
    """A store, two engines, two plain upstreams and a host."""

    store: StoreStandin
    engines: list[EngineStandin]
    records: list[EngineStandin]
    host: RoutingHost

    @property
    def callers(self) -> Address:
        """Return the host's address for callers."""
        return self.host.settings.callers

    def stream(self, **options):
        """Send a streaming request and return the reader of its response."""
        return send_client_request(self.callers, headers=stream_headers(), **options)


def start_host(store, seeds=(), bounds=None):
    """Start a host, with further bounds in its settings, and return it."""
    document = make_settings(port=free_port(PORTS), store=str(store.address))
    document["seeds"] = [str(seed) for seed in seeds]
    document["bounds"].update(bounds or {})
    document["nodeName"] = f"front-{document['listen']['front']}"
    settings = evolve(read_settings(document), metrics_port=0)
    host = RoutingHost(settings, make_adapter(settings))
    host.start()
    return host


def script_all(upstreams, *steps):
    """Share one script among upstreams, so that each request takes the next step."""
    script = list(steps)
    for upstream in upstreams:
        upstream.script = script


def abort_after(events):
    """Return a step that aborts the stream after some events."""

    def step(engine, message, caller):
        engine.run(message, caller, events=events, finish=False)

    return step


def send_close_delimited(body, reset=False):
    """Return a step that ends an answer without length or chunks by its connection."""

    def step(engine, message, caller):
        engine.executed.append(b"")
        head = encode_head(b"HTTP/1.1 200 OK", engine.headers(message))
        caller.write(head + body)
        if reset:
            reset_on_close(caller.socket)
        raise OSError("connection closed after the answer")

    return step


def send_with_length(body):
    """Return a step that sends an answer with its length."""

    def step(engine, message, caller):
        engine.executed.append(b"")
        caller.send_response(200, b"OK", engine.headers(message), body)

    return step


def send_chunked(body):
    """Return a step that ends an answer by its last chunk."""

    def step(engine, message, caller):
        engine.executed.append(b"")
        head = caller.begin_stream(200, b"OK", engine.headers(message))
        caller.write_events(head, body)
        caller.end_stream(b"")

    return step


def run_and_drop_answer(engine, message, caller):
    """Execute the request and close the connection without a response."""
    engine.executed.append(b"")
    raise OSError("response lost")
