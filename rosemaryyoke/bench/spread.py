"""Cost of membership and of spreading revisions, by the number of hosts.

Many nodes run the product's links in a few processes. Each node that hears of a higher
revision reports it as its own, as hosts do once it is in force.
"""

import multiprocessing
import resource
import time
from multiprocessing.connection import Connection

from attrs import define, frozen

from rosemaryyoke.bench.host import resident_bytes
from rosemaryyoke.bench.measure import Measure, bench
from rosemaryyoke.bench.simulate import percentile
from rosemaryyoke.core import (
    EventRecorder,
    Kernel,
    Metrics,
    PoolService,
    TimerService,
    set_stack_size,
)
from rosemaryyoke.membership import Links, Member, MemberTable
from rosemaryyoke.peers import Peers
from rosemaryyoke.settings import Settings
from rosemaryyoke.testing.builders import free_port

SIZES = (20, 60, 120)
PLANNED_HOSTS = 340
NODES_PER_PROCESS = 20
QUIET_S = 10.0
REVISIONS = 4
REVISION_GAP_S = 2.0
SETTLE_S = 8.0
BOUND_BYTES_S = 3_000.0
BOUND_CORE = 0.031
BOUND_MB = 32.0
BOUND_SPREAD_S = 5.0
CHANGES_PER_DAY = 570
RESTARTS_PER_DAY = 129
DAY_S = 86_400
KEY = "bench-shared-key-0123456789"
PACKET_OVERHEAD_BYTES = 52


class NoDirectory:
    """Stand for the directory of upstreams."""

    def apply_notice(self, notice) -> None:
        """Take no notice."""


class RevisionFollower:
    """Report a higher revision as one's own, and note when it was heard."""

    def __init__(self, node: "Node"):
        self.node = node
        self.heard_at_s: dict[int, float] = {}

    def handle_member_update(self, member: Member) -> None:
        """Follow a member to its revision."""
        node = self.node
        if member.revision > node.table.local_member.revision:
            self.heard_at_s[member.revision] = time.monotonic()
            node.links.announce(node.table.update_local(revision=member.revision))


class Node:
    """The membership part of a host."""

    def __init__(self, name: str, port: int, seeds: list[str], shared: Kernel):
        settings = Settings(name, "dc", "127.0.0.1", 1, port, "127.0.0.1:1", KEY)
        self.kernel = Kernel()
        self.kernel.add("recorder", EventRecorder(name, capacity=100))
        for service in ("metrics", "pool", "timer"):
            self.kernel.add(service, shared.get(service))
        self.peers = Peers(self.kernel, settings)
        self.kernel.add("peers", self.peers)
        self.kernel.add("directory", NoDirectory())
        address = settings.peer_address
        me = Member(name, f"http-{address}", address, "dc", time.time_ns() // 1_000_000)
        self.table = MemberTable(me)
        self.links = Links(self.kernel, self.table, KEY.encode(), seeds)
        self.follower = RevisionFollower(self)
        self.kernel.add("exchange", self.follower)

    def start(self) -> None:
        """Listen and open links."""
        self.peers.server.start()
        self.links.start()

    def bytes_sent(self) -> int:
        """Return the bytes sent on links that are open."""
        return sum(channel.bytes_sent for channel in list(self.links.links))

    def messages_sent(self) -> int:
        """Return the messages sent on links that are open."""
        return sum(channel.frames_sent for channel in list(self.links.links))


@frozen
class Sample:
    """What the nodes of one process have used so far."""

    processor_s: float
    bytes_sent: int
    messages_sent: int
    resident: int
    complete: int
    suspicions: int = 0


@define
class Worker:
    """A process with some of the nodes."""

    process: multiprocessing.Process
    pipe: Connection

    def ask(self, command: str, *arguments):
        """Have the process run a command and return its answer."""
        self.pipe.send((command, arguments))
        return self.pipe.recv()


def run_worker(pipe: Connection, plan: list[tuple[str, int]], seeds: list[str]) -> None:
    """Run nodes and answer commands until told to stop."""
    set_stack_size()
    pool = PoolService(workers=32)
    shared = Kernel()
    shared.add("metrics", Metrics())
    shared.add("pool", pool)
    shared.add("timer", TimerService(pool.executor))
    shared.start()
    base = resident_bytes(multiprocessing.current_process().pid)
    nodes = [Node(name, port, seeds, shared) for name, port in plan]
    commands = WorkerCommands(nodes, base)
    while True:
        command, arguments = pipe.recv()
        if command == "stop":
            pipe.send(None)
            return
        pipe.send(getattr(commands, command)(*arguments))


@define
class WorkerCommands:
    """What a worker's process does when it is asked."""

    nodes: list[Node]
    base: int

    def start(self) -> None:
        """Start every node."""
        for node in self.nodes:
            node.start()

    def announce(self, revision: int) -> float:
        """Let the first node report a revision; return when."""
        node = self.nodes[0]
        at_s = time.monotonic()
        node.follower.heard_at_s[revision] = at_s
        node.links.announce(node.table.update_local(revision=revision))
        return at_s

    def heard(self, revision: int) -> list[float]:
        """Return when each node heard of a revision."""
        times = [node.follower.heard_at_s.get(revision) for node in self.nodes]
        return [at_s for at_s in times if at_s is not None]

    def sample(self, hosts: int) -> Sample:
        """Return what the nodes have used so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pid = multiprocessing.current_process().pid
        return Sample(
            usage.ru_utime + usage.ru_stime,
            sum(node.bytes_sent() for node in self.nodes),
            sum(node.messages_sent() for node in self.nodes),
            resident_bytes(pid) - self.base,
            sum(len(node.table.all()) == hosts for node in self.nodes),
            sum(
                event.kind == "host.suspected"
                for node in self.nodes
                for event in node.kernel.get("recorder").snapshot()
            ),
        )


def start_workers(hosts: int) -> list[Worker]:
    """Return processes with all nodes, started."""
    plan = [(f"host{number}", free_port()) for number in range(hosts)]
    seeds = [f"127.0.0.1:{port}" for _, port in plan[:3]]
    context = multiprocessing.get_context("spawn")
    workers = []
    for first in range(0, hosts, NODES_PER_PROCESS):
        ours, theirs = context.Pipe()
        part = plan[first : first + NODES_PER_PROCESS]
        process = context.Process(target=run_worker, args=(theirs, part, seeds))
        process.start()
        workers.append(Worker(process, ours))
    for worker in workers:
        worker.ask("start")
    return workers


def add_samples(samples: list[Sample]) -> Sample:
    """Return the sum of samples."""
    return Sample(
        sum(sample.processor_s for sample in samples),
        sum(sample.bytes_sent for sample in samples),
        sum(sample.messages_sent for sample in samples),
        sum(sample.resident for sample in samples),
        sum(sample.complete for sample in samples),
        sum(sample.suspicions for sample in samples),
    )


@frozen
class SpreadCost:
    """Cost for each host at a size."""

    hosts: int
    quiet_core: float
    quiet_bytes_s: float
    revision_core_s: float
    revision_bytes: float
    revision_messages: float
    spread_s: float
    resident_mb: float
    suspicions: int


def measure_size(hosts: int) -> SpreadCost:
    """Return the cost of links at a number of hosts."""
    workers = start_workers(hosts)
    try:
        wait_complete(workers, hosts)
        began = sample_all(workers, hosts)
        time.sleep(QUIET_S)
        quiet = sample_all(workers, hosts)
        spread = [spread_revision(workers, number + 1) for number in range(REVISIONS)]
        after = sample_all(workers, hosts)
    finally:
        for worker in workers:
            worker.ask("stop")
            worker.process.terminate()
    quiet_core = (quiet.processor_s - began.processor_s) / QUIET_S / hosts
    quiet_bytes = wire_bytes(began, quiet) / QUIET_S / hosts
    window_s = REVISIONS * REVISION_GAP_S
    share = REVISIONS * hosts
    used_s = after.processor_s - quiet.processor_s - quiet_core * window_s * hosts
    sent = wire_bytes(quiet, after) - quiet_bytes * window_s * hosts
    messages = after.messages_sent - quiet.messages_sent
    return SpreadCost(
        hosts,
        quiet_core,
        quiet_bytes,
        max(0.0, used_s) / share,
        max(0.0, sent) / share,
        messages / share,
        percentile(sorted(spread), 1.0),
        after.resident / hosts / 1024 / 1024,
        after.suspicions - began.suspicions,
    )


def wire_bytes(before: Sample, after: Sample) -> float:
    """Return the bytes on the wire between two samples, packets' heads included."""
    packets = 2 * (after.messages_sent - before.messages_sent)
    return after.bytes_sent - before.bytes_sent + PACKET_OVERHEAD_BYTES * packets


def sample_all(workers: list[Worker], hosts: int) -> Sample:
    """Return the sum of all workers' samples."""
    return add_samples([worker.ask("sample", hosts) for worker in workers])


def wait_complete(workers: list[Worker], hosts: int) -> None:
    """Wait until every node knows every host, then for the links to settle."""
    deadline_s = time.monotonic() + 60.0
    while sample_all(workers, hosts).complete < hosts:
        if time.monotonic() > deadline_s:
            raise TimeoutError("not every node knows every host")
        time.sleep(0.2)
    time.sleep(SETTLE_S)


def spread_revision(workers: list[Worker], revision: int) -> float:
    """Return the seconds from a report on one node until the last node heard."""
    began_s = workers[0].ask("announce", revision)
    time.sleep(REVISION_GAP_S)
    times = [at_s for worker in workers for at_s in worker.ask("heard", revision)]
    hosts = sum(1 for _ in times)
    if hosts < len(workers):
        return float("inf")
    return max(times) - began_s


def line_at(costs: list[SpreadCost], attribute: str, hosts: int) -> float:
    """Return the least-squares line of an attribute at a number of hosts."""
    xs = [cost.hosts for cost in costs]
    ys = [getattr(cost, attribute) for cost in costs]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    return mean_y + slope * (hosts - mean_x)


@bench.register("spread")
def bench_spread() -> list[Measure]:
    """Return the cost of a host at the planned size, from lines over three sizes."""
    costs = [measure_size(hosts) for hosts in SIZES]
    for cost in costs:
        print(cost, flush=True)
    per_day = CHANGES_PER_DAY + RESTARTS_PER_DAY
    plan = {
        name: line_at(costs, name, PLANNED_HOSTS)
        for name in ("quiet_core", "quiet_bytes_s", "revision_core_s", "revision_bytes")
    }
    core = plan["quiet_core"] + plan["revision_core_s"] * per_day / DAY_S
    sent = plan["quiet_bytes_s"] + plan["revision_bytes"] * per_day / DAY_S
    resident = line_at(costs, "resident_mb", PLANNED_HOSTS)
    spread_s = line_at(costs, "spread_s", PLANNED_HOSTS)
    return [
        Measure("control, processor of a host at 340", core, BOUND_CORE, "cores"),
        Measure("control, bytes sent by a host at 340", sent, BOUND_BYTES_S, "bytes/s"),
        Measure("control, memory of a host at 340", resident, BOUND_MB, "MB"),
        Measure("a revision's way to the last of 340", spread_s, BOUND_SPREAD_S, "s"),
    ]
