"""Registered faults, each of which reverts its effect, and their injector."""

import random
import signal
import threading
from contextlib import contextmanager
from typing import Callable, Iterator

from attrs import define, field

from rosemaryyoke.core import Registry
from rosemaryyoke.platform.standins.documents import make_route
from rosemaryyoke.soak.history import now_s
from rosemaryyoke.soak.link import BACKWARD, BOTH, FORWARD, Link
from rosemaryyoke.soak.testbed import HostProcess, Testbed, UpstreamNode

SHORT_S = (0.1, 0.6)
LONG_S = (0.3, 3.0)
DELAY_S = (0.02, 0.6)
FAULT_PAUSE_S = (0.05, 0.8)  # between two faults of one worker
BURST_SIZE = 8
LOST_WRITES = 3
BLOCKED_DIRECTIONS = (BOTH, frozenset({FORWARD}), frozenset({BACKWARD}))


@define(eq=False)
class FaultContext:
    """What a fault acts on: the testbed, a random generator and the stop event."""

    testbed: Testbed
    rng: random.Random
    stopping: threading.Event

    def wait(self, bounds_s: tuple[float, float]) -> None:
        """Wait for a random time within bounds, or until the soak ends."""
        self.stopping.wait(self.rng.uniform(*bounds_s))


Fault = Callable[[FaultContext], None]

faults: Registry[Fault] = Registry("soak fault")


@contextmanager
def try_lock(lock: threading.Lock) -> Iterator[bool]:
    """Acquire a lock without blocking; yield whether it was acquired."""
    acquired = lock.acquire(blocking=False)
    try:
        yield acquired
    finally:
        if acquired:
            lock.release()


@contextmanager
def reserve_host(context: FaultContext) -> Iterator[HostProcess | None]:
    """Lock a random host; yield None if another process fault holds it."""
    host = context.rng.choice(context.testbed.hosts)
    with try_lock(host.lock) as acquired:
        yield host if acquired else None


@contextmanager
def reserve_upstream(
    context: FaultContext, service: str = ""
) -> Iterator[UpstreamNode | None]:
    """Lock a random upstream; yield None if another fault holds it."""
    nodes = [n for n in context.testbed.nodes if service in ("", n.service)]
    node = context.rng.choice(nodes)
    with try_lock(node.lock) as acquired:
        yield node if acquired else None


def restart_host(
    context: FaultContext, signal_number: signal.Signals, downtime_s: tuple
) -> None:
    """Terminate a host with a signal and restart it after a random time."""
    with reserve_host(context) as host:
        if host is not None:
            host.end(signal_number)
            context.wait(downtime_s)
            host.start()
            context.wait(LONG_S)


@faults.register("host killed")
def kill_host(context: FaultContext) -> None:
    """Kill a host and restart it."""
    restart_host(context, signal.SIGKILL, LONG_S)


@faults.register("host frozen")
def freeze_host(context: FaultContext) -> None:
    """Suspend a host with SIGSTOP and resume it after a random time."""
    with reserve_host(context) as host:
        if host is not None:
            host.send(signal.SIGSTOP)
            context.wait(LONG_S)
            context.testbed.resume_host(host)
            context.wait(SHORT_S)


@faults.register("host stopped in good order")
def stop_host(context: FaultContext) -> None:
    """Stop a host gracefully and restart it."""
    restart_host(context, signal.SIGTERM, SHORT_S)


@faults.register("host told to reload")
def reload_host(context: FaultContext) -> None:
    """Make a ready host reload its settings."""
    with reserve_host(context) as host:
        if host is not None and host.is_ready():
            host.send(signal.SIGHUP)
            context.wait(SHORT_S)


@faults.register("store cut off from a host")
def inject_store_link_fault(context: FaultContext) -> None:
    """Set a random fault on the link from one host to the store."""
    inject_link_fault(context, context.rng.choice(context.testbed.hosts).store)


@faults.register("callers' link of a host")
def inject_caller_link_fault(context: FaultContext) -> None:
    """Set a random fault on the link from the callers to one host."""
    inject_link_fault(context, context.rng.choice(context.testbed.hosts).caller_link)


@faults.register("link to an upstream")
def inject_upstream_link_fault(context: FaultContext) -> None:
    """Set a random fault on the link to an upstream."""
    with reserve_upstream(context) as node:
        if node is not None:
            inject_link_fault(context, node.link)


def inject_link_fault(context: FaultContext, link: Link) -> None:
    """Delay, block, refuse or reset a link for a random time."""
    kind = context.rng.choice(("delay", "silence", "refuse", "reset"))
    if kind == "delay":
        link.delay_s = context.rng.uniform(*DELAY_S)
    if kind == "silence":
        link.blocked = context.rng.choice(BLOCKED_DIRECTIONS)
    if kind == "refuse":
        link.refusing = True
    if kind in ("refuse", "reset"):
        link.reset()
    context.wait(SHORT_S if kind == "delay" else LONG_S)
    link.heal()


@faults.register("upstream crashed")
def crash_upstream(context: FaultContext) -> None:
    """Abort an upstream's connections; it returns without its orders."""
    with reserve_upstream(context) as node:
        if node is not None:
            node.link.refusing = True
            node.link.reset()
            node.upstream.orders = 0
            context.wait(LONG_S)
            node.link.heal()


@faults.register("upstream drained")
def drain_upstream(context: FaultContext) -> None:
    """Register an upstream as draining for a random time."""
    with reserve_upstream(context) as node:
        if node is not None:
            context.testbed.register_node(node, "draining")
            context.wait(LONG_S)
            context.testbed.register_node(node)


@faults.register("upstream replaced at its address")
def replace_upstream(context: FaultContext) -> None:
    """Reuse an upstream's address for another before the first is deregistered."""
    with reserve_upstream(context) as node:
        if node is not None:
            old_name = node.upstream.name
            node.generation += 1
            node.link.reset()
            node.upstream.name = f"{old_name.partition('.')[0]}.{node.generation}"
            node.upstream.orders = 0
            node.upstream.version = max(node.upstream.version, context.testbed.weights)
            context.wait(SHORT_S)
            context.testbed.store.remove("servers", old_name)
            context.wait(SHORT_S)
            context.testbed.register_node(node)


@faults.register("store fails")
def fail_store(context: FaultContext) -> None:
    """Make the store fail: down, slow, lost or late writes, or lost history."""
    store = context.testbed.store
    with try_lock(context.testbed.store_lock) as acquired:
        if not acquired:
            return
        kind = context.rng.choice(("down", "slow", "lose", "late", "forget"))
        store.down = kind == "down"
        store.call_delay_s = context.rng.uniform(*DELAY_S) if kind == "slow" else 0.0
        store.writes_to_lose = LOST_WRITES if kind in ("lose", "late") else 0
        store.lost_write_delay_s = (
            context.rng.uniform(*LONG_S) if kind == "late" else 0.0
        )
        if kind == "forget":
            store.forget_history()
        context.wait(LONG_S)
        store.down, store.writes_to_lose, store.call_delay_s = False, 0, 0.0


@faults.register("burst of configurations")
def burst_configurations(context: FaultContext) -> None:
    """Publish several configurations in quick succession."""
    with try_lock(context.testbed.store_lock) as acquired:
        for number in range(BURST_SIZE if acquired else 0):
            context.testbed.publish((make_route(f"burst-{number}"),))
            context.wait(FAULT_PAUSE_S)


@faults.register("new weights")
def request_weights(context: FaultContext) -> None:
    """Request new weights of the model."""
    context.testbed.request_weights()
    context.wait(LONG_S)


@define(eq=False)
class FaultInjector:
    """Workers that inject overlapping faults, each with its own random generator."""

    testbed: Testbed
    seed: int
    worker_count: int
    names: list[str] = field(factory=faults.names)
    stopping: threading.Event = field(factory=threading.Event)
    injected: list[tuple[float, float, str]] = field(factory=list)
    errors: list[str] = field(factory=list)
    threads: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Start all workers."""
        for worker in range(self.worker_count):
            thread = threading.Thread(target=self.run, args=(worker,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Stop the workers once their current faults are reverted."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, worker: int) -> None:
        """Inject one fault after another."""
        rng = random.Random(f"{self.seed}/{worker}")
        context = FaultContext(self.testbed, rng, self.stopping)
        while not self.stopping.wait(rng.uniform(*FAULT_PAUSE_S)):
            name = rng.choice(self.names)
            started_s = now_s()
            try:
                faults.get(name)(context)
            except Exception as error:
                self.errors.append(f"{name}: {error!r}")
            self.injected.append((started_s, now_s(), name))
