"""Roll out the target weights to engines, by orders under the leases of their models.

Engines may not check fencing tokens, so orders of two lease holders must also be
separated in time: a holder sends orders only in the first part of its lease, and the
next holder starts after the whole lease has expired. Models that share engines are
rolled out by one host, which holds the leases of all of them.
"""

import math
import threading
import time
from concurrent.futures import Executor
from typing import Callable, Collection

from absl import logging
from attrs import define, field
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.fleet import Fleet, UpstreamState
from rosemaryyoke.objects import Lease, ObjectApi
from rosemaryyoke.rollout.messages import (
    EngineClient,
    EngineReport,
    OrderOutcome,
    RunningRequests,
    WeightsOrder,
)
from rosemaryyoke.rollout.order_leases import OrderLeases

TICK_INTERVAL_S = 0.25
ORDER_WINDOW_S = 1.6
RENEW_AFTER_S = 0.6
ORDER_TIMEOUT_S = 0.8
ORDER_MARGIN_S = 0.2
LOADING_TIMEOUT_S = 10.0  # an order without a result is then retried
POLL_INTERVAL_S = 0.4
UNKNOWN_OUTCOME_DELAY_S = 2.5  # an unanswered order may take effect this late
LEASE_CHECK_INTERVAL_S = 1.0
PREFILL_POLL_S = 0.2
MAX_PREFILL_WAIT_S = 0.8  # long prompts may take longer; the order then waits for them
ENGINES_PER_LOAD = 3  # of the usable engines, one in this many loads at a time


@define
class PendingOrder:
    """A version that an engine was ordered to load, and when to retry the order."""

    version: int
    retry_at_s: float
    polled_s: float = 0.0


@define(eq=False)
class ModelRollout:
    """This host's pending orders for a model, by engine.

    ``prefilling_since_s`` has the engines whose orders wait until prompts are read.
    """

    pending: dict[str, PendingOrder] = field(factory=dict)
    prefilling_since_s: dict[str, float] = field(factory=dict)

    def postpone(self, name: str, delay_s: float) -> None:
        """Retry an engine's order after a delay."""
        pending = self.pending.get(name)
        if pending is not None:
            pending.retry_at_s = time.monotonic() + delay_s


@define(eq=False)
class Rollout:
    """Orders engines with outdated weights to load the target version.

    ``standing`` returns this host's rank among the candidates for a model's lease, or
    ``None`` if it is not one. ``announce`` tells other hosts that engines will load.
    ``reported`` has the models that engines reported last.
    """

    holder: str
    lease_s: float
    api: ObjectApi
    engines: EngineClient
    catalog: Catalog
    fleet: Fleet
    executor: Executor
    standing: Callable[[str], int | None]
    announce: Callable[[], None] = lambda: None
    models: dict[str, ModelRollout] = field(factory=dict)
    leases: OrderLeases = field(init=False)
    checked_s: dict[str, float] = field(factory=dict)
    reported: dict[str, frozenset[str]] = field(factory=dict)
    running: threading.Lock = field(factory=threading.Lock)
    stopping: bool = False

    def __attrs_post_init__(self) -> None:
        self.leases = OrderLeases(self.make_lease)

    def tick(self) -> None:
        """Advance the roll-out of each model that has outdated engines."""
        for model, version in list(self.catalog.wanted.items()):
            outdated = self.outdated(model, version)
            if not outdated or self.stopping:
                continue
            models = self.related_models(model)
            if self.may_order(models):
                self.advance(model, version, outdated, models)

    def related_models(self, model: str) -> frozenset[str]:
        """Return the models that share engines with a model, also by way of others."""
        with self.fleet.lock:
            sets = [
                self.reported.get(name, frozenset()).union(state.weights)
                for name, state in self.fleet.states.items()
            ]
        related = {model}
        while True:
            joined = related.union(*(item for item in sets if item & related))
            if joined == related:
                return frozenset(related)
            related = joined

    def may_order(self, models: Collection[str]) -> bool:
        """Return whether this host holds the models' leases or may acquire them."""
        return self.leases.remaining_s(models) > 0 or self.rank(models) is not None

    def rank(self, models: Collection[str]) -> int | None:
        """Return this host's rank among the candidates for the models' leases.

        That of the first model counts. Hosts of earlier builds leave other models to
        the candidates for these; they follow after the first.
        """
        first, *others = sorted(models)
        rank = self.standing(first)
        if rank is None and any(self.standing(model) is not None for model in others):
            return 1
        return rank

    def loading(self) -> tuple[str, ...]:
        """Return the engines with a pending order of this host."""
        now_s = time.monotonic()
        return tuple(
            name
            for rollout in list(self.models.values())
            for name, pending in list(rollout.pending.items())
            if now_s < pending.retry_at_s
        )

    def is_busy(self, state: UpstreamState, model: str, now_s: float) -> bool:
        """Return whether an order for another model may still be carried out."""
        name = state.upstream.name
        orders = [
            (other, rollout.pending[name])
            for other, rollout in list(self.models.items())
            if other != model and name in rollout.pending
        ]
        return any(
            now_s < pending.retry_at_s and state.weights.get(other, 0) < pending.version
            for other, pending in orders
        )

    def serving(self, model: str) -> list[UpstreamState]:
        """Return the engines that serve a model."""
        with self.fleet.lock:
            return [
                state
                for state in self.fleet.states.values()
                if model in state.weights and not state.draining
            ]

    def outdated(self, model: str, version: int) -> list[UpstreamState]:
        """Return the engines that serve a version older than the target."""
        engines = self.serving(model)
        return [state for state in engines if state.weights[model] < version]

    def advance(
        self,
        model: str,
        version: int,
        outdated: list[UpstreamState],
        models: Collection[str],
    ) -> None:
        """Hold the leases, and send orders up to the limit of concurrent loads."""
        rollout = self.models.setdefault(model, ModelRollout())
        if not self.acquire_leases(models):
            return
        self.drop_completed_orders(rollout, model)
        engines = self.next_engines(rollout, model, outdated)
        self.mark_loading(rollout, engines, version)
        for state in engines:
            self.executor.submit(self.send_order, rollout, state, model, version)
        self.poll_pending(rollout, model, outdated)

    def mark_loading(
        self, rollout: ModelRollout, engines: list[UpstreamState], version: int
    ) -> None:
        """Mark engines as loading, so that placement avoids them.

        Other hosts are told once for all of the engines.
        """
        retry_at_s = time.monotonic() + LOADING_TIMEOUT_S
        with self.fleet.lock:
            for state in engines:
                rollout.pending[state.upstream.name] = PendingOrder(version, retry_at_s)
                state.loading_until_s = retry_at_s
        if engines:
            self.announce()

    def make_lease(self, model: str) -> Lease:
        """Return the lease on a model's orders."""
        duration_s = self.lease_s + ORDER_WINDOW_S + ORDER_TIMEOUT_S
        return Lease(
            self.api,
            f"leases/{model}",
            self.holder,
            duration_s=duration_s,
            renew_after_s=RENEW_AFTER_S,
            eras=self.catalog.eras,
        )

    def acquire_leases(self, models: Collection[str]) -> bool:
        """Acquire or renew the leases of models.

        A candidate that is not the first one tries only every
        ``LEASE_CHECK_INTERVAL_S``.
        """
        now_s, first = time.monotonic(), min(models)
        preferred = self.leases.remaining_s(models) > 0 or self.rank(models) == 0
        checked_s = self.checked_s.get(first, -math.inf)
        if not preferred and now_s - checked_s < LEASE_CHECK_INTERVAL_S:
            return False
        self.checked_s[first] = now_s
        return self.leases.acquire(models)

    def drop_completed_orders(self, rollout: ModelRollout, model: str) -> None:
        """Remove completed orders, and orders of engines that have left."""
        with self.fleet.lock:
            for name, pending in list(rollout.pending.items()):
                state = self.fleet.states.get(name)
                if state is None or state.weights.get(model, 0) >= pending.version:
                    rollout.pending.pop(name, None)
            for name in set(self.reported) - self.fleet.states.keys():
                self.reported.pop(name, None)
                rollout.prefilling_since_s.pop(name, None)

    def next_engines(
        self, rollout: ModelRollout, model: str, outdated: list[UpstreamState]
    ) -> list[UpstreamState]:
        """Return the engines to send orders to now.

        Those whose orders wait already come first, then those that read no prompts,
        then the least loaded.
        """
        now_s = time.monotonic()
        loading = [item for item in rollout.pending.values() if now_s < item.retry_at_s]
        usable = [item for item in self.serving(model) if item.usable(now_s)]
        max_loading = max(1, len(usable) // ENGINES_PER_LOAD)
        free_slots = max_loading - len(loading)
        ready = [
            state
            for state in outdated
            if is_due(rollout.pending.get(state.upstream.name), now_s)
            and state.usable(now_s)
            and not self.is_busy(state, model, now_s)
        ]
        ready.sort(
            key=lambda state: (
                state.upstream.name not in rollout.prefilling_since_s,
                state.waiting_prefill(now_s) > 0,
                state.running(now_s),
            )
        )
        return ready[: max(0, free_slots)]

    def send_order(
        self, rollout: ModelRollout, state: UpstreamState, model: str, version: int
    ) -> None:
        """Send an order to an engine if enough of its models' leases is left."""
        name, address = state.upstream.name, state.upstream.address
        report = self.engines.report(address)
        if isinstance(report, Err):
            logging.warning("engine %s: report failed: %s", name, report.err_value)
            self.retry_later(rollout, state, POLL_INTERVAL_S)
            return
        self.reported[name] = frozenset(report.ok_value.weights)
        if self.apply_report(rollout, state, model, report.ok_value):
            return
        if report.ok_value.loading:
            self.retry_later(rollout, state, POLL_INTERVAL_S)
            return
        with self.fleet.lock:
            models = report.ok_value.weights.keys() | state.weights.keys()
        if self.wait_for_prefill(rollout, state, report.ok_value):
            return
        held_s = self.leases.remaining_s(models)
        if held_s < self.lease_s + ORDER_TIMEOUT_S + ORDER_MARGIN_S:
            self.retry_later(rollout, state, 0.0)
            return
        fencing = self.leases.fencing_token(models)
        running = treat_running(report.ok_value)
        outcome = self.engines.order(
            WeightsOrder(
                name,
                address,
                model,
                version,
                self.holder,
                fencing,
                report.ok_value.orders,
                ORDER_TIMEOUT_S,
                running,
            )
        )
        log_event(
            "order sent",
            upstream=name,
            model=model,
            version=version,
            fencing=fencing,
            running=running.value,
            prefilling=report.ok_value.prefilling,
            outcome=outcome.value,
        )
        if outcome is not OrderOutcome.ACCEPTED:
            is_unknown = outcome is OrderOutcome.UNKNOWN
            self.retry_later(
                rollout,
                state,
                UNKNOWN_OUTCOME_DELAY_S if is_unknown else 2 * POLL_INTERVAL_S,
            )

    def wait_for_prefill(
        self, rollout: ModelRollout, state: UpstreamState, report: EngineReport
    ) -> bool:
        """Postpone an order while prompts are read; return whether it was.

        Hosts place no requests on the engine meanwhile, since it is marked as loading.
        """
        name, now_s = state.upstream.name, time.monotonic()
        if report.prefilling:
            since_s = rollout.prefilling_since_s.setdefault(name, now_s)
            if now_s - since_s < MAX_PREFILL_WAIT_S:
                rollout.postpone(name, PREFILL_POLL_S)
                return True
        rollout.prefilling_since_s.pop(name, None)
        return False

    def retry_later(
        self, rollout: ModelRollout, state: UpstreamState, delay_s: float
    ) -> None:
        """Retry an engine's order after a delay, and mark it as loading until then."""
        rollout.postpone(state.upstream.name, delay_s)
        with self.fleet.lock:
            state.loading_until_s = time.monotonic() + delay_s

    def poll_pending(
        self, rollout: ModelRollout, model: str, outdated: list[UpstreamState]
    ) -> None:
        """Poll the engines that load weights for their version."""
        now_s = time.monotonic()
        for state in outdated:
            name = state.upstream.name
            pending = rollout.pending.get(name)
            if pending is None or not state.loading(now_s):
                continue
            if now_s - pending.polled_s >= POLL_INTERVAL_S:
                pending.polled_s = now_s
                self.executor.submit(self.poll, rollout, state, model)

    def poll(self, rollout: ModelRollout, state: UpstreamState, model: str) -> None:
        """Poll one engine for its version."""
        report = self.engines.report(state.upstream.address)
        if not isinstance(report, Err):
            self.apply_report(rollout, state, model, report.ok_value)

    def apply_report(
        self,
        rollout: ModelRollout,
        state: UpstreamState,
        model: str,
        report: EngineReport,
    ) -> bool:
        """Apply a report; return whether the engine serves the target version."""
        served = report.weights.get(model, 0)
        with self.fleet.lock:
            state.update_weights(model, served, time.monotonic(), "report")
        return served >= self.catalog.wanted.get(model, 0)


def is_due(pending: PendingOrder | None, now_s: float) -> bool:
    """Return whether an engine has no order that may still take effect."""
    return pending is None or now_s >= pending.retry_at_s


def treat_running(report: EngineReport) -> RunningRequests:
    """Return how an engine should treat its running requests when it loads weights.

    A prompt that was read under both versions would be cached, and saved to the KV
    cache store, under the salt of the older one.
    """
    if report.prefilling:
        return RunningRequests.FINISH_FIRST
    return RunningRequests.CONTINUE
