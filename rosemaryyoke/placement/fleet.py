"""A host's estimates of the load and cache contents of engines."""

from collections import deque

from attrs import define, field, frozen

from rosemaryyoke.placement.blocks import Chain
from rosemaryyoke.placement.prefixes import CacheRecord, PrefixIndex, PrefixMatch

DEFAULT_CACHE_BLOCKS = 2_000
DEFAULT_PREFILL_S_PER_BLOCK = 0.004
IMPORT_LATENCY_S = 0.002
IMPORT_S_PER_BLOCK = 0.0002


def import_duration_s(blocks: int) -> float:
    """Return the estimated seconds to import blocks from the KV store."""
    return IMPORT_LATENCY_S + IMPORT_S_PER_BLOCK * blocks if blocks else 0.0


@frozen
class Dispatch:
    """A request sent to an engine that no load report covers yet."""

    sent_at_s: float
    prefill_s: float


@define(eq=False)
class EngineView:
    """This host's estimate of one engine's load and cache state."""

    name: str
    incarnation: str = ""
    weights: str = ""
    cache_blocks: int = DEFAULT_CACHE_BLOCKS
    prefill_s_per_block: float = DEFAULT_PREFILL_S_PER_BLOCK
    insertions: int = 0
    free_at_s: float = 0.0
    urgent_free_at_s: float = 0.0
    in_flight: int = 0
    unreported_dispatches: deque[Dispatch] = field(factory=deque)

    def queue_s(self, now_s: float, urgent: bool = False) -> float:
        """Return the estimated time until a new request's prefill begins.

        An urgent request waits only for the running prefill and for other urgent
        requests.
        """
        if urgent:
            return max(0.0, min(self.urgent_free_at_s, self.free_at_s) - now_s)
        return max(0.0, self.free_at_s - now_s)

    def count_cached_blocks(self, record: CacheRecord | None) -> int:
        """Return how many blocks of a cache record are presumably still cached.

        A record is invalid after a restart of the engine, or once the engine has
        inserted more blocks than its cache holds.
        """
        if record is None or record.incarnation != self.incarnation:
            return 0
        if self.insertions - record.insertions > self.cache_blocks:
            return 0
        return record.blocks

    def add_dispatch(
        self, prefill_s: float, missed: int, now_s: float, urgent: bool = False
    ) -> None:
        """Add a request sent by this host to the estimated load."""
        self.unreported_dispatches.append(Dispatch(now_s, prefill_s))
        idle = self.free_at_s <= now_s
        if urgent or idle:
            self.urgent_free_at_s = max(self.urgent_free_at_s, now_s) + prefill_s
        self.free_at_s = max(self.free_at_s, now_s) + prefill_s
        self.insertions += missed
        self.in_flight += 1

    def apply_load_report(
        self, waiting_s: float, insertions: int, as_of_s: float
    ) -> None:
        """Update the load from a report, plus requests sent after it was made."""
        while (
            self.unreported_dispatches
            and self.unreported_dispatches[0].sent_at_s <= as_of_s
        ):
            self.unreported_dispatches.popleft()
        since_s = sum(dispatch.prefill_s for dispatch in self.unreported_dispatches)
        self.free_at_s = as_of_s + waiting_s + since_s
        self.insertions = max(self.insertions, insertions)


@frozen
class Choice:
    """An engine for a request, with its predicted latency.

    With ``queries_kv_store`` the engine looks up missing blocks in the KV store, since
    an import costs far less than recomputing them.
    """

    engine: str
    hit_blocks: int = 0
    ttft_s: float = 0.0
    queries_kv_store: bool = False
    prefill_s: float = 0.0


@define(eq=False)
class Fleet:
    """The engines known to one host, with its index of their cached prefixes."""

    engines: dict[str, EngineView] = field(factory=dict)
    index: PrefixIndex = field(factory=PrefixIndex)
    imports_enabled: bool = False

    def hit_blocks(self, engine: EngineView, matches: list[PrefixMatch]) -> int:
        """Return how many matched blocks an engine presumably has in its cache."""
        total = 0
        for match in matches:
            held = min(
                engine.count_cached_blocks(match.node.cache_records.get(engine.name)),
                match.matched_blocks,
            )
            total += held
            if held < len(match.node.hashes):
                break
        return total

    def stored_blocks(self, matches: list[PrefixMatch]) -> int:
        """Return how many matched blocks the KV store presumably has."""
        total = 0
        if not self.imports_enabled:
            return 0
        for match in matches:
            stored = min(match.node.stored_blocks, match.matched_blocks)
            total += stored
            if stored < len(match.node.hashes):
                break
        return total

    def predict(
        self,
        engine: EngineView,
        chain: Chain,
        matches: list[PrefixMatch],
        stored: int,
        now_s: float,
        urgent: bool = False,
    ) -> Choice:
        """Return an engine as a choice, with its predicted time to first token."""
        hit = self.hit_blocks(engine, matches)
        missed = len(chain) - hit
        queries_kv_store = self.imports_enabled and missed > 0
        imported = max(0, stored - hit)
        prefill_s = (missed - imported) * engine.prefill_s_per_block
        if queries_kv_store:
            prefill_s += import_duration_s(imported) or IMPORT_LATENCY_S
        ttft_s = engine.queue_s(now_s, urgent) + prefill_s
        return Choice(engine.name, hit, ttft_s, queries_kv_store, prefill_s)

    def record_dispatch(
        self, choice: Choice, chain: Chain, now_s: float, urgent: bool = False
    ) -> None:
        """Record that a request was sent to its engine."""
        engine = self.engines[choice.engine]
        missed = len(chain) - choice.hit_blocks
        engine.add_dispatch(choice.prefill_s, missed, now_s, urgent)
        self._insert_prefix(engine, chain)

    def record_computed_prefix(
        self, name: str, incarnation: str, chain: Chain, in_kv_store: bool = False
    ) -> None:
        """Record that an engine has computed, and thus cached, a prompt's blocks."""
        engine = self.engines.get(name)
        if engine is None:
            return
        self.set_incarnation(engine, incarnation)
        self._insert_prefix(engine, chain, in_kv_store)

    def record_completion(self, name: str) -> None:
        """Record that a request at an engine has ended."""
        engine = self.engines.get(name)
        if engine is not None and engine.in_flight > 0:
            engine.in_flight -= 1

    def set_incarnation(self, engine: EngineView, incarnation: str) -> None:
        """Reset an engine's cache and load estimates if it has restarted."""
        if incarnation == engine.incarnation:
            return
        engine.incarnation = incarnation
        engine.insertions = 0
        engine.unreported_dispatches.clear()
        engine.free_at_s = 0.0

    def _insert_prefix(
        self, engine: EngineView, chain: Chain, in_kv_store: bool = False
    ) -> None:
        for node in self.index.insert(chain):
            node.cache_records[engine.name] = CacheRecord(
                engine.incarnation, len(node.hashes), engine.insertions
            )
            if in_kv_store:
                node.stored_blocks = len(node.hashes)
