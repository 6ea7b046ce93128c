"""A pool of persistent connections to upstreams."""

import math
import re
import socket
import threading
import time
from collections import deque

from attrs import define, field

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.http1 import ResponseMessage
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.http1.sockets import (
    KEEPALIVE_TIMEOUT_S,
    close,
    connect,
    is_reusable,
)

# Attempts and health checks notice a dead upstream sooner; this ends what remains.
TCP_USER_TIMEOUT_S = KEEPALIVE_TIMEOUT_S
DEFAULT_KEEP_ALIVE_S = 8.0
KEEP_ALIVE_MARGIN_S = 0.8
MAX_REFUSED = 256  # requests on one connection
MAX_IDLE_PER_UPSTREAM = 24  # connections to one upstream
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")


@define(eq=False)
class UpstreamConnection:
    """A connection to one incarnation of an upstream.

    ``round_trip_s`` is the shortest time that it took to connect to the upstream.
    ``refused`` has the identifiers of requests that the upstream refused on it: a copy
    of such a refusal can't be told from the response to the same request.
    """

    socket: socket.socket
    upstream: str
    round_trip_s: float = 0.0
    reused: bool = False
    reusable_until_s: float = 0.0
    idle_since_s: float = 0.0
    refused: set[bytes] = field(factory=set)


@define(eq=False)
class ConnectionPool:
    """Idle connections by upstream, reused in last-in, first-out order."""

    idle: dict[str, deque[UpstreamConnection]] = field(factory=dict)
    round_trips_s: dict[str, float] = field(factory=dict)
    lock: threading.Lock = field(factory=threading.Lock)
    opened: int = 0

    def take(
        self,
        upstream: Upstream,
        timeout_s: float,
        max_idle_s: float = math.inf,
        request_id: bytes = b"",
    ) -> UpstreamConnection:
        """Return a connection idle for at most ``max_idle_s``, or a new one.

        The request with ``request_id`` was never refused on it. Raise ``OSError`` if
        none can be opened.
        """
        connection = self._acquire_idle(upstream.name, max_idle_s, request_id)
        return connection or self.open(upstream, timeout_s)

    def open(self, upstream: Upstream, timeout_s: float) -> UpstreamConnection:
        """Return a new connection; raise ``OSError`` if none can be opened."""
        self.opened += 1
        started_s = time.monotonic()
        opened = connect(upstream.address, timeout_s, TCP_USER_TIMEOUT_S)
        round_trip_s = self._add_round_trip(upstream.name, started_s)
        return UpstreamConnection(opened, upstream.name, round_trip_s)

    def _add_round_trip(self, name: str, started_s: float) -> float:
        elapsed_s = time.monotonic() - started_s
        with self.lock:
            shortest_s = min(elapsed_s, self.round_trips_s.get(name, elapsed_s))
            self.round_trips_s[name] = shortest_s
        return shortest_s

    def _acquire_idle(
        self, name: str, max_idle_s: float, request_id: bytes = b""
    ) -> UpstreamConnection | None:
        while True:
            oldest_s = time.monotonic() - max_idle_s
            with self.lock:
                connections = self.idle.get(name)
                if not connections or connections[-1].idle_since_s < oldest_s:
                    return None
                connection = connections.pop()
            is_expired = time.monotonic() >= connection.reusable_until_s
            if not is_expired and request_id not in connection.refused:
                if is_reusable(connection.socket):
                    connection.reused = True
                    connection.round_trip_s = self.round_trips_s.get(name, 0.0)
                    return connection
            close(connection.socket)

    def release(self, connection: UpstreamConnection, answer: ResponseMessage) -> None:
        """Return a connection to the pool if the upstream keeps it open."""
        if not answer.keep_alive or len(connection.refused) > MAX_REFUSED:
            close(connection.socket)
            return
        connection.idle_since_s = time.monotonic()
        connection.reusable_until_s = connection.idle_since_s + keep_alive_s(answer)
        with self.lock:
            connections = self.idle.setdefault(connection.upstream, deque())
            connections.append(connection)
            surplus = (
                connections.popleft()
                if len(connections) > MAX_IDLE_PER_UPSTREAM
                else None
            )
        if surplus is not None:
            close(surplus.socket)

    def forget(self, names: set[str]) -> None:
        """Close the idle connections of the named upstreams."""
        with self.lock:
            gone = [self.idle.pop(name) for name in names if name in self.idle]
            for name in names:
                self.round_trips_s.pop(name, None)
        for connections in gone:
            for connection in connections:
                close(connection.socket)

    def close_expired(self) -> None:
        """Close connections whose keep-alive time has expired."""
        now_s = time.monotonic()
        expired = []
        with self.lock:
            for connections in self.idle.values():
                while connections and connections[0].reusable_until_s < now_s:
                    expired.append(connections.popleft())
        for connection in expired:
            close(connection.socket)


def keep_alive_s(answer: ResponseMessage) -> float:
    """Return how long a connection may be reused after a response, in seconds."""
    value = find_header(answer.headers, b"keep-alive")
    match = KEEP_ALIVE_TIMEOUT.search(value) if value else None
    if match is None:
        return DEFAULT_KEEP_ALIVE_S
    return max(0.0, int(match.group(1)) - KEEP_ALIVE_MARGIN_S)
