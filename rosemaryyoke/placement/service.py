"""Service that places requests on engines allowed by the rules and by health."""

import hashlib
import time

from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.core import Kernel
from rosemaryyoke.limits.fairness import FairShareTracker
from rosemaryyoke.placement.admission import (
    QueueClass,
    classify_account,
    make_admission_controller,
)
from rosemaryyoke.placement.blocks import Chain, Scope, hash_blocks
from rosemaryyoke.placement.fleet import Choice
from rosemaryyoke.placement.policies import PlacementRequest, Policy, policies
from rosemaryyoke.rules.model import Route, RuleSet, Upstream

DEFAULT_POLICY = "predicted-ttft"


@frozen
class PlacementDecision:
    """The engine chosen for a request, with its predictions."""

    upstream: Upstream
    weights: str
    chain: Chain
    choice: Choice
    priority: int = 1
    queue_class: QueueClass = QueueClass(False)
    decided_at_s: float = 0.0


@frozen
class NoEngineAvailable:
    """Error: no engine is available, or none can start the request in time."""

    message: str
    overloaded: bool
    retry_after_s: float


class PlacementService:
    """Choose an engine for each request by the configured placement policy."""

    def __init__(self, kernel: Kernel, policy: str = DEFAULT_POLICY):
        self.kernel = kernel
        self.policy: Policy = policies.get(policy)()
        self.shares = FairShareTracker()
        self.admission = make_admission_controller()

    def start(self) -> None:
        """Look up the services that placement depends on."""
        self.directory = self.kernel.get("directory")

    def stop(self) -> None:
        """Do nothing; there is no state to release."""

    def place(
        self,
        rules: RuleSet,
        route: Route,
        account: str,
        text: str,
        excluded: set[str],
        required_weights: str = "",
    ) -> Result[PlacementDecision, NoEngineAvailable]:
        """Return the engine chosen for a prompt, or the reason why there is none.

        ``required_weights`` is the weights version of a stream in progress, which must
        not change when the stream continues on another engine.
        """
        allowed = rules.engines_of(route)
        usable = self.directory.usable(allowed, excluded)
        believed = self.read_weights(usable)
        if required_weights:
            usable = [
                item for item in usable if believed[item.name] == required_weights
            ]
        if not usable:
            return Err(
                NoEngineAvailable("no engine of the model takes work", False, 1.0)
            )
        wanted = rules.models[route.model].weights
        groups = group_by_weights(usable, believed, wanted)
        weights, group = choose_weights_version(groups, account, text)
        chain = hash_blocks(Scope(account, route.model, weights), text)
        names = tuple(upstream.name for upstream in group)
        fleet = self.directory.fleet
        now_s = time.monotonic()
        with self.directory.lock:
            queue_class = classify_account(self.shares, account, now_s)
            request = PlacementRequest(
                chain, frozenset(names), names, queue_class.urgent
            )
            choice = self.policy.choose(request, fleet, now_s)
            self.shares.record_demand(account, choice.prefill_s, now_s)
            if not self.admission.admits(queue_class, choice, route.ttft_ms / 1000):
                wait_s = self.admission.expected_wait_s(queue_class, choice)
                return Err(
                    NoEngineAvailable("every engine's queue is too long", True, wait_s)
                )
            fleet.record_dispatch(choice, chain, now_s, queue_class.urgent)
            self.shares.record_admission(choice.prefill_s, now_s)
        upstream = rules.upstreams[choice.engine]
        priority = queue_class.priority(route.priority)
        decision = PlacementDecision(
            upstream, weights, chain, choice, priority, queue_class, now_s
        )
        return Ok(decision)

    def read_weights(self, upstreams: list[Upstream]) -> dict[str, str]:
        """Return the weights that each engine is believed to have, or "" if unknown.

        A decision is made from one reading, since reports change the beliefs meanwhile.
        """
        with self.directory.lock:
            engines = self.directory.fleet.engines
            return {item.name: engines[item.name].weights for item in upstreams}

    def record_response_start(
        self,
        decision: PlacementDecision,
        incarnation: str,
        waiting_s: float,
        blocks_stored: int,
    ) -> None:
        """Update estimates from the first event of an engine's response."""
        now_s = time.monotonic()
        with self.directory.lock:
            fleet = self.directory.fleet
            name = decision.choice.engine
            ttft_s = now_s - decision.decided_at_s
            self.admission.observe(decision.queue_class, decision.choice, ttft_s)
            fleet.record_computed_prefix(
                name, incarnation, decision.chain, fleet.imports_enabled
            )
            if name in fleet.engines:
                fleet.engines[name].apply_load_report(waiting_s, blocks_stored, now_s)

    def record_completion(self, decision: PlacementDecision) -> None:
        """Record that a request at its engine has ended."""
        with self.directory.lock:
            self.directory.fleet.record_completion(decision.choice.engine)


def group_by_weights(
    upstreams: list[Upstream], believed: dict[str, str], wanted: str
) -> dict[str, list[Upstream]]:
    """Return the engines by weights version; unknown ones count as the wanted one."""
    groups: dict[str, list[Upstream]] = {}
    for upstream in upstreams:
        groups.setdefault(believed[upstream.name] or wanted, []).append(upstream)
    return groups


def choose_weights_version(
    groups: dict[str, list[Upstream]], account: str, text: str
) -> tuple[str, list[Upstream]]:
    """Return the weights version for a prompt and the engines that have it.

    During a rollout, prompts are divided among versions in proportion to their
    engines. The choice depends on a hash of the account and the prompt's first
    characters, so that prompts with a shared prefix go to the same version.
    """
    if len(groups) == 1:
        return next(iter(groups.items()))
    head = f"{account}\0{text[:256]}".encode()
    digest = hashlib.blake2b(head, digest_size=4).digest()
    engines = sum(len(group) for group in groups.values())
    position = int.from_bytes(digest, "big") / 2**32 * engines
    for weights, group in sorted(groups.items()):
        position -= len(group)
        if position < 0:
            return weights, group
    return next(iter(groups.items()))
