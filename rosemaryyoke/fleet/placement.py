"""Choose the upstream of a request by predicted cost.

Costs are in seconds of prefill. By rendezvous hashing all hosts compute the same home
engine for a shared prefix, so that hosts without knowledge of each other's requests
still send equal prefixes to one engine.
"""

import math
import random
import secrets
from typing import Sequence

from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.exchanges.messages import RequestMetadata
from rosemaryyoke.fleet.cache_estimate import HashedPart, hash_parts
from rosemaryyoke.fleet.state import (
    PREFILL_TOKENS_PER_S,
    PROBE_SHARE,
    UpstreamState,
)
from rosemaryyoke.fleet.stores import CacheStores
from rosemaryyoke.placement.rendezvous import RankingCache, rank

HOME_MIN_TOKENS = 512  # prefilling a shorter shared part is cheaper than locating it
MISS_WEIGHT = 2.0
NON_HOME_PENALTY_S = 0.01  # steers a prefix that is not cached anywhere to one engine
# From the KV cache store, over a link that all engines share.
FETCH_TOKENS_PER_S = 300_000.0
CROSS_DATA_CENTRE_S_PER_MB = 0.6  # between data centres, in seconds of prefill
OLD_WEIGHTS_PENALTY_S = 0.25
LOADING_PENALTY_S = 2.0
ERROR_PENALTY_S = 0.4  # a failed answer, in seconds of prefill
MEMORY_PENALTY_S = 0.5  # waiting for running requests to free memory
STEP_S_PER_RUNNING_REQUEST = 0.004
SLOT_WAIT_S = 0.1
# Ranked among all upstreams, so that the ranking of a prefix stays valid while single
# upstreams can't be used; the first usable one is the home.
RANKED_HOMES = 4
# Power of d choices: avoids herding when views are equally stale.
RANDOM_SAMPLE_SIZE = 3
HOLDER_SAMPLE_SIZE = 2
MAX_COMPARED = 9  # fleets up to this size are compared completely
MAX_WAIT_SHARE = 0.9  # of the time left
NO_UPSTREAM_RETRY_S = 0.5
NO_ROOM_RETRY_S = 0.3  # until running requests have made room
NONCE_BYTES = 8  # of the salt for an unknown version
PAUSE_RETRY_SPREAD_S = 0.3  # mean time between the end of a pause and the retries


@frozen
class Placement:
    """The upstream chosen for a request, with the predicted times and cost.

    ``weights`` is the version of the model that the upstream serves as far as known,
    ``None`` if it is not; ``salt`` and ``parts`` are made for it.
    """

    state: UpstreamState
    salt: bytes
    parts: tuple[HashedPart, ...]
    hit_tokens: int
    wait_s: float
    cost_s: float
    prefill_s: float = 0.0
    loading: bool = False
    weights: int | None = None


@frozen
class ComparedQueue:
    """A queue that was too long, and the age of the newest load that others reported.

    The age is ``None`` if no other host reports a load there.
    """

    upstream: str
    wait_s: float
    running: float
    age_s: float | None


@frozen
class NoUpstream:
    """Why no upstream is available, and when to retry.

    Retries are spread around ``retry_after_s``, added to ``min_retry_after_s``.
    """

    message: str
    retry_after_s: float
    compared: tuple[ComparedQueue, ...] = ()
    min_retry_after_s: float = 0.0


@frozen
class PlacementRequest:
    """A request to place: the prompt, its size on the wire and the limits on placement.

    ``target_version`` is the version of the weights that engines should serve, or 0.
    """

    ask: RequestMetadata
    salt: bytes
    body_bytes: int
    data_centre: str
    time_left_s: float
    target_version: int = 0
    stores: CacheStores = field(factory=CacheStores)
    max_wait_s: float = math.inf
    probe_share: float = PROBE_SHARE


@frozen
class HashedPrompt:
    """A prompt hashed with one salt, and the tokens estimated to be in its store."""

    salt: bytes
    parts: tuple[HashedPart, ...]
    stored_tokens: int


@define(eq=False)
class HashedPrompts:
    """A prompt hashed with the salts of the upstreams, once a version of weights."""

    request: PlacementRequest
    now_s: float
    by_version: dict[int | None, HashedPrompt] = field(factory=dict)

    def for_upstream(self, state: UpstreamState) -> HashedPrompt:
        """Return the prompt hashed with the salt of an upstream."""
        return self.for_version(served_version(self.request, state))

    def for_version(self, version: int | None) -> HashedPrompt:
        """Return the prompt hashed with the salt of a version of the weights."""
        prompt = self.by_version.get(version)
        if prompt is None:
            salt = cache_salt(self.request, version)
            prompt = hash_prompt(self.request, salt, self.now_s)
            self.by_version[version] = prompt
        return prompt

    def cached_tokens(self, state: UpstreamState) -> int:
        """Return the size of the prefix that an upstream is estimated to hold."""
        if state.traits is None or not self.request.ask.parts:
            return 0
        return state.cache_estimate.cached_prefix_tokens(self.for_upstream(state).parts)


@define(eq=False)
class Chooser:
    """Predicts the cost of each upstream and chooses the lowest."""

    rankings: RankingCache = field(factory=lambda: RankingCache(RANKED_HOMES))
    generator: random.Random = field(factory=random.Random)

    def choose(
        self,
        request: PlacementRequest,
        states: Sequence[UpstreamState],
        excluded: set[str],
        now_s: float,
    ) -> Result[Placement, NoUpstream]:
        """Return the upstream with the lowest predicted cost, or why there is none."""
        probes = self.generator.random() < request.probe_share
        usable = [
            state
            for state in states
            if state.upstream.name not in excluded
            and state.accepts_requests(now_s)
            and (probes or not state.considered_silent(now_s))
        ]
        if not usable:
            usable = self.earliest_suspect(states, excluded, now_s)
        if not usable:
            return Err(nothing_usable(states, now_s))
        home = self.home_upstream(request, states, usable)
        prompts = HashedPrompts(request, now_s)
        compared = sample_upstreams(usable, home, prompts, self.generator)
        candidates = [
            self.predict(request, state, home, prompts, now_s) for state in compared
        ]
        max_wait_s = min(request.max_wait_s, MAX_WAIT_SHARE * request.time_left_s)
        eligible = [item for item in candidates if item.wait_s <= max_wait_s]
        if not eligible:
            eligible = self.due_probes(request, states, excluded, prompts, now_s)
        if not eligible:
            least_s = min(item.wait_s for item in candidates)
            wait_s = least_s - max_wait_s / 2
            queues = tuple(compared_queue(item, now_s) for item in candidates)
            return Err(NoUpstream("every queue compared is too long", wait_s, queues))
        return Ok(
            min(eligible, key=lambda item: (item.cost_s, self.generator.random()))
        )

    def due_probes(
        self,
        request: PlacementRequest,
        states: Sequence[UpstreamState],
        excluded: set[str],
        prompts: "HashedPrompts",
        now_s: float,
    ) -> list[Placement]:
        """Return the silent upstreams whose backoff is over.

        A request that would be rejected is better used to find out whether one of them
        responds again. In a large fleet only some are, since hosts report recoveries.
        """
        if self.generator.random() >= request.probe_share / PROBE_SHARE:
            return []
        return [
            self.predict(request, state, "", prompts, now_s)
            for state in states
            if state.upstream.name not in excluded
            and state.considered_silent(now_s)
            and state.accepts_requests(now_s)
        ]

    def earliest_suspect(
        self, states: Sequence[UpstreamState], excluded: set[str], now_s: float
    ) -> list[UpstreamState]:
        """Return the upstream whose suspicion ends first, as a last resort."""
        suspects = [
            state
            for state in states
            if not state.draining
            and not state.notices.wait_s(now_s)
            and state.has_place(now_s)
            and state.upstream.name not in excluded
        ]
        return sorted(suspects, key=lambda state: state.suspect_until_s)[:1]

    def home_upstream(
        self,
        request: PlacementRequest,
        states: Sequence[UpstreamState],
        usable: list[UpstreamState],
    ) -> str:
        """Return the home engine of the shared prefix: the first usable one by rank.

        The name is empty if no shared part is long enough.
        """
        shared = request.ask.parts[:-1]
        part = max(shared, key=lambda item: item.tokens, default=None)
        if part is None or part.tokens < HOME_MIN_TOKENS:
            return ""
        key = shared[-1].name.encode()
        names = {state.upstream.name for state in usable}
        ranked = self.rankings.rank(
            key, frozenset(state.upstream.name for state in states)
        )
        found = [name for name in ranked if name in names]
        return found[0] if found else rank(key, names, 1)[0]

    def predict(
        self,
        request: PlacementRequest,
        state: UpstreamState,
        home: str,
        prompts: "HashedPrompts",
        now_s: float,
    ) -> Placement:
        """Return the placement at an upstream with its predicted cost."""
        hit, parts, salt, prefill_s = 0, (), b"", 0.0
        weights = served_version(request, state)
        wait_s = self.slot_wait_s(state, now_s)
        cost_s = self.penalty_s(request, state, now_s)
        if request.ask.parts:
            salt = prompts.for_version(weights).salt
        if salt and state.traits is not None:
            prompt = prompts.for_version(weights)
            parts = prompt.parts
            hit = state.cache_estimate.cached_prefix_tokens(parts)
            if state.upstream.name != home:
                cost_s += NON_HOME_PENALTY_S
            wait_s += state.waiting_prefill(now_s) / PREFILL_TOKENS_PER_S
            prefill_s = prefill_time_s(request, prompt.stored_tokens, hit)
            cost_s += MISS_WEIGHT * prefill_s
            cost_s += self.memory_wait_s(request, state, now_s)
        cost_s += wait_s
        loading = state.loading(now_s)
        return Placement(
            state, salt, parts, hit, wait_s, cost_s, prefill_s, loading, weights
        )

    def slot_wait_s(self, state: UpstreamState, now_s: float) -> float:
        """Return the wait for a slot or a load of weights, and the batching delay."""
        running = state.running(now_s)
        slots = max(1, state.upstream.slots)
        wait_s = STEP_S_PER_RUNNING_REQUEST * running
        if running >= slots:
            wait_s += SLOT_WAIT_S * (running - slots + 1) / slots
        elif state.traits is None:
            wait_s += SLOT_WAIT_S * running / slots / 2
        if state.loading(now_s):
            wait_s += LOADING_PENALTY_S
        return wait_s

    def memory_wait_s(
        self, request: PlacementRequest, state: UpstreamState, now_s: float
    ) -> float:
        """Return the cost of waiting for memory that running requests use."""
        need = request.ask.prompt_tokens + request.ask.output_tokens
        used = state.used_tokens(now_s)
        free_share = 1.0 - (used + need) / max(1, state.traits.cache_tokens)
        return 0.0 if free_share >= 0.2 else MEMORY_PENALTY_S * (0.2 - free_share)

    def penalty_s(
        self, request: PlacementRequest, state: UpstreamState, now_s: float
    ) -> float:
        """Return the penalties for distance, failed answers and old weights."""
        cost_s = ERROR_PENALTY_S * state.error_share
        if state.upstream.data_centre != request.data_centre:
            cost_s += CROSS_DATA_CENTRE_S_PER_MB * request.body_bytes / 1e6
        if request.target_version:
            served = state.weights.get(request.ask.model, 0)
            if served < request.target_version:
                cost_s += OLD_WEIGHTS_PENALTY_S
        return cost_s


def nothing_usable(states: Sequence[UpstreamState], now_s: float) -> NoUpstream:
    """Return why no upstream is left, and when to retry.

    If all of them asked for a pause or are at their limits, also those that this
    request was sent to, retries before the first takes work would be rejected again.
    """
    if any(not state.has_place(now_s) for state in states):
        return NoUpstream("no upstream has room", NO_ROOM_RETRY_S)
    waits_s = [state.notices.wait_s(now_s) for state in states if not state.draining]
    first_s = min(waits_s, default=0.0)
    if first_s <= 0.0:
        return NoUpstream("no upstream takes work", NO_UPSTREAM_RETRY_S)
    if any(state.notices.limit.wait_s(now_s) for state in states):
        # Without a share of any limit, another host may have one.
        first_s = first_s if math.isfinite(first_s) else NO_UPSTREAM_RETRY_S
        message = "every upstream is at its limit"
    else:
        message = "every upstream asked for a pause"
    return NoUpstream(message, PAUSE_RETRY_SPREAD_S, min_retry_after_s=first_s)


def compared_queue(placement: Placement, now_s: float) -> ComparedQueue:
    """Return what the decision knew of an upstream's queue."""
    state = placement.state
    loads = state.recent_remote_loads(now_s)
    age_s = min((now_s - load.received_s for load in loads), default=None)
    return ComparedQueue(
        state.upstream.name, placement.wait_s, state.running(now_s), age_s
    )


def hash_prompt(request: PlacementRequest, salt: bytes, now_s: float) -> HashedPrompt:
    """Return a prompt hashed with a salt, and how much of it is stored."""
    parts = hash_parts(salt, request.ask.parts)
    store = request.stores.store_for_prompt(parts[:-1])
    stored = store.cached_prefix_tokens(parts[:-1], now_s) if store is not None else 0
    return HashedPrompt(salt, parts, stored)


def prefill_time_s(request: PlacementRequest, stored: int, hit: int) -> float:
    """Return the time to fetch or prefill the tokens that are not cached."""
    fetched = max(0, stored - hit)
    missed = request.ask.prompt_tokens - hit - fetched
    return missed / PREFILL_TOKENS_PER_S + fetched / FETCH_TOKENS_PER_S


def sample_upstreams(
    usable: list[UpstreamState],
    home: str,
    prompts: HashedPrompts,
    generator: random.Random,
) -> list[UpstreamState]:
    """Return the home, a sample of engines with the shared prefix, and a random sample.

    Hosts learn of each other's requests with a delay. If all of them chose the engine
    that looks best in that view, it would receive all requests of a reporting period.
    The same would happen to the first engine known to cache a part that most prompts
    begin with, so only engines with all shared parts are sampled as holders.

    Costs are predicted for the sample only: for 70 engines and the loads that 24 hosts
    report, predicting all of them took most of the time of a placement.
    """
    if len(usable) <= MAX_COMPARED:
        return usable
    chosen = [state for state in usable if state.upstream.name == home]
    needed = max(HOME_MIN_TOKENS, prompts.request.ask.shared_tokens)
    holders = [state for state in usable if prompts.cached_tokens(state) >= needed]
    chosen += generator.sample(holders, min(HOLDER_SAMPLE_SIZE, len(holders)))
    others = [state for state in usable if not state.loading(prompts.now_s)]
    chosen += generator.sample(others, min(RANDOM_SAMPLE_SIZE, len(others)))
    return chosen or usable


def served_version(request: PlacementRequest, state: UpstreamState) -> int | None:
    """Return the version of the request's model at an upstream, if it is known."""
    return state.weights.get(request.ask.model) if request.ask.model else None


def cache_salt(request: PlacementRequest, version: int | None) -> bytes:
    """Return the salt that separates cache entries which may not be shared.

    Entries of other weights must not match, so the salt includes the version. If that
    is unknown, the salt is used once: no other entry may match.
    """
    if version is None:
        return b"%s:?%s" % (request.salt, secrets.token_hex(NONCE_BYTES).encode())
    return b"%s:%d" % (request.salt, version)
