"""Simulated hosts whose quotas exchange datagrams over a lossy network."""

import heapq
import itertools
import random
import time
from bisect import bisect_left
from typing import Callable

from attrs import define, field

from rosemaryyoke.catalog import Quota
from rosemaryyoke.quotas.bucket import QuotaBounds
from rosemaryyoke.quotas.messages import ANSWER, ASK
from rosemaryyoke.quotas.node import ADMITTED, Decision, PendingRequest, QuotaNode

TICK_S = 0.1  # as the service's timer
BEACON_PERIOD_S = 0.3
LIVENESS_S = 1.6  # as the hosts' table
DELAY_S = (0.0005, 0.0014)  # one way, between hosts
REACH_UPSTREAM_S = (0.001, 0.02)


@define(eq=False)
class SimulatedHost:
    """One process of a host; ``frozen_until_s`` is when its machine runs again."""

    name: str
    node: QuotaNode
    frozen_until_s: float = 0.0
    alive: bool = True
    heard_s: dict[str, float] = field(factory=dict)


@define
class Admission:
    """A request that reached an upstream."""

    at_s: float
    cost: float
    version: int


@define(eq=False)
class SimulatedFleet:
    """Hosts, the network between them and what they admitted.

    ``loss`` and ``doubling`` are the shares of datagrams that are lost and doubled,
    ``late_share`` the share that is up to ``late_s`` late. ``cut`` tells whether
    datagrams from one host to another are lost. ``make_node`` replaces the nodes, to
    see what a check finds in a worse design. ``processor_s`` is the time that nodes
    spent on requests, leases not included.
    """

    names: list[str]
    quotas: dict[str, Quota]
    bounds: QuotaBounds
    seed: int = 0
    loss: float = 0.0
    doubling: float = 0.0
    late_share: float = 0.0
    late_s: float = 0.0
    with_beacons: bool = True
    cut: Callable[[str, str], bool] = lambda sender, receiver: False
    make_node: Callable[..., QuotaNode] = QuotaNode
    now_s: float = 1_000.0
    version: int = 1
    hosts: dict[str, SimulatedHost] = field(factory=dict)
    events: list = field(factory=list)
    order: itertools.count = field(factory=itertools.count)
    boots: itertools.count = field(factory=lambda: itertools.count(1))
    admissions: dict[str, list[Admission]] = field(factory=dict)
    results: dict[str, int] = field(factory=dict)
    processor_s: float = 0.0
    datagrams: dict[bytes, int] = field(factory=dict)
    dice: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.dice = random.Random(self.seed)
        random.seed(self.seed)  # for the nodes' own draws
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a new process of a host."""
        node = self.make_node(
            name,
            next(self.boots),
            self.now_s,
            lambda receiver, data: self.send(name, receiver, data),
            self.bounds,
            has_seeds=len(self.names) > 1,
        )
        node.configure(self.quotas, self.version, self.now_s)
        host = SimulatedHost(name, node)
        self.hosts[name] = host
        self.after(self.dice.uniform(0, TICK_S), lambda: self.tick(host), host)
        if self.with_beacons:
            self.after(
                self.dice.uniform(0, BEACON_PERIOD_S),
                lambda: self.send_beacons(host),
                host,
            )
        else:
            host.node.members.update(self.names, self.now_s)

    def kill(self, name: str) -> None:
        """End the process of a host."""
        self.hosts[name].alive = False

    def freeze(self, name: str, seconds: float) -> None:
        """Suspend a host, which handles what came meanwhile when it resumes."""
        host = self.hosts[name]
        host.frozen_until_s = max(host.frozen_until_s, self.now_s + seconds)

    def change(self, quotas: dict[str, Quota]) -> None:
        """Let all hosts apply another configuration, each within a second."""
        self.quotas, self.version = quotas, self.version + 1
        version = self.version
        for host in list(self.hosts.values()):
            self.after(
                self.dice.uniform(0, 1.0),
                lambda node=host.node: node.configure(quotas, version, self.now_s),
                host,
            )

    def after(self, delay_s: float, action, host: SimulatedHost | None = None) -> None:
        """Run an action later, on a host unless it has died."""
        event = (self.now_s + delay_s, next(self.order), action, host)
        heapq.heappush(self.events, event)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end_s = self.now_s + seconds
        while self.events and self.events[0][0] <= end_s:
            at_s, _, action, host = heapq.heappop(self.events)
            self.now_s = max(self.now_s, at_s)
            if host is not None:
                if not host.alive:
                    continue
                if host.frozen_until_s > self.now_s:
                    self.after(host.frozen_until_s - self.now_s, action, host)
                    continue
            action()
        self.now_s = end_s

    def tick(self, host: SimulatedHost) -> None:
        """Do the periodic work of a host."""
        if self.with_beacons:
            live = [
                name
                for name, at_s in host.heard_s.items()
                if self.now_s - at_s < LIVENESS_S
            ]
            host.node.members.update(live, self.now_s)
        host.node.tick(self.now_s)
        self.after(TICK_S, lambda: self.tick(host), host)

    def send_beacons(self, host: SimulatedHost) -> None:
        """Let the other hosts hear a host."""
        for other in list(self.hosts.values()):
            if other is host or self.cut(host.name, other.name):
                continue
            if self.dice.random() >= self.loss:
                self.after(
                    self.dice.uniform(*DELAY_S),
                    lambda other=other: other.heard_s.__setitem__(
                        host.name, self.now_s
                    ),
                    other,
                )
        self.after(BEACON_PERIOD_S, lambda: self.send_beacons(host), host)

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Carry a datagram, or lose or double it."""
        self.datagrams[data[:1]] = self.datagrams.get(data[:1], 0) + 1
        copies = 1 + (self.dice.random() < self.doubling)
        for _ in range(copies):
            if self.dice.random() < self.loss or self.cut(sender, receiver):
                continue
            delay_s = self.dice.uniform(*DELAY_S)
            if self.dice.random() < self.late_share:
                delay_s += self.dice.uniform(0, self.late_s)
            other = self.hosts.get(receiver)
            if other is not None:
                self.after(delay_s, lambda: self.deliver(other, data), other)

    def deliver(self, host: SimulatedHost, data: bytes) -> None:
        """Hand a datagram to a host."""
        began_s = time.thread_time()
        host.node.receive(data[:1], data[1:], self.now_s)
        if data[:1] in (ASK, ANSWER):
            self.processor_s += time.thread_time() - began_s

    def request(
        self,
        name: str,
        account: str,
        cost: float,
        run_share: float = 1.0,
        on_decision: Callable[[Decision], None] = lambda decision: None,
    ) -> None:
        """Let a client send a request to a host, if that runs.

        All but ``run_share`` of those admitted are given back instead of run.
        """
        host = self.hosts[name]
        if not host.alive or host.frozen_until_s > self.now_s:
            return
        version, quota = self.version, self.quotas[account]
        began_s = time.thread_time()
        known = host.node.request(account, quota, version, cost, self.now_s)
        self.processor_s += time.thread_time() - began_s

        def complete() -> None:
            self.complete(host, known, run_share)
            on_decision(known.decision)

        if known.decision is not None:
            complete()
            return
        known.on_decision = complete
        self.poll_later(host, known)

    def poll_later(self, host: SimulatedHost, request: PendingRequest) -> None:
        """Poll a request whenever it is due, until it is decided."""

        def poll() -> None:
            if request.decision is None:
                host.node.poll(request, self.now_s)
            if request.decision is None:
                self.poll_later(host, request)

        self.after(max(0.001, request.next_s - self.now_s), poll, host)

    def complete(
        self, host: SimulatedHost, request: PendingRequest, run_share: float
    ) -> None:
        """Record a decision, and send what is admitted to an upstream."""
        result = request.decision.result
        self.results[result] = self.results.get(result, 0) + 1
        if result != ADMITTED:
            return
        if self.dice.random() >= run_share:
            self.after(
                self.dice.uniform(*REACH_UPSTREAM_S),
                lambda: host.node.give_back(request, self.now_s),
                host,
            )
            return
        ask = request.ask
        admissions = self.admissions.setdefault(ask.account, [])
        delay_s = self.dice.uniform(*REACH_UPSTREAM_S)
        admissions.append(Admission(self.now_s + delay_s, ask.cost, ask.version))

    def admitted(self, account: str, since_s: float = 0.0) -> float:
        """Return the cost that was admitted since a time."""
        return sum(
            item.cost
            for item in self.admissions.get(account, ())
            if item.at_s >= since_s
        )


def highest_window(admissions: list[Admission], window_s: float) -> tuple[float, float]:
    """Return the highest cost of any window, and when that window ends."""
    ordered = sorted(admissions, key=lambda item: item.at_s)
    sums = [0.0, *itertools.accumulate(item.cost for item in ordered)]
    times = [item.at_s for item in ordered]
    highest = (0.0, 0.0)
    for end, at_s in enumerate(times):
        start = bisect_left(times, at_s - window_s)
        highest = max(highest, (sums[end + 1] - sums[start], at_s))
    return highest
