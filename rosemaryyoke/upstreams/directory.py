"""The upstreams that rules name, their health and their load."""

import math
import threading
import time

from absl import logging
from attrs import define
from result import Err

from rosemaryyoke.core import Kernel
from rosemaryyoke.membership import UpstreamNotice
from rosemaryyoke.placement import EngineView, Fleet
from rosemaryyoke.rules.model import ENGINE_KIND, STORE_KIND, RuleSet, Upstream
from rosemaryyoke.upstreams.engine import EngineWire, LoadReport, engine_adapters

POLL_PERIOD_S = 0.5
ALL_POLLED_EACH_S = 1.0
SMALL_FLEET = 16
FIRST_COOLDOWN_S = 0.25
MAX_COOLDOWN_S = 4.0


@define(eq=False)
class UpstreamState:
    """An upstream as this host sees it."""

    upstream: Upstream
    accepting: bool = True
    leaving: bool = False
    failures: int = 0
    retry_at_s: float = 0.0
    in_flight: int = 0
    weights: str = ""
    incarnation: str = ""
    loading: bool = False
    reported_at_s: float = 0.0

    def usable(self, now_s: float) -> bool:
        """Tell whether new work may go to the upstream."""
        return self.accepting and not self.leaving and now_s >= self.retry_at_s


def polls_in_period(upstreams: int) -> int:
    """Return how many upstreams are asked for their load in one period."""
    if upstreams > SMALL_FLEET:
        return 1
    return math.ceil(upstreams * POLL_PERIOD_S / ALL_POLLED_EACH_S)


class Directory:
    """Hold the state of all upstreams and refresh it by polling one after another."""

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.lock = threading.RLock()
        self.states: dict[str, UpstreamState] = {}
        self.fleet = Fleet()
        self.engine_wire: EngineWire = engine_adapters.get("http")()
        self.turn: list[str] = []

    def start(self) -> None:
        """Follow the rules in force and poll load reports."""
        revisions = self.kernel.get("revisions")
        revisions.subscribe(self.follow)
        self.members = self.kernel.get("members")
        self.recorder = self.kernel.get("recorder")
        self.executor = self.kernel.get("pool").executor
        self.kernel.get("timer").every(POLL_PERIOD_S, self.poll)

    def stop(self) -> None:
        """Do nothing; the timer ends the polling."""

    def follow(self, rules: RuleSet) -> None:
        """Take in the upstreams of new rules."""
        with self.lock:
            for upstream in rules.upstreams.values():
                state = self.states.get(upstream.name)
                if state is None or state.upstream.address != upstream.address:
                    self.states[upstream.name] = UpstreamState(upstream)
                else:
                    state.upstream = upstream
                if upstream.kind == ENGINE_KIND:
                    view = EngineView(upstream.name)
                    self.fleet.engines.setdefault(upstream.name, view)
            for name in set(self.states) - set(rules.upstreams):
                self.states.pop(name)
                self.fleet.engines.pop(name, None)

    def usable(self, upstreams: list[Upstream], excluded: set[str]) -> list[Upstream]:
        """Return the upstreams that may get new work now."""
        now_s = time.monotonic()
        with self.lock:
            return [
                upstream
                for upstream in upstreams
                if upstream.name not in excluded
                and upstream.name in self.states
                and self.states[upstream.name].usable(now_s)
            ]

    def failed(self, name: str) -> None:
        """Leave an upstream out for a while, longer with each failure in a row."""
        with self.lock:
            state = self.states.get(name)
            if state is None:
                return
            cooldown_s = min(MAX_COOLDOWN_S, FIRST_COOLDOWN_S * 2**state.failures)
            state.failures = min(state.failures + 1, 8)
            state.retry_at_s = time.monotonic() + cooldown_s

    def refused(self, name: str) -> None:
        """Leave out an upstream that takes no work, and ask it why at once."""
        self.failed(name)
        self.executor.submit(self.poll_one, name)

    def take_notice(self, notice: UpstreamNotice) -> None:
        """Take in what the platform or another host says of an upstream."""
        with self.lock:
            state = self.states.get(notice.name)
            if state is not None and state.upstream.address == notice.address:
                state.leaving = notice.leaving
        if notice.leaving:
            self.recorder.record("upstream.leaving", upstream=notice.name)

    def poll(self) -> None:
        """Ask the next upstreams for their load.

        In a small fleet each is asked every second. In a large one a host asks one at
        a time: answers tell of the load, and other hosts tell of upstreams that leave.
        """
        with self.lock:
            self.fleet.imports = bool(self.store_address())
            if not self.turn:
                self.turn = sorted(self.states)
            names = self.turn[: polls_in_period(len(self.states))]
            del self.turn[: len(names)]
        for name in names:
            self.executor.submit(self.poll_one, name)

    def poll_one(self, name: str) -> None:
        """Ask one upstream for its load and take in the answer."""
        with self.lock:
            state = self.states.get(name)
        if state is None:
            return
        asked_s = time.monotonic()
        answer = self.engine_wire.load(state.upstream.address)
        if isinstance(answer, Err):
            if state.failures == 0:
                logging.warning("upstream %s: %s", name, answer.err_value.message)
            self.failed(name)
            return
        self.take_report(name, answer.ok_value, asked_s)

    def take_report(self, name: str, report: LoadReport, as_of_s: float) -> None:
        """Take in an upstream's load report, and tell others when it leaves."""
        with self.lock:
            state = self.states.get(name)
            if state is None:
                return
            started_anew = report.incarnation != state.incarnation
            news = report.leaving and not state.leaving
            state.incarnation = report.incarnation
            state.failures = 0
            state.retry_at_s = 0.0
            state.accepting = report.accepting
            if started_anew or report.leaving:
                state.leaving = report.leaving
            state.weights = report.weights
            state.loading = report.loading
            state.reported_at_s = as_of_s
            engine = self.fleet.engines.get(name)
            if engine is not None:
                self.fleet.set_incarnation(engine, report.incarnation)
                engine.weights = report.weights
                engine.cache_blocks = report.cache_blocks or engine.cache_blocks
                engine.reported(report.waiting_s, report.blocks_stored, as_of_s)
        if news:
            address = state.upstream.address
            self.members.links.publish_notice(UpstreamNotice(name, address, True))

    def store_address(self) -> str:
        """Return the address of a kept-KV store that answers, or an empty text."""
        now_s = time.monotonic()
        with self.lock:
            for state in self.states.values():
                if state.upstream.kind == STORE_KIND and state.usable(now_s):
                    return state.upstream.address
        return ""
