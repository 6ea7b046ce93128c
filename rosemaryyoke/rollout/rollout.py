"""Roll out the target weights to engines, by orders under a lease per model.

Engines may not check fencing tokens, so orders of two lease holders must also be
separated in time: a holder sends orders only in the first part of its lease, and the
next holder starts after the whole lease has expired.
"""

import threading
import time
from concurrent.futures import Executor
from typing import Callable

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
    WeightsOrder,
)

TICK_INTERVAL_S = 0.25
ORDER_WINDOW_S = 1.6
RENEW_AFTER_S = 0.6
ORDER_TIMEOUT_S = 0.8
ORDER_MARGIN_S = 0.2
LOADING_TIMEOUT_S = 10.0  # an order without a result is then retried
POLL_INTERVAL_S = 0.4
UNKNOWN_OUTCOME_DELAY_S = 2.5  # an unanswered order may take effect this late
LEASE_CHECK_INTERVAL_S = 1.0
ENGINES_PER_LOAD = 3  # of the usable engines, one in this many loads at a time


@define
class PendingOrder:
    """A version that an engine was ordered to load, and when to retry the order."""

    version: int
    retry_at_s: float
    polled_s: float = 0.0


@define(eq=False)
class ModelRollout:
    """A model's lease, and this host's pending orders by engine."""

    lease: Lease
    pending: dict[str, PendingOrder] = field(factory=dict)
    lease_checked_s: float = 0.0

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
    running: threading.Lock = field(factory=threading.Lock)
    stopping: bool = False

    def tick(self) -> None:
        """Advance the roll-out of each model that has outdated engines."""
        for model, version in list(self.catalog.wanted.items()):
            outdated = self.outdated(model, version)
            if outdated and not self.stopping and self.may_order(model):
                self.advance(model, version, outdated)

    def may_order(self, model: str) -> bool:
        """Return whether this host holds the model's lease or is a candidate for it."""
        rollout = self.models.get(model)
        holds_lease = rollout is not None and rollout.lease.remaining_s() > 0
        return holds_lease or self.standing(model) is not None

    def loading(self) -> tuple[str, ...]:
        """Return the engines with a pending order of this host."""
        now_s = time.monotonic()
        return tuple(
            name
            for rollout in list(self.models.values())
            for name, pending in list(rollout.pending.items())
            if now_s < pending.retry_at_s
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

    def advance(self, model: str, version: int, outdated: list[UpstreamState]) -> None:
        """Hold the lease, and send orders up to the limit of concurrent loads."""
        rollout = self.models.get(model)
        if rollout is None:
            rollout = self.models[model] = ModelRollout(self.make_lease(model))
        if not self.acquire_lease(rollout, model):
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

    def acquire_lease(self, rollout: ModelRollout, model: str) -> bool:
        """Acquire or renew the lease.

        A candidate that is not the first one tries only every
        ``LEASE_CHECK_INTERVAL_S``.
        """
        now_s = time.monotonic()
        preferred = rollout.lease.remaining_s() > 0 or self.standing(model) == 0
        if not preferred and now_s - rollout.lease_checked_s < LEASE_CHECK_INTERVAL_S:
            return False
        rollout.lease_checked_s = now_s
        return rollout.lease.acquire()

    def drop_completed_orders(self, rollout: ModelRollout, model: str) -> None:
        """Remove completed orders, and orders of engines that have left."""
        with self.fleet.lock:
            for name, pending in list(rollout.pending.items()):
                state = self.fleet.states.get(name)
                if state is None or state.weights.get(model, 0) >= pending.version:
                    rollout.pending.pop(name, None)

    def next_engines(
        self, rollout: ModelRollout, model: str, outdated: list[UpstreamState]
    ) -> list[UpstreamState]:
        """Return the engines to send orders to now, the least loaded first."""
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
        ]
        ready.sort(key=lambda state: state.running(now_s))
        return ready[: max(0, free_slots)]

    def send_order(
        self, rollout: ModelRollout, state: UpstreamState, model: str, version: int
    ) -> None:
        """Send an order to an engine if enough of the lease is left."""
        name, address = state.upstream.name, state.upstream.address
        report = self.engines.report(address)
        if isinstance(report, Err):
            logging.warning("engine %s: report failed: %s", name, report.err_value)
            self.retry_later(rollout, state, POLL_INTERVAL_S)
            return
        if self.apply_report(rollout, state, model, report.ok_value):
            return
        if report.ok_value.loading:
            self.retry_later(rollout, state, POLL_INTERVAL_S)
            return
        lease = rollout.lease
        if lease.remaining_s() < self.lease_s + ORDER_TIMEOUT_S + ORDER_MARGIN_S:
            self.retry_later(rollout, state, 0.0)
            return
        outcome = self.engines.order(
            WeightsOrder(
                name,
                address,
                model,
                version,
                self.holder,
                lease.fencing_token,
                report.ok_value.orders,
                ORDER_TIMEOUT_S,
            )
        )
        log_event(
            "order sent",
            upstream=name,
            model=model,
            version=version,
            fencing=lease.fencing_token,
            outcome=outcome.value,
        )
        if outcome is not OrderOutcome.ACCEPTED:
            is_unknown = outcome is OrderOutcome.UNKNOWN
            self.retry_later(
                rollout,
                state,
                UNKNOWN_OUTCOME_DELAY_S if is_unknown else 2 * POLL_INTERVAL_S,
            )

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
            state.update_weights(model, served, time.monotonic())
        return served >= self.catalog.wanted.get(model, 0)


def is_due(pending: PendingOrder | None, now_s: float) -> bool:
    """Return whether an engine has no order that may still take effect."""
    return pending is None or now_s >= pending.retry_at_s
