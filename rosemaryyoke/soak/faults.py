"""Unplanned faults, each of which reverts its effect."""

import random
import signal
import threading
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Callable, Iterator

from attrs import define

from rosemaryyoke.core import Registry
from rosemaryyoke.platform.standins.answer_forms import AnswerForm
from rosemaryyoke.platform.standins.documents import SLOTS, make_route
from rosemaryyoke.platform.standins.limited_slots import LimitedSlots
from rosemaryyoke.platform.standins.simulated_upstreams import Client, encode_request
from rosemaryyoke.soak.configurations import make_soak_configuration
from rosemaryyoke.soak.history import BrittleTime, now_s
from rosemaryyoke.soak.invariants import CUT_OFF_FAULT, REJECTING_FAULT
from rosemaryyoke.soak.link import BACKWARD, BOTH, FORWARD, Link
from rosemaryyoke.soak.testbed import READY, HostProcess, Testbed, UpstreamNode
from rosemaryyoke.soak.traffic import request_route
from rosemaryyoke.testing.partition import MODES, Partition

SHORT_S = (0.1, 0.6)
LONG_S = (0.3, 3.0)
DELAY_S = (0.02, 0.6)
COPY_AGE_S = (0.5, 6.0)  # of the copy from which the store is restored
CRASHING_S = (6.0, 9.0)  # longer than five crashes and the time to stop the part
CRASHING = "crashing"  # prefix of the requests that crash upstreams
DEADLINE_S = 3.0
LIMITS = (b"0", b"0.25", b"2", b"5.5")
LIMITED_S = (5.0, 9.0)  # longer than the time that hosts have to keep to a limit
LOST_WRITES = 3
REFUSING_SHARE = 0.5
HTTP_NOT_FOUND = 404
BRITTLE_TOLERANCE = 3  # refusals a second
BRITTLE_RUN_S = 0.3
BRITTLE_TOLD_S = (3.0, 3.5)  # until upstreams that say so may fall over
BRITTLE_S = (3.0, 5.0)
BRITTLE_DOWN_S = (1.0, 1.2)
IN_FORCE_S = (2.0, 2.0)  # the default bound of a configuration
CUT_OFF_S = (4.0, 8.0)  # longer than the time that hosts have to forward
SOFTWARE_VERSIONS = ("v1", "v2")
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
    """Lock a random host; yield None if something else acts on its process."""
    host = context.rng.choice(context.testbed.hosts)
    with try_lock(host.lock) as acquired:
        yield host if acquired else None


@contextmanager
def reserve_upstream(
    context: FaultContext, engines_only: bool = False
) -> Iterator[UpstreamNode | None]:
    """Lock a random upstream; yield None if something else acts on it."""
    nodes = context.testbed.nodes
    node = context.rng.choice([n for n in nodes if n.is_engine or not engines_only])
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


@faults.register("store cut off from a host")
def inject_store_link_fault(context: FaultContext) -> None:
    """Set a random fault on the link from one host to the store."""
    inject_link_fault(context, context.rng.choice(context.testbed.hosts).store)


@faults.register(REJECTING_FAULT)
def reject_most_hosts(context: FaultContext) -> None:
    """Let the store reject all hosts but one, and see which ones lack a new route."""
    testbed = context.testbed
    with try_lock(testbed.store_lock) as acquired:
        if not acquired:
            return
        served = context.rng.choice(testbed.hosts)
        rejected = [host for host in testbed.hosts if host is not served]
        refusing = context.rng.random() < REFUSING_SHARE
        for host in rejected:
            host.store.refusing = refusing
            host.store.blocked = frozenset() if refusing else BOTH
            if refusing:
                host.store.reset()
        document = make_soak_configuration()
        route = f"marked-{len(testbed.history.changes)}"
        document["routes"].append(make_route(route))
        testbed.publish(document)
        change = testbed.history.begin_change(route)
        context.wait(IN_FORCE_S)
        if not context.stopping.is_set():
            change.late_hosts += [
                host.name
                for host in testbed.hosts
                if request_route(host, route) == HTTP_NOT_FOUND
            ]
            change.checked_s = now_s()
        for host in rejected:
            host.store.heal()
        context.wait(LONG_S)


@faults.register("callers' link of a host")
def inject_caller_link_fault(context: FaultContext) -> None:
    """Set a random fault on the link from the callers to one host."""
    inject_link_fault(context, context.rng.choice(context.testbed.hosts).caller_link)


@faults.register(CUT_OFF_FAULT)
def cut_hosts_off(context: FaultContext) -> None:
    """Partition one to all of the hosts from all upstreams."""
    testbed = context.testbed
    with try_lock(testbed.partition_lock) as acquired:
        if not acquired:
            return
        count = context.rng.randint(1, len(testbed.hosts))
        hosts = context.rng.sample(testbed.hosts, count)
        partition = Partition(context.rng.choice(MODES), testbed.upstream_ports())
        entry = testbed.history.begin_cut([host.name for host in hosts])
        for host in hosts:
            host.cut(partition)
        context.wait(CUT_OFF_S)
        entry.ended_s = now_s()
        for host in hosts:
            host.cut(Partition())
        context.wait(SHORT_S)


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


@faults.register("upstream breaks its answers off")
def truncate_answers(context: FaultContext) -> None:
    """Let an upstream close its connections in order, in the middle of answers."""
    answer_in_form(context, AnswerForm.TRUNCATED)


@faults.register("upstream answers without end")
def send_unbounded_answers(context: FaultContext) -> None:
    """Let an upstream send bytes after each answer for as long as they are read."""
    answer_in_form(context, AnswerForm.UNBOUNDED)


def answer_in_form(context: FaultContext, form: AnswerForm) -> None:
    """Let an upstream answer in another form for a random time."""
    with reserve_upstream(context) as node:
        if node is not None:
            node.upstream.form = form
            context.wait(LONG_S)
            node.upstream.form = AnswerForm.FRAMED
            context.wait(SHORT_S)


@faults.register("part of prompts crashes upstreams")
def crash_upstreams_by_part(context: FaultContext) -> None:
    """Send prompts with a part that crashes each engine that answers on it."""
    testbed, rng = context.testbed, context.rng
    part = f"bad{rng.getrandbits(32):x}"
    testbed.crashing_parts.add(part)
    clients = [Client(host.caller_link.address) for host in testbed.hosts]
    until_s = now_s() + rng.uniform(*CRASHING_S)
    while now_s() < until_s and not context.stopping.wait(rng.uniform(*SHORT_S)):
        number = rng.getrandbits(32)
        prompt = f"aa:600,{part}:900,last{number:x}:100"
        request = f"{CRASHING}-{number:x}"
        data = encode_request(
            request, "/chat/1", "POST", "k1", DEADLINE_S, True, prompt
        )
        rng.choice(clients).exchange(data, DEADLINE_S)
    for client in clients:
        client.close()


@faults.register("request crashes upstreams")
def crash_upstreams_by_request(context: FaultContext) -> None:
    """Send one request again and again that crashes each upstream that runs it."""
    testbed, rng = context.testbed, context.rng
    target = f"/{rng.choice(('read', 'issue'))}/{CRASHING}{rng.getrandbits(32):x}"
    testbed.crashing_targets.add(target)
    clients = [Client(host.caller_link.address) for host in testbed.hosts]
    until_s = now_s() + rng.uniform(*CRASHING_S)
    while now_s() < until_s and not context.stopping.wait(rng.uniform(*SHORT_S)):
        request = f"{CRASHING}-{rng.getrandbits(32):x}"
        data = encode_request(request, target, "POST", "k1", DEADLINE_S, False)
        rng.choice(clients).exchange(data, DEADLINE_S)
    for client in clients:
        client.close()


@faults.register("upstream names a limit")
def limit_upstream(context: FaultContext) -> None:
    """Let an upstream name the requests a second that it takes."""
    with reserve_upstream(context) as node:
        if node is None:
            return
        limit = context.rng.choice(LIMITS)
        entry = context.testbed.history.begin_limit(node.upstream.name, float(limit))
        node.upstream.limit = limit
        context.wait(LIMITED_S)
        entry.ended_s = now_s()
        node.upstream.limit = None
        context.wait(SHORT_S)


@faults.register("plain upstreams brittle")
def make_upstreams_brittle(context: FaultContext) -> None:
    """Make plain upstreams slow, without a queue, and crash on many rejections."""
    testbed = context.testbed
    nodes = [node for node in testbed.nodes if not node.is_engine]
    with ExitStack() as stack:
        if not all(stack.enter_context(try_lock(node.lock)) for node in nodes):
            return
        entry = testbed.history.begin_brittle_time(len(nodes))
        for node in nodes:
            node.upstream.brittle = b"%d" % BRITTLE_TOLERANCE
            node.upstream.run_s = BRITTLE_RUN_S
        context.wait(BRITTLE_TOLD_S)
        for node in nodes:
            fall = partial(let_fall, node, entry)
            slots = LimitedSlots(SLOTS, BRITTLE_TOLERANCE, fall)
            node.upstream.limited_slots = slots
        context.wait(BRITTLE_S)
        entry.ended_s = now_s()
        for node in nodes:
            node.upstream.brittle = node.upstream.limited_slots = None
            node.upstream.run_s = 0.0
        context.wait(BRITTLE_DOWN_S)
        for node in nodes:
            node.link.heal()


def let_fall(node: UpstreamNode, entry: BrittleTime) -> None:
    """Abort an upstream's connections, and refuse new ones for a while."""
    entry.falls_s.append(now_s())
    node.link.refusing = True
    node.link.reset()
    timer = threading.Timer(BRITTLE_DOWN_S[0], node.link.heal)
    timer.daemon = True
    timer.start()


@faults.register("upstream replaced at its address")
def replace_upstream(context: FaultContext) -> None:
    """Reuse an upstream's address for another before the first is deregistered."""
    with reserve_upstream(context) as node:
        if node is not None:
            old_name = node.upstream.name
            node.link.reset()
            context.testbed.replace_incarnation(node)
            context.wait(SHORT_S)
            context.testbed.deregister(old_name)
            context.wait(SHORT_S)
            context.testbed.register_node(node, READY)


@faults.register("upstream replaced by another software version")
def change_software(context: FaultContext) -> None:
    """Break off what an engine runs, and start another version in its place."""
    with reserve_upstream(context, engines_only=True) as node:
        if node is not None:
            old_name = node.upstream.name
            node.link.reset()
            context.testbed.deregister(old_name)
            context.testbed.replace_incarnation(node)
            node.upstream.software = context.rng.choice(SOFTWARE_VERSIONS)
            context.wait(SHORT_S)
            context.testbed.register_node(node, READY)
            context.wait(SHORT_S)


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


@faults.register("store restored from an older copy")
def restore_store(context: FaultContext) -> None:
    """Take the store down, set it back, and take it down once more when it is up."""
    testbed = context.testbed
    with try_lock(testbed.store_lock) as acquired:
        if not acquired:
            return
        testbed.store.down = True
        context.wait(LONG_S)
        testbed.store.restore(context.rng.uniform(*COPY_AGE_S))
        testbed.store.down = False
        context.wait(SHORT_S)
        testbed.write_again()
        context.wait(SHORT_S)
        testbed.store.down = True
        context.wait(LONG_S)
        testbed.store.down = False
        context.wait(LONG_S)
