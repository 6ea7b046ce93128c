"""Choose the upstream of a request by what it is predicted to cost.

A cost is in seconds of prefill. Every host computes the same home for a shared part of
a prompt (rendezvous hashing), so that hosts which know nothing of each other's requests
still send equal prefixes to one engine.
"""

import math
import random
from typing import Sequence

from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.exchanges.messages import Ask
from rosemaryyoke.fleet.cache_estimate import HashedPart, hash_parts
from rosemaryyoke.fleet.state import (
    PREFILL_TOKENS_PER_S,
    PROBE_SHARE,
    UpstreamState,
)
from rosemaryyoke.fleet.stores import CacheStores
from rosemaryyoke.placement.rendezvous import RankingCache

HOME_MIN_TOKENS = 512  # a shorter shared part is read faster than it is looked for
MISS_WEIGHT = 2.0
NON_HOME_PENALTY_S = 0.01  # draws a part that nobody has read yet to one engine
FETCH_TOKENS_PER_S = 300_000.0  # from the KV cache store, whose link all engines share
CROSS_DATA_CENTRE_S_PER_MB = 0.6  # crossing between data centres, against prefill
OLD_WEIGHTS_PENALTY_S = 0.25
LOADING_PENALTY_S = 2.0
ERROR_PENALTY_S = 0.4  # a failed answer, against prefill
MEMORY_PENALTY_S = 0.5  # waiting until running requests free their memory
STEP_S_PER_RUNNING_REQUEST = 0.004
SLOT_WAIT_S = 0.1
RANKING_CACHE_SIZE = 1
RANDOM_SAMPLE_SIZE = (
    3  # power of d choices, against herds that follow equally old views
)
HOLDER_SAMPLE_SIZE = 2
MAX_COMPARED = 9  # engines of a small fleet are all compared
MAX_WAIT_SHARE = 0.9  # of the time that is left


@frozen
class Placement:
    """An upstream for a request, and what was predicted."""

    state: UpstreamState
    salt: bytes
    parts: tuple[HashedPart, ...]
    hit_tokens: int
    wait_s: float
    cost_s: float
    prefill_s: float = 0.0
    loading: bool = False


@frozen
class NoUpstream:
    """Why no upstream is to be had, and when to come back."""

    message: str
    retry_after_s: float


@frozen
class PlacementRequest:
    """What is to be placed: the ask, its size on the wire and its surroundings."""

    ask: Ask
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
    """A prompt under one salt, and how much of it its store is believed to keep."""

    salt: bytes
    parts: tuple[HashedPart, ...]
    stored_tokens: int


@define(eq=False)
class Chooser:
    """Predicts the cost of each upstream and takes the least."""

    rankings: RankingCache = field(factory=lambda: RankingCache(RANKING_CACHE_SIZE))

    def choose(
        self,
        request: PlacementRequest,
        states: Sequence[UpstreamState],
        excluded: set[str],
        now_s: float,
    ) -> Result[Placement, NoUpstream]:
        """Return the upstream of the least predicted cost, or why there is none."""
        probes = random.random() < request.probe_share
        usable = [
            state
            for state in states
            if state.upstream.name not in excluded
            and state.usable(now_s)
            and (probes or not state.considered_silent(now_s))
        ]
        if not usable:
            usable = self.earliest_suspect(states, excluded)
        if not usable:
            return Err(NoUpstream("no upstream takes work", 0.5))
        home = self.home_upstream(request, usable)
        prompts: dict[bytes, HashedPrompt] = {}
        placements = [
            self.predict(request, state, home, prompts, now_s) for state in usable
        ]
        candidates = sample_candidates(placements, home, request.ask.shared_tokens)
        max_wait_s = min(request.max_wait_s, MAX_WAIT_SHARE * request.time_left_s)
        eligible = [item for item in candidates if item.wait_s <= max_wait_s]
        if not eligible:
            least_s = min(item.wait_s for item in candidates)
            wait_s = least_s - max_wait_s / 2
            return Err(NoUpstream("every queue compared is too long", wait_s))
        return Ok(min(eligible, key=lambda item: (item.cost_s, random.random())))

    def earliest_suspect(
        self, states: Sequence[UpstreamState], excluded: set[str]
    ) -> list[UpstreamState]:
        """Return the suspect upstream that is due first, if all are suspect."""
        suspects = [
            state
            for state in states
            if not state.upstream.draining and state.upstream.name not in excluded
        ]
        return sorted(suspects, key=lambda state: state.suspect_until_s)[:1]

    def home_upstream(
        self, request: PlacementRequest, usable: list[UpstreamState]
    ) -> str:
        """Return the home of the deepest part worth one, or an empty name."""
        shared = request.ask.parts[:-1]
        part = max(shared, key=lambda item: item.tokens, default=None)
        if part is None or part.tokens < HOME_MIN_TOKENS:
            return ""
        names = frozenset(state.upstream.name for state in usable)
        return self.rankings.rank(shared[-1].name.encode(), names)[0]

    def predict(
        self,
        request: PlacementRequest,
        state: UpstreamState,
        home: str,
        prompts: dict[bytes, HashedPrompt],
        now_s: float,
    ) -> Placement:
        """Return an upstream's placement with its predicted cost."""
        hit, parts, salt, prefill_s = 0, (), b"", 0.0
        wait_s = self.slot_wait_s(state, now_s)
        cost_s = self.penalty_s(request, state, now_s)
        if state.traits is not None and request.ask.parts:
            salt = cache_salt(request, state)
            prompt = prompts.get(salt)
            if prompt is None:
                prompt = prompts[salt] = hash_prompt(request, salt, now_s)
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
        return Placement(state, salt, parts, hit, wait_s, cost_s, prefill_s, loading)

    def slot_wait_s(self, state: UpstreamState, now_s: float) -> float:
        """Return the wait for a slot or a load, and the slowing by requests beside."""
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
        """Return what it costs that running requests fill the upstream's memory."""
        need = request.ask.prompt_tokens + request.ask.output_tokens
        used = state.used_tokens(now_s)
        free_share = 1.0 - (used + need) / max(1, state.traits.cache_tokens)
        return 0.0 if free_share >= 0.2 else MEMORY_PENALTY_S * (0.2 - free_share)

    def penalty_s(
        self, request: PlacementRequest, state: UpstreamState, now_s: float
    ) -> float:
        """Return the cost of distance, of failed answers and of old weights."""
        cost_s = ERROR_PENALTY_S * state.error_share
        if state.upstream.data_centre != request.data_centre:
            cost_s += CROSS_DATA_CENTRE_S_PER_MB * request.body_bytes / 1e6
        if request.target_version:
            served = state.weights.get(request.ask.model, 0)
            if served < request.target_version:
                cost_s += OLD_WEIGHTS_PENALTY_S
        return cost_s


def hash_prompt(request: PlacementRequest, salt: bytes, now_s: float) -> HashedPrompt:
    """Return a prompt as engines of one salt see it."""
    parts = hash_parts(salt, request.ask.parts)
    store = request.stores.store_for_prompt(parts[:-1])
    stored = store.cached_prefix_tokens(parts[:-1], now_s) if store is not None else 0
    return HashedPrompt(salt, parts, stored)


def prefill_time_s(request: PlacementRequest, stored: int, hit: int) -> float:
    """Return the time to fetch and to read what an engine does not hold."""
    fetched = max(0, stored - hit)
    missed = request.ask.prompt_tokens - hit - fetched
    return missed / PREFILL_TOKENS_PER_S + fetched / FETCH_TOKENS_PER_S


def sample_candidates(
    placements: list[Placement], home: str, shared_tokens: int
) -> list[Placement]:
    """Return the home, some engines that hold all shared parts, and some others.

    Hosts hear of each other's requests late. If all took the one engine that looks best
    in that view, it would get the requests of a whole period. So would the first engine
    that is known to hold a part which most prompts begin with.
    """
    if len(placements) <= MAX_COMPARED:
        return placements
    chosen = [item for item in placements if item.state.upstream.name == home]
    needed = max(HOME_MIN_TOKENS, shared_tokens)
    holders = [item for item in placements if item.hit_tokens >= needed]
    chosen += random.sample(holders, min(HOLDER_SAMPLE_SIZE, len(holders)))
    others = [item for item in placements if not item.loading]
    chosen += random.sample(others, min(RANDOM_SAMPLE_SIZE, len(others)))
    return chosen or placements


def cache_salt(request: PlacementRequest, state: UpstreamState) -> bytes:
    """Return who may share the cache entries that an engine makes of a request.

    Entries of other weights must not be found, so the version is part of it.
    """
    return b"%s:%d" % (request.salt, state.weights.get(request.ask.model, 0))
