"""Place requests over the engines that rules and health allow."""

import hashlib
import time

from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.core import Kernel
from rosemaryyoke.limits.fairness import FairShares
from rosemaryyoke.placement.admission import Standing, make_admission, stand
from rosemaryyoke.placement.blocks import Chain, Scope, hash_blocks
from rosemaryyoke.placement.fleet import Choice
from rosemaryyoke.placement.policies import PlacementRequest, Policy, policies
from rosemaryyoke.rules.model import Route, RuleSet, Upstream

DEFAULT_POLICY = "predicted-ttft"


@frozen
class Placed:
    """An engine for a request, with what was predicted."""

    upstream: Upstream
    weights: str
    chain: Chain
    choice: Choice
    priority: int = 1
    standing: Standing = Standing(False)
    placed_s: float = 0.0


@frozen
class NoEngine:
    """No engine can take the request in time."""

    message: str
    overloaded: bool
    retry_after_s: float


class Placement:
    """Choose engines by a policy over the shared fleet."""

    def __init__(self, kernel: Kernel, policy: str = DEFAULT_POLICY):
        self.kernel = kernel
        self.policy: Policy = policies.get(policy)()
        self.shares = FairShares()
        self.admission = make_admission()

    def start(self) -> None:
        """Find the services that placement asks."""
        self.directory = self.kernel.get("directory")

    def stop(self) -> None:
        """Do nothing."""

    def place(
        self,
        rules: RuleSet,
        route: Route,
        account: str,
        text: str,
        excluded: set[str],
        only_weights: str = "",
    ) -> Result[Placed, NoEngine]:
        """Return an engine for a prompt, or why there is none.

        ``only_weights`` names the version that a stream began with and must go on with.
        """
        allowed = rules.engines_of(route)
        usable = self.directory.usable(allowed, excluded)
        if only_weights:
            usable = self.with_weights(usable, only_weights)
        if not usable:
            return Err(NoEngine("no engine of the model takes work", False, 1.0))
        wanted = rules.models[route.model].weights
        weights, group = self.weights_group(usable, wanted, account, text)
        chain = hash_blocks(Scope(account, route.model, weights), text)
        names = tuple(upstream.name for upstream in group)
        fleet = self.directory.fleet
        now_s = time.monotonic()
        with self.directory.lock:
            standing = stand(self.shares, account, now_s)
            request = PlacementRequest(chain, frozenset(names), names, standing.urgent)
            choice = self.policy.choose(request, fleet, now_s)
            self.shares.ask(account, choice.prefill_s, now_s)
            if not self.admission.admits(standing, choice, route.ttft_ms / 1000):
                wait_s = self.admission.wait_s(standing, choice)
                return Err(NoEngine("every engine's queue is too long", True, wait_s))
            fleet.sent(choice, chain, now_s, standing.urgent)
            self.shares.admit(choice.prefill_s, now_s)
        upstream = rules.upstreams[choice.engine]
        priority = standing.priority(route.priority)
        placed = Placed(upstream, weights, chain, choice, priority, standing, now_s)
        return Ok(placed)

    def with_weights(self, usable: list[Upstream], weights: str) -> list[Upstream]:
        """Return the engines that have a weights version loaded."""
        engines = self.directory.fleet.engines
        return [item for item in usable if engines[item.name].weights == weights]

    def weights_group(
        self, usable: list[Upstream], wanted: str, account: str, text: str
    ) -> tuple[str, list[Upstream]]:
        """Return a weights version and its engines.

        While a version rolls out, each version gets a share of prompts by its engines;
        a prompt's head decides, so that a shared prefix stays with one version.
        """
        groups: dict[str, list[Upstream]] = {}
        for upstream in usable:
            weights = self.directory.fleet.engines[upstream.name].weights or wanted
            groups.setdefault(weights, []).append(upstream)
        if len(groups) == 1:
            return next(iter(groups.items()))
        head = f"{account}\0{text[:256]}".encode()
        digest = hashlib.blake2b(head, digest_size=4).digest()
        position = int.from_bytes(digest, "big") / 2**32 * len(usable)
        for weights, group in sorted(groups.items()):
            position -= len(group)
            if position < 0:
                return weights, group
        return next(iter(groups.items()))

    def answered(
        self, placed: Placed, incarnation: str, waiting_s: float, stored: int
    ) -> None:
        """Take in what an engine said when it began to answer."""
        now_s = time.monotonic()
        with self.directory.lock:
            fleet = self.directory.fleet
            name = placed.choice.engine
            ttft_s = now_s - placed.placed_s
            self.admission.learn(placed.standing, placed.choice, ttft_s)
            fleet.answered(name, incarnation, placed.chain, fleet.imports)
            if name in fleet.engines:
                fleet.engines[name].reported(waiting_s, stored, now_s)

    def ended(self, placed: Placed) -> None:
        """Note that a request ended at its engine."""
        with self.directory.lock:
            self.directory.fleet.ended(placed.choice.engine)
