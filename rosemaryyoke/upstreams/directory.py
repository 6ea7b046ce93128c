"""State of the upstreams in the rules: health, load and weights."""

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
from rosemaryyoke.upstreams.engine import EngineAdapter, LoadReport, engine_adapters

POLL_PERIOD_S = 0.5
SMALL_FLEET_POLL_INTERVAL_S = 1.0
SMALL_FLEET_SIZE = 16
INITIAL_COOLDOWN_S = 0.25
MAX_COOLDOWN_S = 4.0


@define(eq=False)
class UpstreamState:
    """State of an upstream as known to this host."""

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
        """Return whether new requests may be sent to the upstream."""
        return self.accepting and not self.leaving and now_s >= self.retry_at_s


def polls_per_period(upstreams: int) -> int:
    """Return how many upstreams are polled in one period."""
    if upstreams > SMALL_FLEET_SIZE:
        return 1
    return math.ceil(upstreams * POLL_PERIOD_S / SMALL_FLEET_POLL_INTERVAL_S)


class UpstreamDirectory:
    """State of all upstreams, refreshed by polling them in rotation."""

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.lock = threading.RLock()
        self.states: dict[str, UpstreamState] = {}
        self.fleet = Fleet()
        self.engine_adapter: EngineAdapter = engine_adapters.get("http")()
        self.poll_queue: list[str] = []

    def start(self) -> None:
        """Subscribe to rules and start polling load reports."""
        revisions = self.kernel.get("revisions")
        revisions.subscribe(self.apply_rules)
        self.members = self.kernel.get("members")
        self.recorder = self.kernel.get("recorder")
        self.executor = self.kernel.get("pool").executor
        self.kernel.get("timer").every(POLL_PERIOD_S, self.poll)

    def stop(self) -> None:
        """Do nothing; polling stops with the timer."""

    def apply_rules(self, rules: RuleSet) -> None:
        """Add, update and remove upstreams according to new rules."""
        with self.lock:
            for upstream in rules.upstreams.values():
                state = self.states.get(upstream.name)
                is_other = state is None or state.upstream.address != upstream.address
                if is_other:
                    self.states[upstream.name] = UpstreamState(upstream)
                else:
                    state.upstream = upstream
                if upstream.kind == ENGINE_KIND:
                    view = EngineView(upstream.name)
                    view = self.fleet.engines.setdefault(upstream.name, view)
                    if is_other:
                        view.weights = ""
                        self.fleet.set_incarnation(view, "")
            for name in set(self.states) - set(rules.upstreams):
                self.states.pop(name)
                self.fleet.engines.pop(name, None)

    def usable(self, upstreams: list[Upstream], excluded: set[str]) -> list[Upstream]:
        """Return the upstreams to which new requests may be sent now."""
        now_s = time.monotonic()
        with self.lock:
            return [
                upstream
                for upstream in upstreams
                if upstream.name not in excluded
                and upstream.name in self.states
                and self.states[upstream.name].usable(now_s)
            ]

    def record_failure(self, name: str) -> None:
        """Exclude an upstream for a cooldown that doubles with consecutive failures."""
        with self.lock:
            state = self.states.get(name)
            if state is None:
                return
            cooldown_s = min(MAX_COOLDOWN_S, INITIAL_COOLDOWN_S * 2**state.failures)
            state.failures = min(state.failures + 1, 8)
            state.retry_at_s = time.monotonic() + cooldown_s

    def record_refusal(self, name: str) -> None:
        """Exclude an upstream that rejected a request, and poll its state at once."""
        self.record_failure(name)
        self.executor.submit(self.poll_upstream, name)

    def apply_notice(self, notice: UpstreamNotice) -> None:
        """Apply a notice about an upstream from the platform or another host."""
        with self.lock:
            state = self.states.get(notice.name)
            if state is not None and state.upstream.address == notice.address:
                state.leaving = notice.leaving
        if notice.leaving:
            self.recorder.record("upstream.leaving", upstream=notice.name)

    def poll(self) -> None:
        """Poll the load of the next upstreams in the rotation.

        In a small fleet each upstream is polled every second. In a large one only one
        upstream is polled per period: responses carry load information as well, and
        other hosts announce upstreams that are leaving.
        """
        with self.lock:
            self.fleet.imports_enabled = bool(self.kv_store_address())
            if not self.poll_queue:
                self.poll_queue = sorted(self.states)
            names = self.poll_queue[: polls_per_period(len(self.states))]
            del self.poll_queue[: len(names)]
        for name in names:
            self.executor.submit(self.poll_upstream, name)

    def poll_upstream(self, name: str) -> None:
        """Poll the load of one upstream and apply its report."""
        with self.lock:
            state = self.states.get(name)
            if state is None:
                return
            address = state.upstream.address
        requested_at_s = time.monotonic()
        answer = self.engine_adapter.get_load_report(address)
        if isinstance(answer, Err):
            if state.failures == 0:
                logging.warning(
                    "cannot poll upstream %s: %s", name, answer.err_value.message
                )
            self.record_failure(name)
            return
        self.apply_load_report(name, answer.ok_value, requested_at_s, address)

    def apply_load_report(
        self, name: str, report: LoadReport, as_of_s: float, address: str = ""
    ) -> None:
        """Apply an upstream's load report, and notify peers if it is now leaving.

        A report from an address that the upstream no longer has is ignored.
        """
        with self.lock:
            state = self.states.get(name)
            if state is None or address not in ("", state.upstream.address):
                return
            restarted = report.incarnation != state.incarnation
            newly_leaving = report.leaving and not state.leaving
            state.incarnation = report.incarnation
            state.failures = 0
            state.retry_at_s = 0.0
            state.accepting = report.accepting
            if restarted or report.leaving:
                state.leaving = report.leaving
            state.weights = report.weights
            state.loading = report.loading
            state.reported_at_s = as_of_s
            engine = self.fleet.engines.get(name)
            if engine is not None:
                self.fleet.set_incarnation(engine, report.incarnation)
                engine.weights = report.weights
                engine.cache_blocks = report.cache_blocks or engine.cache_blocks
                engine.apply_load_report(
                    report.waiting_s, report.blocks_stored, as_of_s
                )
        if newly_leaving:
            address = state.upstream.address
            self.members.links.publish_notice(UpstreamNotice(name, address, True))

    def kv_store_address(self) -> str:
        """Return the address of a usable KV store, or an empty string."""
        now_s = time.monotonic()
        with self.lock:
            for state in self.states.values():
                if state.upstream.kind == STORE_KIND and state.usable(now_s):
                    return state.upstream.address
        return ""
