"""Bring engines to the weights that operators named, by orders under one lease.

Engines may not check fencing numbers, so that orders of two holders must also lie apart
in time: a holder orders only in the first part of its lease, and the next one begins
when the whole of it has passed.
"""

import threading
import time
from concurrent.futures import Executor
from typing import Callable

from absl import logging
from attrs import define, field
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core.logs import event
from rosemaryyoke.fleet import Fleet, UpstreamState
from rosemaryyoke.objects import Lease, ObjectApi
from rosemaryyoke.rollout.messages import (
    EngineReport,
    Engines,
    OrderOutcome,
    WeightsOrder,
)

TICK_S = 0.25
ORDER_WINDOW_S = 1.6
RENEW_AFTER_S = 0.6
ORDER_TIMEOUT_S = 0.8
ORDER_MARGIN_S = 0.2
LOADING_S = 10.0  # until an order without a result is looked at anew
POLL_S = 0.4
IN_DOUBT_S = 2.5  # an order without an answer may be under way so long
OBSERVE_S = 1.0
LOADING_SHARE = 3  # one engine of so many loads at a time


@define
class Ordered:
    """A version that an engine was ordered to load, and when to look at it anew."""

    version: int
    until_s: float
    asked_s: float = 0.0


@define(eq=False)
class ModelRollout:
    """A model's lease, and the engines that were ordered by this host."""

    lease: Lease
    ordered: dict[str, Ordered] = field(factory=dict)
    observed_s: float = 0.0

    def postpone(self, name: str, delay_s: float) -> None:
        """Look at an engine's order anew after a while."""
        ordered = self.ordered.get(name)
        if ordered is not None:
            ordered.until_s = time.monotonic() + delay_s


@define(eq=False)
class Rollout:
    """Compares engines with the named weights, and orders what is behind."""

    holder: str
    lease_s: float
    api: ObjectApi
    engines: Engines
    catalog: Catalog
    fleet: Fleet
    executor: Executor
    standing: Callable[[str], int | None]
    announce: Callable[[], None] = lambda: None
    models: dict[str, ModelRollout] = field(factory=dict)
    running: threading.Lock = field(factory=threading.Lock)
    stopping: bool = False

    def tick(self) -> None:
        """Advance each model whose engines are behind."""
        for model, version in list(self.catalog.wanted.items()):
            behind = self.behind(model, version)
            if behind and not self.stopping and self.may_order(model):
                self.advance(model, version, behind)

    def may_order(self, model: str) -> bool:
        """Tell whether this host holds the model's lease, or may come to take it."""
        rollout = self.models.get(model)
        held = rollout is not None and rollout.lease.remaining_s() > 0
        return held or self.standing(model) is not None

    def loading(self) -> tuple[str, ...]:
        """Return the engines that this host ordered and that are not done yet."""
        now_s = time.monotonic()
        return tuple(
            name
            for rollout in list(self.models.values())
            for name, ordered in list(rollout.ordered.items())
            if now_s < ordered.until_s
        )

    def serving(self, model: str) -> list[UpstreamState]:
        """Return the engines that serve a model."""
        with self.fleet.lock:
            return [
                state
                for state in self.fleet.states.values()
                if model in state.weights and not state.upstream.draining
            ]

    def behind(self, model: str, version: int) -> list[UpstreamState]:
        """Return the engines with an older version than the named one."""
        engines = self.serving(model)
        return [state for state in engines if state.weights[model] < version]

    def advance(self, model: str, version: int, behind: list[UpstreamState]) -> None:
        """Hold the lease, and order as many engines as may load at a time."""
        rollout = self.models.get(model)
        if rollout is None:
            rollout = self.models[model] = ModelRollout(self.make_lease(model))
        if not self.acquire(rollout, model):
            return
        self.settle(rollout, model)
        engines = self.next_engines(rollout, model, behind)
        self.expect_loads(rollout, engines, version)
        for state in engines:
            self.executor.submit(self.order, rollout, state, model, version)
        self.poll_ordered(rollout, model, behind)

    def expect_loads(
        self, rollout: ModelRollout, engines: list[UpstreamState], version: int
    ) -> None:
        """Keep requests away from engines that are about to load; tell others once."""
        until_s = time.monotonic() + LOADING_S
        with self.fleet.lock:
            for state in engines:
                rollout.ordered[state.upstream.name] = Ordered(version, until_s)
                state.loading_until_s = until_s
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
        )

    def acquire(self, rollout: ModelRollout, model: str) -> bool:
        """Take or renew the lease; a mere successor looks at it now and then."""
        now_s = time.monotonic()
        first = rollout.lease.remaining_s() > 0 or self.standing(model) == 0
        if not first and now_s - rollout.observed_s < OBSERVE_S:
            return False
        rollout.observed_s = now_s
        return rollout.lease.acquire()

    def settle(self, rollout: ModelRollout, model: str) -> None:
        """Forget the orders that are carried out, and those of engines that left."""
        with self.fleet.lock:
            for name, ordered in list(rollout.ordered.items()):
                state = self.fleet.states.get(name)
                if state is None or state.weights.get(model, 0) >= ordered.version:
                    rollout.ordered.pop(name, None)

    def next_engines(
        self, rollout: ModelRollout, model: str, behind: list[UpstreamState]
    ) -> list[UpstreamState]:
        """Return the engines to order now, the least busy first."""
        now_s = time.monotonic()
        loading = [item for item in rollout.ordered.values() if now_s < item.until_s]
        usable = [item for item in self.serving(model) if item.usable(now_s)]
        at_once = max(1, len(usable) // LOADING_SHARE)
        free = at_once - len(loading)
        ready = [
            state
            for state in behind
            if is_due(rollout.ordered.get(state.upstream.name), now_s)
            and state.usable(now_s)
        ]
        ready.sort(key=lambda state: state.running(now_s))
        return ready[: max(0, free)]

    def order(
        self, rollout: ModelRollout, state: UpstreamState, model: str, version: int
    ) -> None:
        """Order one engine, if the lease still leaves time for it."""
        name, address = state.upstream.name, state.upstream.address
        report = self.engines.report(address)
        if isinstance(report, Err):
            logging.warning("engine %s: %s", name, report.err_value)
            self.retry_later(rollout, state, POLL_S)
            return
        if self.take_report(rollout, state, model, report.ok_value):
            return
        if report.ok_value.loading:
            self.retry_later(rollout, state, POLL_S)
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
        event(
            "order sent",
            upstream=name,
            model=model,
            version=version,
            fencing=lease.fencing_token,
            outcome=outcome.value,
        )
        if outcome is not OrderOutcome.ACCEPTED:
            in_doubt = outcome is OrderOutcome.UNKNOWN
            self.retry_later(rollout, state, IN_DOUBT_S if in_doubt else 2 * POLL_S)

    def retry_later(
        self, rollout: ModelRollout, state: UpstreamState, delay_s: float
    ) -> None:
        """Look at an engine anew after a while, and keep requests away until then."""
        rollout.postpone(state.upstream.name, delay_s)
        with self.fleet.lock:
            state.loading_until_s = time.monotonic() + delay_s

    def poll_ordered(
        self, rollout: ModelRollout, model: str, behind: list[UpstreamState]
    ) -> None:
        """Ask the engines that load whether they are done."""
        now_s = time.monotonic()
        for state in behind:
            name = state.upstream.name
            ordered = rollout.ordered.get(name)
            if ordered is None or not state.loading(now_s):
                continue
            if now_s - ordered.asked_s >= POLL_S:
                ordered.asked_s = now_s
                self.executor.submit(self.poll, rollout, state, model)

    def poll(self, rollout: ModelRollout, state: UpstreamState, model: str) -> None:
        """Ask one engine for its version."""
        report = self.engines.report(state.upstream.address)
        if not isinstance(report, Err):
            self.take_report(rollout, state, model, report.ok_value)

    def take_report(
        self,
        rollout: ModelRollout,
        state: UpstreamState,
        model: str,
        report: EngineReport,
    ) -> bool:
        """Take in a report; tell whether the engine serves the named version."""
        served = report.weights.get(model, 0)
        with self.fleet.lock:
            state.take_weights(model, served, time.monotonic())
        return served >= self.catalog.wanted.get(model, 0)


def is_due(ordered: Ordered | None, now_s: float) -> bool:
    """Tell whether an engine has no order that may still be under way."""
    return ordered is None or now_s >= ordered.until_s
