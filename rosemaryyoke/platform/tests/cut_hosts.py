"""Hosts on loopback whose connections to upstreams can be cut one host at a time."""

import itertools
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import orjson
from attrs import define, field

from rosemaryyoke.exchanges.connections import ConnectionPool
from rosemaryyoke.http1 import send_request
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.deployment import start_host, wait_for

HANGING, RESETTING, REFUSING = "hanging", "resetting", "refusing new connections"
STREAMING, SAFE, UNSAFE = "streaming", "safe", "unsafe"
KINDS = (STREAMING, SAFE, UNSAFE)
PATHS = {STREAMING: "/chat/1", SAFE: "/read/1", UNSAFE: "/issue/1"}
ENGINES, RECORDS = 4, 2
SENDERS = 4


@define(eq=False)
class CutPool(ConnectionPool):
    """Connections of a host that can be partitioned from some services' upstreams.

    ``mode`` is how connections fail, or ``None``. While new ones are refused, those
    that were open live on.
    """

    mode: str | None = None
    services: tuple[str, ...] = ("llm", "records")
    given: list = field(factory=list)

    def take(self, upstream, timeout_s, max_idle_s=float("inf"), request_id=b""):
        """Return a connection, unless this host is cut off from the upstream."""
        if self.mode is None or upstream.service not in self.services:
            connection = super().take(upstream, timeout_s, max_idle_s, request_id)
            self.given.append(connection.socket)
            return connection
        if self.mode == REFUSING:
            kept = self._acquire_idle(upstream.name, max_idle_s, request_id)
            if kept is not None:
                return kept
        return self.fail(timeout_s)

    def open(self, upstream, timeout_s):
        """Return a new connection, unless this host is cut off from the upstream."""
        if self.mode is None or upstream.service not in self.services:
            return super().open(upstream, timeout_s)
        return self.fail(timeout_s)

    def end_connections(self):
        """End the connections that are in use, as a partition does by resets."""
        while self.given:
            with suppress(OSError):
                self.given.pop().shutdown(socket.SHUT_RDWR)

    def fail(self, timeout_s):
        """Fail to connect in the way of the partition."""
        if self.mode == HANGING:
            time.sleep(timeout_s)
            raise TimeoutError("timed out")
        raise ConnectionResetError("connection reset")


@define(eq=False)
class CutFleet:
    """A store, engines, plain upstreams and several hosts."""

    store: StoreStandin = field(factory=StoreStandin)
    engines: list[EngineStandin] = field(factory=list)
    records: list[EngineStandin] = field(factory=list)
    hosts: list = field(factory=list)
    pools: list[CutPool] = field(factory=list)
    numbers: itertools.count = field(factory=itertools.count)

    def start(self, hosts):
        """Start the upstreams and hosts, and wait until all know each other."""
        self.store.set("config", "main", make_configuration())
        for number in range(ENGINES):
            self.engines.append(EngineStandin(f"e{number}"))
        for number in range(RECORDS):
            self.records.append(EngineStandin(f"p{number}"))
        for engine in self.engines:
            self.register(engine, "llm")
        for plain in self.records:
            self.register(plain, "records")
        for _ in range(hosts):
            self.add_host()
        for host in self.hosts:
            wait_for(host.is_ready)
            wait_for(lambda: len(host.catalog.upstreams) == ENGINES + RECORDS)
            wait_for(lambda: self.ready_peers(host) == hosts - 1)

    def register(self, upstream, service):
        """Register an upstream of a service."""
        entry = make_registration(str(upstream.address), service)
        self.store.set("servers", upstream.name, entry)

    def add_host(self):
        """Start a host whose connections to upstreams can be cut."""
        seeds = [host.settings.peers for host in self.hosts]
        host, pool = start_host(self.store, seeds), CutPool()
        host.connections = host.forwarder.pool = host.reachability.pool = pool
        self.hosts.append(host)
        self.pools.append(pool)

    def ready_peers(self, host):
        """Return how many other hosts a host finds alive and ready."""
        peers = host.table.live_peers(time.monotonic())
        return sum(peer.beacon.ready for peer in peers)

    def stop(self):
        """Stop all parts."""
        for host in self.hosts:
            host.kernel.stop()
        for part in (self.store, *self.engines, *self.records):
            part.stop()

    def cut(self, *numbers, mode=HANGING, services=("llm", "records")):
        """Partition hosts from the upstreams of services."""
        for number in numbers:
            self.pools[number].services = services
            self.pools[number].mode = mode
            if mode == RESETTING:
                self.pools[number].end_connections()

    def heal(self):
        """End all partitions."""
        for pool in self.pools:
            pool.mode = None

    def send(self, host, kind, **changes):
        """Send one request, without a retry; return its status and duration."""
        number = next(self.numbers)
        headers = []
        if kind == STREAMING:
            headers = stream_headers(f"a{number}:600,b{number}:900,c{number}:100")
        started_s = time.monotonic()
        answer = send_client_request(
            self.hosts[host].settings.callers,
            PATHS[kind],
            "GET" if kind == SAFE else "POST",
            headers=headers,
            **{"Request-Id": f"r{number}", **changes},
        ).responses[0]
        status = answer.status if answer.complete else 0
        return status, time.monotonic() - started_s

    def send_many(self, host, kind, count):
        """Send requests, several at a time; return their statuses and durations."""
        with ThreadPoolExecutor(SENDERS) as pool:
            return list(pool.map(lambda _: self.send(host, kind), range(count)))

    def served(self, host, kind, count):
        """Return how many of some requests are served at the first try."""
        return sum(status == 200 for status, _ in self.send_many(host, kind, count))

    def runs(self):
        """Return the identifiers of the requests that upstreams executed."""
        upstreams = [*self.engines, *self.records]
        return [request for upstream in upstreams for request in upstream.executed]

    def lookup(self, host, data_centre="z1"):
        """Return the addresses that a host names to callers of a data centre."""
        target = f"/lookup?name=a.example&region=r1&zone={data_centre}"
        address = self.hosts[host].settings.directory
        reply = send_request(address, "GET", target).ok_value
        return set(orjson.loads(reply.body)["addresses"])

    def callers(self, host):
        """Return the address of a host as lookups name it."""
        return str(self.hosts[host].settings.callers)
