"""A model of engines whose running requests take memory from their prefix cache."""

import heapq
import random
from collections import deque

from attrs import define, field
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.messages import PromptPart, RequestMetadata
from rosemaryyoke.fleet import CacheStores, Chooser, Fleet, PlacementRequest, PromptRead
from rosemaryyoke.fleet.belief import CacheBelief
from rosemaryyoke.fleet.state import PREFILL_TOKENS_PER_S
from rosemaryyoke.fleet.tests.builders import make_state

TOKENS_PER_S = 74_800.0
MEMORY_TOKENS = 143_148
SESSIONS = 245
STANDARDS = 4
FIRST_TOKEN_S = 0.07


@define
class Kind:
    """A kind of request: its rate, sizes in tokens, objective and queue bound."""

    name: str
    per_s: float
    standard: int
    session: int
    tail: int
    objective_s: float
    wait_bound_s: float
    output_s: float


@define(eq=False)
class Engine:
    """Reads prompts one after another; what runs takes memory from the cache."""

    state: object
    free_at_s: float = 0.0
    running_tokens: int = 0
    cache: CacheBelief = field(factory=lambda: CacheBelief(MEMORY_TOKENS))


@define
class Outcome:
    """What became of the requests of a kind."""

    in_aim: int = 0
    late: int = 0
    refused: int = 0

    @property
    def share_in_aim(self):
        """Return the share that was answered within the objective."""
        return self.in_aim / max(1, self.in_aim + self.late + self.refused)


@define
class Burst:
    """A time in which requests come ``factor`` times as often."""

    from_s: float
    to_s: float
    factor: float

    def rate(self, at_s):
        """Return how often requests come at a time, against the usual."""
        return self.factor if self.from_s <= at_s < self.to_s else 1.0


@define(eq=False, slots=False)
class Simulation:
    """Requests placed by the product's own chooser, in modelled time.

    ``hot_share`` of each kind's requests are about its first session.
    """

    engines: int
    kinds: list[Kind]
    seed: int = 1
    burst: Burst | None = None
    hot_share: float = 0.0
    clock_s: float = 0.0
    wanted: int = 0
    ends: list = field(factory=list)
    outcomes: dict[str, Outcome] = field(factory=dict)

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.fleet = Fleet(Catalog(), now_s=lambda: self.clock_s)
        self.chooser = Chooser()
        self.by_name = {}
        for number in range(self.engines):
            state = make_state(f"e{number}")
            self.fleet.states[state.upstream.name] = state
            self.by_name[state.upstream.name] = Engine(state)

    def run(self, seconds):
        """Play some seconds and return what became of each kind."""
        self.outcomes = {kind.name: Outcome() for kind in self.kinds}
        arrivals = deque(sorted(self.arrivals(seconds), key=lambda item: item[0]))
        while arrivals:
            at_s, kind = arrivals.popleft()
            while self.ends and self.ends[0][0] <= at_s:
                self.end(heapq.heappop(self.ends))
            self.clock_s = at_s
            self.offer(kind)
        return self.outcomes

    def arrivals(self, seconds):
        for kind in self.kinds:
            at_s = 0.0
            while at_s < seconds:
                rate = self.burst.rate(at_s) if self.burst else 1.0
                at_s += self.random.expovariate(kind.per_s * rate)
                yield at_s, kind

    def offer(self, kind):
        """Place a request, or refuse it."""
        request = PlacementRequest(
            self.make_ask(kind),
            b"s",
            1_000,
            "z1",
            5.0,
            self.wanted,
            CacheStores(),
            kind.wait_bound_s,
        )
        states = list(self.fleet.states.values())
        chosen = self.chooser.choose(request, states, set(), self.clock_s)
        outcome = self.outcomes[kind.name]
        if isinstance(chosen, Err):
            outcome.refused += 1
            return
        self.begin(kind, request.ask, chosen.ok_value, outcome)

    def make_ask(self, kind):
        session = self.random.randrange(SESSIONS)
        if self.random.random() < self.hot_share:
            session = 0
        parts = (
            PromptPart(f"{kind.name}-w{session % STANDARDS}", kind.standard),
            PromptPart(f"{kind.name}-s{session}", kind.session),
            PromptPart(f"t{self.random.random()}", kind.tail),
        )
        return RequestMetadata(b"r", model="m1", parts=parts)

    def begin(self, kind, ask, placement, outcome):
        """Let an engine read a prompt behind those before it."""
        engine = self.engine_of(placement)
        tokens = ask.prompt_tokens
        engine.running_tokens += tokens
        engine.cache.capacity = max(0, MEMORY_TOKENS - engine.running_tokens)
        missed = tokens - engine.cache.held_tokens(placement.parts)
        begin_s = max(self.clock_s, engine.free_at_s)
        engine.free_at_s = begin_s + missed / TOKENS_PER_S
        engine.cache.add(placement.parts)
        first_s = engine.free_at_s + FIRST_TOKEN_S
        if first_s - self.clock_s <= kind.objective_s:
            outcome.in_aim += 1
        else:
            outcome.late += 1
        prefill = int(placement.read_s * PREFILL_TOKENS_PER_S)
        fleet, state = self.fleet, placement.state
        work = fleet.begin(state, tokens, prefill)
        read = PromptRead(state.upstream.name, placement.parts)
        self.plan(first_s, lambda: fleet.prefilled(state, work, read))

        def finish():
            fleet.end(state, work)
            engine.running_tokens -= tokens
            engine.cache.capacity = MEMORY_TOKENS - engine.running_tokens

        self.plan(first_s + kind.output_s, finish)

    def engine_of(self, placement):
        """Return the engine that a placement names."""
        return self.by_name[placement.state.upstream.name]

    def plan(self, at_s, action):
        heapq.heappush(self.ends, (at_s, id(action), action))

    def end(self, item):
        item[2]()
