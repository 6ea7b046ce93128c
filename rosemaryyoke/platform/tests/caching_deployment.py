"""Hosts in front of engines that cache prompts, while weights are replaced."""

import itertools

from attrs import define, field

from rosemaryyoke.exchanges.host import RoutingHost
from rosemaryyoke.platform.standins.caching_engines import CachingEngine, KvNetwork
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
    make_route,
)
from rosemaryyoke.platform.standins.servers import (
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.standins.simulated_upstreams import make_wanted_weights
from rosemaryyoke.platform.tests.deployment import start_host, wait_for

DEADLINE_MS = 10_000
FIRST_PART = "aa"  # of all prompts


@define(eq=False)
class CachingDeployment:
    """Engines and a KV cache store, which hosts use for shared prompts."""

    network: KvNetwork = field(factory=KvNetwork)
    store: StoreStandin = field(factory=StoreStandin)
    engines: list[CachingEngine] = field(factory=list)
    hosts: list[RoutingHost] = field(factory=list)
    numbers: itertools.count = field(factory=itertools.count)

    def start(
        self, engines: int, hosts: int, has_kv_store: bool = True, **entry: object
    ) -> None:
        """Start engines, registered with changed or added fields, and hosts."""
        # Requests stay at engines that are slow, as nothing may take them over.
        route = make_route(maxAttempts=1, timeoutMs=DEADLINE_MS)
        document = make_configuration(routes=[route])
        if not has_kv_store:
            document["services"].pop()
        self.store.set("config", "main", document)
        for number in range(engines):
            name = f"e{number}"
            engine = CachingEngine(name, network=self.network, make_event=make_event)
            engine.on_loaded = lambda engine=engine: self.register(engine, **entry)
            self.engines.append(engine)
            self.register(engine, **entry)
        for _ in range(hosts):
            seeds = [host.settings.peers for host in self.hosts]
            self.hosts.append(start_host(self.store, seeds))
        for host in self.hosts:
            wait_for(host.is_ready)

    def stop(self) -> None:
        """Stop all hosts and servers."""
        for host in self.hosts:
            host.kernel.stop()
        for part in (self.store, *self.engines):
            part.stop()

    def register(self, engine: CachingEngine, **changes: object) -> None:
        """Register an engine with the version that it serves."""
        entry = make_registration(
            str(engine.address), version=engine.version, **changes
        )
        self.store.set("servers", engine.name, entry)

    def declare(self, version: int) -> None:
        """Declare a version of the weights."""
        self.store.set(*make_wanted_weights(version))

    def send(self, host: RoutingHost, prompt: int = 0) -> int:
        """Send a request with a shared prompt; return the status."""
        number = next(self.numbers)
        parts = f"{FIRST_PART}:600,{shared_part(prompt)}:900,c{number:x}:100"
        reader = send_client_request(
            host.settings.callers,
            headers=stream_headers(parts),
            **{"Request-Id": f"r{number}", "Deadline-Ms": f"{DEADLINE_MS}"},
        )
        return reader.responses[0].status if reader.responses else 0


def make_event(request: str, number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: x\n\n" % number


def shared_part(prompt: int) -> str:
    """Return the name of the part that requests with one prompt share."""
    return f"{prompt:x}b"
