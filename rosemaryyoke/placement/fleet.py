"""What a host knows of the engines that it may choose from."""

from collections import deque

from attrs import define, field, frozen

from rosemaryyoke.placement.blocks import Chain
from rosemaryyoke.placement.prefixes import Holding, PrefixIndex, Step

DEFAULT_CACHE_BLOCKS = 2_000
DEFAULT_PREFILL_S_PER_BLOCK = 0.004
IMPORT_S = 0.002
IMPORT_S_PER_BLOCK = 0.0002


def import_s(blocks: int) -> float:
    """Return the seconds that an import of blocks from the kept-KV store takes."""
    return IMPORT_S + IMPORT_S_PER_BLOCK * blocks if blocks else 0.0


@frozen
class Dispatch:
    """Work that this host gave an engine and that no report covers yet."""

    at_s: float
    prefill_s: float


@define(eq=False)
class EngineView:
    """An engine as this host sees it."""

    name: str
    incarnation: str = ""
    weights: str = ""
    cache_blocks: int = DEFAULT_CACHE_BLOCKS
    prefill_s_per_block: float = DEFAULT_PREFILL_S_PER_BLOCK
    insertions: int = 0
    free_at_s: float = 0.0
    urgent_free_at_s: float = 0.0
    in_flight: int = 0
    recent: deque[Dispatch] = field(factory=deque)

    def queue_s(self, now_s: float, urgent: bool = False) -> float:
        """Return the estimated time until a new request's prefill begins.

        An urgent request waits for the prefill that runs and for other urgent ones.
        """
        if urgent:
            return max(0.0, min(self.urgent_free_at_s, self.free_at_s) - now_s)
        return max(0.0, self.free_at_s - now_s)

    def holds(self, holding: Holding | None) -> int:
        """Return how many blocks of a holding are believed to be still cached."""
        if holding is None or holding.incarnation != self.incarnation:
            return 0
        if self.insertions - holding.insertions > self.cache_blocks:
            return 0
        return holding.blocks

    def dispatched(
        self, prefill_s: float, missed: int, now_s: float, urgent: bool = False
    ) -> None:
        """Count work that this host gave the engine."""
        self.recent.append(Dispatch(now_s, prefill_s))
        idle = self.free_at_s <= now_s
        if urgent or idle:
            self.urgent_free_at_s = max(self.urgent_free_at_s, now_s) + prefill_s
        self.free_at_s = max(self.free_at_s, now_s) + prefill_s
        self.insertions += missed
        self.in_flight += 1

    def reported(self, waiting_s: float, insertions: int, as_of_s: float) -> None:
        """Take in a load report and add the work given since."""
        while self.recent and self.recent[0].at_s <= as_of_s:
            self.recent.popleft()
        since_s = sum(dispatch.prefill_s for dispatch in self.recent)
        self.free_at_s = as_of_s + waiting_s + since_s
        self.insertions = max(self.insertions, insertions)


@frozen
class Choice:
    """An engine for a request and what is expected of it.

    ``asks_store`` has the engine look in the kept-KV store for what it misses, which
    costs far less than to compute it.
    """

    engine: str
    hit_blocks: int = 0
    ttft_s: float = 0.0
    asks_store: bool = False
    prefill_s: float = 0.0


@define(eq=False)
class Fleet:
    """Engines and beliefs of one host."""

    engines: dict[str, EngineView] = field(factory=dict)
    index: PrefixIndex = field(factory=PrefixIndex)
    imports: bool = False

    def hit_blocks(self, engine: EngineView, steps: list[Step]) -> int:
        """Return how much of a walked chain an engine is believed to hold."""
        total = 0
        for step in steps:
            held = min(engine.holds(step.node.holders.get(engine.name)), step.shared)
            total += held
            if held < len(step.node.run):
                break
        return total

    def kept_blocks(self, steps: list[Step]) -> int:
        """Return how much of a walked chain the kept-KV store is believed to hold."""
        total = 0
        if not self.imports:
            return 0
        for step in steps:
            kept = min(step.node.kept_blocks, step.shared)
            total += kept
            if kept < len(step.node.run):
                break
        return total

    def predict(
        self,
        engine: EngineView,
        chain: Chain,
        steps: list[Step],
        kept: int,
        now_s: float,
        urgent: bool = False,
    ) -> Choice:
        """Return the choice of an engine with its predicted time to first token."""
        hit = self.hit_blocks(engine, steps)
        missed = len(chain) - hit
        asks_store = self.imports and missed > 0
        imported = max(0, kept - hit)
        prefill_s = (missed - imported) * engine.prefill_s_per_block
        if asks_store:
            prefill_s += import_s(imported) or IMPORT_S
        ttft_s = engine.queue_s(now_s, urgent) + prefill_s
        return Choice(engine.name, hit, ttft_s, asks_store, prefill_s)

    def sent(
        self, choice: Choice, chain: Chain, now_s: float, urgent: bool = False
    ) -> None:
        """Note that a request was given to its engine."""
        engine = self.engines[choice.engine]
        missed = len(chain) - choice.hit_blocks
        engine.dispatched(choice.prefill_s, missed, now_s, urgent)
        self._hold(engine, chain)

    def answered(
        self, name: str, incarnation: str, chain: Chain, kept: bool = False
    ) -> None:
        """Note that an engine computed a chain, so that it holds it now."""
        engine = self.engines.get(name)
        if engine is None:
            return
        self.set_incarnation(engine, incarnation)
        self._hold(engine, chain, kept)

    def ended(self, name: str) -> None:
        """Note that a request ended at an engine."""
        engine = self.engines.get(name)
        if engine is not None and engine.in_flight > 0:
            engine.in_flight -= 1

    def set_incarnation(self, engine: EngineView, incarnation: str) -> None:
        """Forget an engine's cache and load where it started anew."""
        if incarnation == engine.incarnation:
            return
        engine.incarnation = incarnation
        engine.insertions = 0
        engine.recent.clear()
        engine.free_at_s = 0.0

    def _hold(self, engine: EngineView, chain: Chain, kept: bool = False) -> None:
        for node in self.index.insert(chain):
            node.holders[engine.name] = Holding(
                engine.incarnation, len(node.run), engine.insertions
            )
            if kept:
                node.kept_blocks = len(node.run)
