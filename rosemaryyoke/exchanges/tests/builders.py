"""Builders of attempts without a network."""

import socket
import time
from types import SimpleNamespace

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.attempt import Attempt
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.exchanges.connections import ConnectionPool, UpstreamConnection
from rosemaryyoke.exchanges.events import EventRelay
from rosemaryyoke.exchanges.forward import Forwarder
from rosemaryyoke.exchanges.messages import ResponseMetadata
from rosemaryyoke.fleet import Fleet
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.forwarding import Reachability

SEALED = ResponseMetadata(request_id=b"r1", sealed=True, not_run=False)
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Sockets:
    """The upstream's and the caller's ends of an attempt's connections."""

    def __init__(self):
        self.host_to_upstream, self.upstream = socket.socketpair()
        self.host_to_caller, self.caller = socket.socketpair()

    def close(self):
        """Close all ends."""
        for end in vars(self).values():
            end.close()


def make_attempt(sockets, streams=False, left_s=5.0, **changes):
    """Return an attempt over sockets, with a deadline in ``left_s``."""
    state = make_state()
    connection = UpstreamConnection(sockets.host_to_upstream, state.upstream.name)
    caller = CallerConnection(sockets.host_to_caller)
    now_s = time.monotonic()
    values = {
        "state": state,
        "request": b"request",
        "request_id": b"r1",
        "codec": SimpleNamespace(parse_response_headers=lambda *_: SEALED),
        "pool": SimpleNamespace(
            take=lambda *_: connection, release=lambda *_: connection.socket.close()
        ),
        "caller": caller,
        "relay": EventRelay(caller) if streams else None,
        "response_deadline_s": now_s + left_s,
        "progress_deadline_s": now_s + left_s,
    }
    return Attempt(**{**values, **changes})


def make_forwarder(engines):
    """Return a forwarder that knows no upstream and no host."""
    fleet, pool = Fleet(Catalog()), ConnectionPool()
    reach = Reachability(fleet, pool)
    return Forwarder(
        "z1",
        fleet.catalog,
        fleet,
        None,
        pool,
        None,
        None,
        15.0,
        engines,
        None,
        reach,
        None,
    )
