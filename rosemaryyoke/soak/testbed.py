"""The testbed: a store, upstreams and hosts connected by fault-injecting links."""

import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

import orjson
from attrs import define, field
from result import Ok

from rosemaryyoke.http1 import Address, send_request
from rosemaryyoke.platform.standins.caching_engines import CachingEngine, KvNetwork
from rosemaryyoke.platform.standins.documents import (
    MODEL,
    make_registration,
    make_settings,
)
from rosemaryyoke.platform.standins.servers import StoreStandin
from rosemaryyoke.platform.standins.simulated_upstreams import (
    OrderRecord,
    RunRecord,
    make_wanted_weights,
)
from rosemaryyoke.soak.configurations import SERVICES, make_soak_configuration
from rosemaryyoke.soak.history import (
    STREAM,
    UNSAFE,
    Execution,
    History,
    OrderExecution,
    now_s,
)
from rosemaryyoke.soak.invariants import EVENTS, body_text, event_text
from rosemaryyoke.soak.link import Link
from rosemaryyoke.testing.builders import free_port
from rosemaryyoke.testing.partition import Partition

PORTS_PER_HOST = 6
HOST_COUNT = 3
ENGINES = ("llm", "llm", "llm", "llm-b", "llm-b")  # the service of each engine
RECORD_SERVER_COUNT = 2
# Orders held back by a suspended sender or a blocked link arrive within this time
# after the sender is resumed or the link is healed.
DELAYED_ORDER_S = 0.3
READ_S = 0.02  # to read a part of a prompt that is not cached
GRACE_S = 4  # longer than a caller's deadline
STOP_TIMEOUT_S = 2.0 * GRACE_S
POLL_INTERVAL_S = 0.05
READY = "ready"
DRAINING = "draining"
GONE = "gone"  # deregistered
JUMPING_CLOCK_HOST = 0  # index of the host whose wall clock jumps
ERROR_MARKERS = (b"Traceback", b"task failed", b"handler failed")


@define(eq=False)
class HostProcess:
    """A host process, its link to the store and the link from its callers."""

    name: str
    command: list[str]
    log: Path
    caller_link: Link
    store: Link
    readiness: Address
    partition: Path
    popen: subprocess.Popen | None = None
    frozen: bool = False
    exit_expected: bool = False
    lock: threading.Lock = field(factory=threading.Lock)

    def start(self) -> None:
        """Start the process."""
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(self.command, stdout=log, stderr=log)
        self.exit_expected = False

    def cut(self, partition: Partition) -> None:
        """Cut the process off from upstreams, or end that."""
        partition.save(self.partition)

    def send(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def end(self, number: signal.Signals) -> int:
        """Send a signal, then SIGKILL after a timeout; return the exit code."""
        self.exit_expected = True
        self.send(number)
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def is_ready(self) -> bool:
        """Return whether the host reports that it is ready."""
        reply = send_request(self.readiness, "GET", "/readiness")
        return isinstance(reply, Ok) and reply.ok_value.ok

    @property
    def exited_unexpectedly(self) -> bool:
        """Return whether the process exited without being told to."""
        return not self.exit_expected and self.popen.poll() is not None


@define(eq=False)
class UpstreamNode:
    """An upstream, the link to it and its service."""

    upstream: CachingEngine
    link: Link
    service: str
    state: str = READY
    generation: int = 0
    lock: threading.Lock = field(factory=threading.Lock)

    @property
    def is_engine(self) -> bool:
        """Return whether the upstream serves a model."""
        return self.service in SERVICES


@define(eq=False)
class Testbed:
    """All processes, servers and links of a soak, and the recorded history."""

    history: History = field(factory=History)
    folder: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="soak-")))
    hosts: list[HostProcess] = field(factory=list)
    nodes: list[UpstreamNode] = field(factory=list)
    store: StoreStandin = field(factory=StoreStandin)
    network: KvNetwork = field(init=False)
    store_lock: threading.Lock = field(factory=threading.Lock)
    partition_lock: threading.Lock = field(factory=threading.Lock)
    configuration: int = 0
    published: dict = field(factory=dict)
    weights: int = 1
    crashing_parts: set[str] = field(factory=set)
    crashing_targets: set[str] = field(factory=set)
    resumed_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.network = KvNetwork(stale_uses=self.history.stale_uses)

    def __enter__(self) -> "Testbed":
        try:
            self.build()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_) -> None:
        self.stop()

    def build(self) -> None:
        """Start the upstreams and the hosts."""
        self.publish(make_soak_configuration())
        for number, service in enumerate(ENGINES):
            self.add_upstream(f"e{number}", service)
        for number in range(RECORD_SERVER_COUNT):
            self.add_upstream(f"p{number}", "records")
        seed_addresses: list[str] = []
        for number in range(HOST_COUNT):
            self.add_host(number, seed_addresses)
        for host in self.hosts:
            host.start()

    def stop(self) -> None:
        """Stop all processes, links and servers."""
        for host in self.hosts:
            if host.popen is not None and host.popen.poll() is None:
                host.send(signal.SIGCONT)
                host.end(signal.SIGKILL)
            host.caller_link.stop()
            host.store.stop()
        for node in self.nodes:
            node.link.stop()
            node.upstream.stop()
        self.store.stop()

    def add_upstream(self, name: str, service: str) -> None:
        """Start an upstream and register it."""
        upstream = CachingEngine(
            name,
            on_run=self.record_run,
            on_order=self.record_order,
            make_event=event_text,
            make_body=body_text,
            events=EVENTS,
            network=self.network,
            read_s=READ_S,
        )
        link = Link(upstream.address, Address("127.0.0.1", free_port()))
        upstream.fetch_address = link.address
        link.start()
        node = UpstreamNode(upstream, link, service)
        upstream.crashing_parts = self.crashing_parts
        upstream.crashing_targets = self.crashing_targets
        upstream.on_crash = lambda name, part: self.crash_node(node, part)
        upstream.on_loaded = lambda: self.register_weights(node)
        self.nodes.append(node)
        self.register_node(node, READY)

    def add_host(self, number: int, seed_addresses: list[str]) -> None:
        """Prepare a host that has the earlier hosts as seeds."""
        name = f"front-{number}"
        port = free_port(PORTS_PER_HOST)
        store = Link(self.store.address, Address("127.0.0.1", free_port()))
        document = make_settings(name, port=port, store=str(store.address))
        document["seeds"] = list(seed_addresses)
        document["bounds"]["graceS"] = GRACE_S
        seed_addresses.append(document["listen"]["control"])
        path = self.folder / f"{name}.json"
        path.write_bytes(orjson.dumps(document))
        host_address = Address("127.0.0.1", port)
        caller_link = Link(host_address, Address("127.0.0.1", free_port()))
        program = "rosemaryyoke.soak.clock"
        program = program if number == JUMPING_CLOCK_HOST else "rosemaryyoke"
        partition = self.folder / f"{name}.partition"
        cutter = [
            sys.executable,
            "-m",
            "rosemaryyoke.testing.partition",
            str(partition),
        ]
        command = [*cutter, program, "route", "--settings", str(path)]
        readiness = Address("127.0.0.1", port + 1)
        log = self.folder / f"{name}.log"
        for link in (store, caller_link):
            link.start()
        self.hosts.append(
            HostProcess(name, command, log, caller_link, store, readiness, partition)
        )

    def register_node(self, node: UpstreamNode, state: str) -> None:
        """Write the registration of an upstream to the store, or remove it."""
        upstream, node.state = node.upstream, state
        if state == GONE:
            self.deregister(upstream.name)
            return
        entry = make_registration(
            str(node.link.address), node.service, upstream.version, state=state
        )
        entry["version"] = upstream.software
        if node.is_engine:
            model = {"name": MODEL, "version": upstream.version, "adapters": []}
            entry["models"] = [model]
        self.store.set("servers", upstream.name, entry)

    def deregister(self, name: str) -> None:
        """Remove a registration, unless the store has lost it."""
        with self.store.lock:
            if name in self.store.objects.get("servers", {}):
                self.store.remove("servers", name)

    def write_again(self) -> None:
        """Write what the operator and the upstreams wrote to a store set back."""
        self.store.set("config", "main", self.published)
        if self.weights > 1:
            self.store.set(*make_wanted_weights(self.weights))
        for node in self.nodes:
            self.register_weights(node)
        present = {node.upstream.name for node in self.nodes if node.state != GONE}
        for name in set(self.store.objects.get("servers", {})) - present:
            self.deregister(name)

    def register_weights(self, node: UpstreamNode) -> None:
        """Register the weights that an engine has loaded, unless it is leaving."""
        if node.state != GONE:
            self.register_node(node, node.state)

    def crash_node(self, node: UpstreamNode, part: str) -> None:
        """End an upstream's connections, as a crash does; it is back at once."""
        self.history.record_crashed_run(part, node.upstream.name)
        node.link.reset()

    def replace_incarnation(self, node: UpstreamNode) -> None:
        """Let another upstream take the place of one, with the newest weights."""
        upstream = node.upstream
        node.generation += 1
        upstream.name = f"{upstream.name.partition('.')[0]}.{node.generation}"
        upstream.orders = 0
        upstream.replace_weights(max(upstream.version, self.weights))

    def publish(self, document: dict) -> None:
        """Publish a configuration as the next version."""
        self.configuration += 1
        self.published = {**document, "version": self.configuration}
        self.store.set("config", "main", self.published)

    def request_weights(self) -> None:
        """Request the next weights of the model."""
        self.weights += 1
        self.store.set(*make_wanted_weights(self.weights))

    def heal(self) -> None:
        """Clear every fault of the links and the store."""
        self.store.down, self.store.writes_to_lose, self.store.call_delay_s = (
            False,
            0,
            0.0,
        )
        for link in self.links():
            link.heal()
        for host in self.hosts:
            host.cut(Partition())

    def upstream_ports(self) -> tuple[int, ...]:
        """Return the ports at which hosts reach the upstreams."""
        return tuple(node.link.address.port for node in self.nodes)

    def links(self) -> list[Link]:
        """Return all links."""
        links = [node.link for node in self.nodes]
        return links + [
            link for host in self.hosts for link in (host.caller_link, host.store)
        ]

    def resume_host(self, host: HostProcess) -> None:
        """Resume a suspended host."""
        host.send(signal.SIGCONT)
        self.resumed_s = now_s()

    def record_run(self, record: RunRecord) -> None:
        """Record an execution."""
        kind_if_not_streaming = UNSAFE if record.request.startswith(UNSAFE) else "safe"
        self.history.record_execution(
            Execution(
                record.request,
                record.upstream,
                STREAM if record.streaming else kind_if_not_streaming,
                record.account,
                record.has_authorization,
                record.first_event,
                now_s(),
                record.software,
            )
        )

    def record_order(self, record: OrderRecord) -> None:
        """Record an order, and whether a fault on its way may have delayed it."""
        at_s = now_s()
        node = next(n for n in self.nodes if n.upstream.name == record.upstream)
        resumed_s = max(self.resumed_s, node.link.fault_changed_s)
        possibly_delayed = at_s - resumed_s < DELAYED_ORDER_S
        self.history.record_order(
            OrderExecution(
                record.upstream,
                record.holder,
                record.fencing,
                record.version,
                at_s,
                possibly_delayed,
            )
        )

    def errors_in_logs(self) -> list[str]:
        """Return the lines in the hosts' logs that report an internal error."""
        return [
            f"{host.name}: {line[:300].decode()}"
            for host in self.hosts
            if host.log.exists()
            for line in host.log.read_bytes().splitlines()
            if any(marker in line for marker in ERROR_MARKERS)
        ]

    def wait_ready(self, until_s: float) -> list[str]:
        """Wait until all hosts are ready; return the names of those that are not."""
        waiting = list(self.hosts)
        while waiting and now_s() < until_s:
            waiting = [host for host in waiting if not host.is_ready()]
            time.sleep(POLL_INTERVAL_S)
        return [host.name for host in waiting]
