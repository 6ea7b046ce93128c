"""Weight rollouts: orders to engines to load the weights in their model's rule.

Only the holder of a model's lease sends orders, with the lease version as the fencing
token. A new holder first sends its token to the engines that check tokens. If other
engines exist, it also waits for the longest order that the previous holder may have
started.
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
from rosemaryyoke.upstreams.engine import WeightsLoadOrder

RECONCILE_PERIOD_S = 0.25
LEASE_CANDIDATES = 2
MAX_ORDER_DURATION_S = 5.0
LEASE_MARGIN_S = 0.25
FENCE_TIMEOUT_S = 1.0


@define(eq=False)
class ModelRollout:
    """A model's lease and the pending orders of this host."""

    lease: Lease
    pending_orders: set[str] = field(factory=set)
    fenced_since_s: float = -1.0
    lock: threading.Lock = field(factory=threading.Lock)


class RolloutController:
    """Roll out weights within the model's limits.

    At most ``load_concurrency`` engines load at the same time, and at least ``floor``
    engines keep serving.
    """

    def __init__(self, kernel: Kernel, api: ObjectApi):
        self.kernel = kernel
        self.api = api
        self.rollouts: dict[str, ModelRollout] = {}

    def start(self) -> None:
        """Look up dependencies and start periodic reconciliation with the rules."""
        self.members = self.kernel.get("members")
        self.directory = self.kernel.get("directory")
        self.revisions = self.kernel.get("revisions")
        self.recorder = self.kernel.get("recorder")
        self.executor = self.kernel.get("pool").executor
        self.kernel.get("timer").every(RECONCILE_PERIOD_S, self.reconcile)

    def stop(self) -> None:
        """Do nothing; leases expire."""

    def held_leases(self) -> list[dict]:
        """Return the leases held by this host, as shown to operators."""
        return [
            {
                "name": rollout.lease.name,
                "fencing": rollout.lease.fencing_token,
                "remaining_s": round(rollout.lease.remaining_s(), 1),
            }
            for rollout in list(self.rollouts.values())
            if rollout.lease.remaining_s() > 0
        ]

    def reconcile(self) -> None:
        """Advance the rollout of each model for which this host is a candidate."""
        rules = self.revisions.rules
        for model in rules.models.values():
            outdated = self.outdated_engines(rules, model)
            if outdated and self.is_candidate(model):
                self.advance_rollout(rules, model, outdated)

    def is_candidate(self, model: Model) -> bool:
        """Return whether this host is a candidate for the model's lease."""
        key = f"orders/{model.name}".encode()
        names = rank(key, self.members.live(), LEASE_CANDIDATES)
        return self.members.local_member.name in names

    def engine_states(self, rules: RuleSet, model: Model) -> list[UpstreamState]:
        """Return the states of the engines of a model."""
        names = [u.name for u in rules.upstreams_of(ENGINE_KIND, model.name)]
        with self.directory.lock:
            states = self.directory.states
            return [states[name] for name in names if name in states]

    def outdated_engines(self, rules: RuleSet, model: Model) -> list[UpstreamState]:
        """Return the reachable engines whose weights differ from the rule."""
        return [
            state
            for state in self.engine_states(rules, model)
            if state.reported_at_s
            and not state.failures
            and state.weights != model.weights
        ]

    def advance_rollout(
        self, rules: RuleSet, model: Model, outdated: list[UpstreamState]
    ) -> None:
        """Acquire the lease, fence off the previous holder and send the next orders."""
        rollout = self.rollouts.get(model.name)
        if rollout is None:
            lease = Lease(
                self.api, f"leases/{model.name}", self.members.local_member.name
            )
            rollout = self.rollouts[model.name] = ModelRollout(lease)
        if not rollout.lease.acquire():
            return
        if not self.fence_previous_holder(rollout, self.engine_states(rules, model)):
            return
        for state in self.select_engines(rules, model, rollout, outdated):
            self.executor.submit(self.send_order, rollout, state, model.weights)

    def fence_previous_holder(
        self, rollout: ModelRollout, engines: list[UpstreamState]
    ) -> bool:
        """Prevent further orders by the previous holder; return whether this is done.

        Engines that check fencing tokens get the new token, in an order to keep their
        weights. With other engines, and those whose weights are unknown, orders are
        held back for ``MAX_ORDER_DURATION_S`` after the lease was acquired.
        """
        lease = rollout.lease
        if rollout.fenced_since_s == lease.acquired_at_s:
            return True
        for state in engines:
            if not state.upstream.fencing or state.failures:
                continue
            # The previous holder may have changed the weights since the last report.
            self.directory.poll_upstream(state.upstream.name)
            if state.failures or not state.weights:
                continue
            order = WeightsLoadOrder(
                state.weights, lease.fencing_token, FENCE_TIMEOUT_S
            )
            self.directory.engine_adapter.load_weights(state.upstream.address, order)
        unfenced = any(
            not state.upstream.fencing or not (state.failures or state.weights)
            for state in engines
        )
        if unfenced and now_s() - lease.acquired_at_s < MAX_ORDER_DURATION_S:
            return False
        for state in engines:
            self.directory.poll_upstream(state.upstream.name)
        rollout.fenced_since_s = lease.acquired_at_s
        self.recorder.record("orders.fenced", fencing=lease.fencing_token)
        return True

    def select_engines(
        self,
        rules: RuleSet,
        model: Model,
        rollout: ModelRollout,
        outdated: list[UpstreamState],
    ) -> list[UpstreamState]:
        """Return the engines to order now, respecting concurrency limit and floor."""
        engines = self.engine_states(rules, model)
        with rollout.lock:
            pending_orders = set(rollout.pending_orders)
            busy = [
                s for s in engines if s.loading or s.upstream.name in pending_orders
            ]
            serving = [
                s
                for s in engines
                if s not in busy and s.usable(time.monotonic()) and not s.failures
            ]
            free = model.load_concurrency - len(busy)
            spare = len(serving) - model.floor
            ready = [s for s in outdated if s not in busy and not s.leaving]
            chosen = ready[: max(0, min(free, spare))]
            rollout.pending_orders.update(state.upstream.name for state in chosen)
        return chosen

    def send_order(
        self, rollout: ModelRollout, state: UpstreamState, weights: str
    ) -> None:
        """Send one order, with a timeout before the lease can expire."""
        name = state.upstream.name
        try:
            lease = rollout.lease
            timeout_s = min(MAX_ORDER_DURATION_S, lease.remaining_s() - LEASE_MARGIN_S)
            if timeout_s <= 0:
                return
            self.recorder.record(
                "order.sent", engine=name, weights=weights, fencing=lease.fencing_token
            )
            order = WeightsLoadOrder(weights, lease.fencing_token, timeout_s)
            adapter = self.directory.engine_adapter
            outcome = adapter.load_weights(state.upstream.address, order)
            if isinstance(outcome, Err):
                logging.warning(
                    "cannot load weights on engine %s: %s",
                    name,
                    outcome.err_value.message,
                )
            self.directory.poll_upstream(name)
        finally:
            with rollout.lock:
                rollout.pending_orders.discard(name)
