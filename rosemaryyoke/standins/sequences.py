"""Options, faults and requests of the stand-in engine."""

import queue

from attrs import define, field, frozen

from rosemaryyoke.standins.words import TokenSource

CACHE_BLOCKS = 2_000
PREFILL_S_PER_BLOCK = 0.004
TOKEN_S = 0.020
LOAD_S = 2.0


@define
class EngineFault:
    """How the engine misbehaves towards streams."""

    cut_after_tokens: int = 0
    cross_every: int = 0
    event_gap: float = 0.0
    event_lag_s: float = 0.0
    load_lag_s: float = 0.0
    crash_text: str = ""  # in prompts


@frozen
class EngineOptions:
    """What kind of engine this is."""

    name: str
    model: str
    weights: str = "v1"
    cache_blocks: int = CACHE_BLOCKS
    prefill_s_per_block: float = PREFILL_S_PER_BLOCK
    token_s: float = TOKEN_S
    load_s: float = LOAD_S
    checks_fencing: bool = False
    seed: int = 0


@define(eq=False)
class Sequence:
    """One request in the engine.

    ``weights`` are those under which it runs, or ran to its end.
    """

    request: str
    account: str
    weights: str
    chain: list[bytes]
    source: TokenSource
    max_tokens: int
    first_index: int
    store: str = ""
    saves: bool = False
    cached: int = 0
    tokens: list[str] = field(factory=list)
    reader: queue.SimpleQueue | None = None
    detached_s: float = 0.0
    finished_s: float = 0.0
    cancelled: bool = False
    refused: bool = False
    prefilled: bool = False

    @property
    def done(self) -> bool:
        """Tell whether all tokens are produced."""
        return len(self.tokens) >= self.max_tokens

    @property
    def end(self) -> int:
        """Return the index after the last token produced."""
        return self.first_index + len(self.tokens)


@frozen
class CacheEvent:
    """A change of the engine's cache, numbered without gaps at the source."""

    number: int
    stored: list[str]
    removed: list[str]
    visible_s: float
