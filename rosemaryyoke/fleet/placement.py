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

from rosemaryyoke.exchanges.messages import RequestMetadata
from rosemaryyoke.fleet.belief import ReadPart, read_parts
from rosemaryyoke.fleet.state import (
    PREFILL_TOKENS_PER_S,
    TRIAL_SHARE,
    UpstreamState,
)
from rosemaryyoke.fleet.stores import CacheStores
from rosemaryyoke.placement.rendezvous import RankingCache

HOME_LEAST_TOKENS = 512  # a shorter shared part is read faster than it is looked for
MISS_WEIGHT = 2.0
HOME_S = 0.01  # draws a part that nobody has read yet to one engine
FETCH_TOKENS_PER_S = 300_000.0  # from the KV cache store, whose link all engines share
AWAY_S_PER_MB = 0.6  # crossing between data centres, against prefill
OLD_WEIGHTS_S = 0.25
LOADING_S = 2.0
ERROR_S = 0.4  # a failed answer, against prefill
MEMORY_S = 0.5  # waiting until running requests free their memory
STEP_S_PER_RUN = 0.004
SLOT_WAIT_S = 0.1
HOMES_CACHED = 1
SAMPLED = 3  # power of d choices, against herds that follow equally old views
HOLDERS_SAMPLED = 2
COMPARED_MOST = 9  # engines of a small fleet are all compared
REFUSE_AT_SHARE = 0.9  # of the time that is left


@frozen
class Placement:
    """An upstream for a request, and what was predicted."""

    state: UpstreamState
    salt: bytes
    parts: tuple[ReadPart, ...]
    hit_tokens: int
    wait_s: float
    cost_s: float
    read_s: float = 0.0
    loading: bool = False


@frozen
class NoUpstream:
    """Why no upstream is to be had, and when to come back."""

    message: str
    retry_after_s: float


@frozen
class PlacementRequest:
    """What is to be placed: the ask, its size on the wire and its surroundings."""

    ask: RequestMetadata
    salt: bytes
    body_bytes: int
    data_centre: str
    left_s: float
    wanted_weights: int = 0
    stores: CacheStores = field(factory=CacheStores)
    wait_bound_s: float = math.inf
    trial_share: float = TRIAL_SHARE


@frozen
class PromptView:
    """A prompt under one salt, and how much of it its store is believed to keep."""

    salt: bytes
    parts: tuple[ReadPart, ...]
    kept_tokens: int


@define(eq=False)
class Chooser:
    """Predicts the cost of each upstream and takes the least."""

    rankings: RankingCache = field(factory=lambda: RankingCache(HOMES_CACHED))

    def choose(
        self,
        request: PlacementRequest,
        states: Sequence[UpstreamState],
        excluded: set[str],
        now_s: float,
    ) -> Result[Placement, NoUpstream]:
        """Return the upstream of the least predicted cost, or why there is none."""
        tries = random.random() < request.trial_share
        usable = [
            state
            for state in states
            if state.upstream.name not in excluded
            and state.usable(now_s)
            and (tries or not state.held_silent(now_s))
        ]
        if not usable:
            usable = self.least_suspect(states, excluded)
        if not usable:
            return Err(NoUpstream("no upstream takes work", 0.5))
        home = self.home(request, usable)
        views: dict[bytes, PromptView] = {}
        placements = [
            self.predict(request, state, home, views, now_s) for state in usable
        ]
        compared = sample(placements, home, request.ask.shared_tokens)
        bound_s = min(request.wait_bound_s, REFUSE_AT_SHARE * request.left_s)
        fitting = [item for item in compared if item.wait_s <= bound_s]
        if not fitting:
            least_s = min(item.wait_s for item in compared)
            wait_s = least_s - bound_s / 2
            return Err(NoUpstream("every queue compared is too long", wait_s))
        return Ok(min(fitting, key=lambda item: (item.cost_s, random.random())))

    def least_suspect(
        self, states: Sequence[UpstreamState], excluded: set[str]
    ) -> list[UpstreamState]:
        """Return the suspect upstream that is due first, if all are suspect."""
        suspects = [
            state
            for state in states
            if not state.upstream.draining and state.upstream.name not in excluded
        ]
        return sorted(suspects, key=lambda state: state.suspect_until_s)[:1]

    def home(self, request: PlacementRequest, usable: list[UpstreamState]) -> str:
        """Return the home of the deepest part worth one, or an empty name."""
        shared = request.ask.parts[:-1]
        part = max(shared, key=lambda item: item.tokens, default=None)
        if part is None or part.tokens < HOME_LEAST_TOKENS:
            return ""
        names = frozenset(state.upstream.name for state in usable)
        return self.rankings.rank(shared[-1].name.encode(), names)[0]

    def predict(
        self,
        request: PlacementRequest,
        state: UpstreamState,
        home: str,
        views: dict[bytes, PromptView],
        now_s: float,
    ) -> Placement:
        """Return an upstream's placement with its predicted cost."""
        hit, parts, salt, read_s = 0, (), b"", 0.0
        wait_s = self.slot_wait_s(state, now_s)
        cost_s = self.surcharge_s(request, state, now_s)
        if state.traits is not None and request.ask.parts:
            salt = cache_salt(request, state)
            view = views.get(salt)
            if view is None:
                view = views[salt] = view_prompt(request, salt, now_s)
            parts = view.parts
            hit = state.belief.held_tokens(parts)
            if state.upstream.name != home:
                cost_s += HOME_S
            wait_s += state.waiting_prefill(now_s) / PREFILL_TOKENS_PER_S
            read_s = read_time_s(request, view.kept_tokens, hit)
            cost_s += MISS_WEIGHT * read_s
            cost_s += self.memory_wait_s(request, state, now_s)
        cost_s += wait_s
        loading = state.loading(now_s)
        return Placement(state, salt, parts, hit, wait_s, cost_s, read_s, loading)

    def slot_wait_s(self, state: UpstreamState, now_s: float) -> float:
        """Return the wait for a slot or a load, and the slowing by requests beside."""
        running = state.running(now_s)
        slots = max(1, state.upstream.slots)
        wait_s = STEP_S_PER_RUN * running
        if running >= slots:
            wait_s += SLOT_WAIT_S * (running - slots + 1) / slots
        elif state.traits is None:
            wait_s += SLOT_WAIT_S * running / slots / 2
        if state.loading(now_s):
            wait_s += LOADING_S
        return wait_s

    def memory_wait_s(
        self, request: PlacementRequest, state: UpstreamState, now_s: float
    ) -> float:
        """Return what it costs that running requests fill the upstream's memory."""
        need = request.ask.prompt_tokens + request.ask.output_tokens
        used = state.used_tokens(now_s)
        free_share = 1.0 - (used + need) / max(1, state.traits.cache_tokens)
        return 0.0 if free_share >= 0.2 else MEMORY_S * (0.2 - free_share)

    def surcharge_s(
        self, request: PlacementRequest, state: UpstreamState, now_s: float
    ) -> float:
        """Return the cost of distance, of failed answers and of old weights."""
        cost_s = ERROR_S * state.error_share
        if state.upstream.data_centre != request.data_centre:
            cost_s += AWAY_S_PER_MB * request.body_bytes / 1e6
        if request.wanted_weights:
            served = state.weights.get(request.ask.model, 0)
            if served < request.wanted_weights:
                cost_s += OLD_WEIGHTS_S
        return cost_s


def view_prompt(request: PlacementRequest, salt: bytes, now_s: float) -> PromptView:
    """Return a prompt as engines of one salt see it."""
    parts = read_parts(salt, request.ask.parts)
    store = request.stores.of_prompt(parts[:-1])
    kept = store.held_tokens(parts[:-1], now_s) if store is not None else 0
    return PromptView(salt, parts, kept)


def read_time_s(request: PlacementRequest, kept: int, hit: int) -> float:
    """Return the time to fetch and to read what an engine does not hold."""
    fetched = max(0, kept - hit)
    missed = request.ask.prompt_tokens - hit - fetched
    return missed / PREFILL_TOKENS_PER_S + fetched / FETCH_TOKENS_PER_S


def sample(
    placements: list[Placement], home: str, shared_tokens: int
) -> list[Placement]:
    """Return the home, some engines that hold all shared parts, and some others.

    Hosts hear of each other's requests late. If all took the one engine that looks best
    in that view, it would get the requests of a whole period. So would the first engine
    that is known to hold a part which most prompts begin with.
    """
    if len(placements) <= COMPARED_MOST:
        return placements
    chosen = [item for item in placements if item.state.upstream.name == home]
    needed = max(HOME_LEAST_TOKENS, shared_tokens)
    holders = [item for item in placements if item.hit_tokens >= needed]
    chosen += random.sample(holders, min(HOLDERS_SAMPLED, len(holders)))
    others = [item for item in placements if not item.loading]
    chosen += random.sample(others, min(SAMPLED, len(others)))
    return chosen or placements


def cache_salt(request: PlacementRequest, state: UpstreamState) -> bytes:
    """Return who may share the cache entries that an engine makes of a request.

    Entries of other weights must not be found, so the version is part of it.
    """
    return b"%s:%d" % (request.salt, state.weights.get(request.ask.model, 0))
