"""Orders to engines: bring each to the weights that its model's rule names.

The holder of a model's lease orders; the lease's version is the fencing number. Engines
that check it get it before the first order; for the others a new holder first waits out
the longest order that the holder before it may have begun.
"""

import threading
import time

from absl import logging
from attrs import define, field
from result import Err

from rosemaryyoke.core import Kernel
from rosemaryyoke.objects import Lease, ObjectApi
from rosemaryyoke.objects.leases import now_s
from rosemaryyoke.placement.rendezvous import rank
from rosemaryyoke.rules.model import ENGINE_KIND, Model, RuleSet
from rosemaryyoke.upstreams.directory import UpstreamState
from rosemaryyoke.upstreams.engine import LoadOrder

TICK_S = 0.25
CANDIDATES = 2
MAX_ORDER_S = 5.0
ORDER_MARGIN_S = 0.25
FENCE_TIMEOUT_S = 1.0


@define(eq=False)
class Rollout:
    """A model's lease and the orders that this host has under way."""

    lease: Lease
    ordering: set[str] = field(factory=set)
    fenced_since_s: float = -1.0
    lock: threading.Lock = field(factory=threading.Lock)


class Orders:
    """Roll out weights, a bounded number of loads at a time, above the floor."""

    def __init__(self, kernel: Kernel, api: ObjectApi):
        self.kernel = kernel
        self.api = api
        self.rollouts: dict[str, Rollout] = {}

    def start(self) -> None:
        """Compare engines with the rules from time to time."""
        self.members = self.kernel.get("members")
        self.directory = self.kernel.get("directory")
        self.revisions = self.kernel.get("revisions")
        self.recorder = self.kernel.get("recorder")
        self.executor = self.kernel.get("pool").executor
        self.kernel.get("timer").every(TICK_S, self.tick)

    def stop(self) -> None:
        """Do nothing; leases run out by themselves."""

    def held_leases(self) -> list[dict]:
        """Return the leases that this host holds, as operators see them."""
        return [
            {
                "name": rollout.lease.name,
                "fencing": rollout.lease.fencing,
                "remaining_s": round(rollout.lease.remaining_s(), 1),
            }
            for rollout in list(self.rollouts.values())
            if rollout.lease.remaining_s() > 0
        ]

    def tick(self) -> None:
        """Advance the roll-out of each model that this host may order."""
        rules = self.revisions.rules
        for model in rules.models.values():
            behind = self.behind(rules, model)
            if behind and self.is_candidate(model):
                self.advance(rules, model, behind)

    def is_candidate(self, model: Model) -> bool:
        """Tell whether this host competes for the model's lease."""
        key = f"orders/{model.name}".encode()
        names = rank(key, self.members.live(), CANDIDATES)
        return self.members.local_member.name in names

    def engines(self, rules: RuleSet, model: Model) -> list[UpstreamState]:
        """Return the states of the model's engines."""
        names = [u.name for u in rules.upstreams_of(ENGINE_KIND, model.name)]
        with self.directory.lock:
            states = self.directory.states
            return [states[name] for name in names if name in states]

    def behind(self, rules: RuleSet, model: Model) -> list[UpstreamState]:
        """Return the engines that answer and have other weights than wanted."""
        return [
            state
            for state in self.engines(rules, model)
            if state.reported_at_s
            and not state.failures
            and state.weights != model.weights
        ]

    def advance(
        self, rules: RuleSet, model: Model, behind: list[UpstreamState]
    ) -> None:
        """Hold the lease, raise the fence, and order what may be ordered now."""
        rollout = self.rollouts.get(model.name)
        if rollout is None:
            lease = Lease(
                self.api, f"leases/{model.name}", self.members.local_member.name
            )
            rollout = self.rollouts[model.name] = Rollout(lease)
        if not rollout.lease.acquire():
            return
        if not self.raise_fence(rollout, self.engines(rules, model)):
            return
        for state in self.next_engines(rules, model, rollout, behind):
            self.executor.submit(self.order, rollout, state, model.weights)

    def raise_fence(self, rollout: Rollout, engines: list[UpstreamState]) -> bool:
        """Shut out the holder before this one; tell whether it is shut out."""
        lease = rollout.lease
        if rollout.fenced_since_s == lease.held_since_s:
            return True
        for state in engines:
            if not state.upstream.fencing or state.failures:
                continue
            order = LoadOrder(state.weights, lease.fencing, FENCE_TIMEOUT_S)
            self.directory.engine_wire.order(state.upstream.address, order)
        unfenced = any(not state.upstream.fencing for state in engines)
        if unfenced and now_s() - lease.held_since_s < MAX_ORDER_S:
            return False
        for state in engines:
            self.directory.poll_one(state.upstream.name)
        rollout.fenced_since_s = lease.held_since_s
        self.recorder.record("orders.fenced", fencing=lease.fencing)
        return True

    def next_engines(
        self,
        rules: RuleSet,
        model: Model,
        rollout: Rollout,
        behind: list[UpstreamState],
    ) -> list[UpstreamState]:
        """Return the engines to order now, within concurrency and above the floor."""
        engines = self.engines(rules, model)
        with rollout.lock:
            ordering = set(rollout.ordering)
            busy = [s for s in engines if s.loading or s.upstream.name in ordering]
            serving = [
                s
                for s in engines
                if s not in busy and s.usable(time.monotonic()) and not s.failures
            ]
            free = model.load_concurrency - len(busy)
            spare = len(serving) - model.floor
            ready = [s for s in behind if s not in busy and not s.leaving]
            chosen = ready[: max(0, min(free, spare))]
            rollout.ordering.update(state.upstream.name for state in chosen)
        return chosen

    def order(self, rollout: Rollout, state: UpstreamState, weights: str) -> None:
        """Order one engine, within the time that the lease surely holds."""
        name = state.upstream.name
        try:
            lease = rollout.lease
            timeout_s = min(MAX_ORDER_S, lease.remaining_s() - ORDER_MARGIN_S)
            if timeout_s <= 0:
                return
            self.recorder.record(
                "order.sent", engine=name, weights=weights, fencing=lease.fencing
            )
            order = LoadOrder(weights, lease.fencing, timeout_s)
            wire = self.directory.engine_wire
            outcome = wire.order(state.upstream.address, order)
            if isinstance(outcome, Err):
                logging.warning("order to %s: %s", name, outcome.err_value.message)
            self.directory.poll_one(name)
        finally:
            with rollout.lock:
                rollout.ordering.discard(name)
