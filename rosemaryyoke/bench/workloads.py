"""The pinned workloads: who asks with which prompt, and when."""

import bisect
import itertools
import random

from attrs import field, frozen

ACCOUNT_WEIGHTS = (30, 25, 20, 10, 6, 4, 3, 2)
PREFILL_S_PER_BLOCK = 0.004
CACHE_BLOCKS = 2_000


@frozen
class Workload:
    """Sizes of a deployment's traffic."""

    name: str
    engines: int
    names: tuple[int, int, int]
    exponents: tuple[float, float, float]
    blocks: tuple[int, int, int]
    tail: int
    output_tokens: tuple[int, int]
    token_s: float
    shift_ranks: int = 0
    shift_every_s: float = 60.0

    @property
    def prompt_blocks(self) -> int:
        """Return the length of a prompt in blocks."""
        return sum(self.blocks) + self.tail

    def rate(self, load: float) -> float:
        """Return the requests a second of a load.

        At load 1.0 prefill with no hits fills every engine.
        """
        return load * self.engines / (self.prompt_blocks * PREFILL_S_PER_BLOCK)


CEDARLINE = Workload(
    "cedarline", 9, (10, 40, 20), (0.9, 0.8, 0.7), (48, 16, 8), 2, (40, 160), 0.020
)
TONOS = Workload(
    "tonos", 6, (6, 60, 50), (1.1, 1.1, 0.8), (64, 16, 4), 1, (8, 24), 0.015, 3
)
WORKLOADS = {workload.name: workload for workload in (CEDARLINE, TONOS)}


@frozen
class BenchRequest:
    """A request of a workload."""

    number: int
    at_s: float
    account: int
    chain: list[bytes] = field(repr=False)
    output_tokens: int = 0


class Zipf:
    """Draw ranks from 0 with weights that fall by a power."""

    def __init__(self, count: int, exponent: float):
        weights = [1.0 / (rank + 1) ** exponent for rank in range(count)]
        self.totals = list(itertools.accumulate(weights))

    def draw(self, generator: random.Random) -> int:
        """Return a rank."""
        position = generator.random() * self.totals[-1]
        return min(bisect.bisect_left(self.totals, position), len(self.totals) - 1)


class ChainMaker:
    """Make chains of block names; equal prefixes get equal names."""

    def __init__(self, workload: Workload):
        self.workload = workload
        self.parts: dict[tuple[int, ...], list[bytes]] = {}
        self.numbers = itertools.count()

    def part(self, key: tuple[int, ...], length: int) -> list[bytes]:
        """Return the blocks of one level."""
        if key not in self.parts:
            self.parts[key] = self.fresh(length)
        return self.parts[key]

    def fresh(self, length: int) -> list[bytes]:
        """Return blocks that no other prompt has."""
        return [next(self.numbers).to_bytes(8, "big") for _ in range(length)]

    def chain(self, account: int, levels: tuple[int, int, int]) -> list[bytes]:
        """Return the chain of a prompt."""
        blocks = self.workload.blocks
        chain: list[bytes] = []
        for depth in range(3):
            key = (account, *levels[: depth + 1])
            chain += self.part(key, blocks[depth])
        return chain + self.fresh(self.workload.tail)


def make_requests(
    workload: Workload, count: int, load: float, seed: int
) -> list[BenchRequest]:
    """Return requests in order of their arrival."""
    generator = random.Random(seed)
    draws = [Zipf(n, e) for n, e in zip(workload.names, workload.exponents)]
    maker = ChainMaker(workload)
    rate = workload.rate(load)
    at_s = 0.0
    requests = []
    for number in range(count):
        at_s += generator.expovariate(rate)
        account = generator.choices(range(8), ACCOUNT_WEIGHTS)[0]
        shift = workload.shift_ranks * int(at_s / workload.shift_every_s)
        levels = tuple(
            (draw.draw(generator) + shift) % size
            for draw, size in zip(draws, workload.names)
        )
        tokens = generator.randint(*workload.output_tokens)
        chain = maker.chain(account, levels)
        requests.append(BenchRequest(number, at_s, account, chain, tokens))
    return requests
