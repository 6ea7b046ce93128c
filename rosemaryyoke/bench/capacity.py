"""Slopes of a host's state: each measured at three sizes, worked out at the plan."""

import gc
import multiprocessing
import os
import random
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Callable, Iterator

from attrs import frozen

from rosemaryyoke.bench.host import MEGABYTE, resident_bytes
from rosemaryyoke.bench.measure import Measure, bench
from rosemaryyoke.core import Metrics
from rosemaryyoke.limits.fairness import FairShareTracker
from rosemaryyoke.placement import EngineView, Fleet
from rosemaryyoke.rules import Chunk, combine_texts, digest_key, split_chunks
from rosemaryyoke.spread.revisions import parse_chunk

ACCOUNT_SIZES = (5_000, 15_000, 45_000)
BLOCK_SIZES = (20_000, 40_000, 80_000)
ENGINE_SIZES = (100, 300, 600)
PLANNED_ACCOUNTS = 45_000
PLANNED_ENGINES = 600
PLANNED_BLOCKS = 80_000
MEMORY_BOUND_MB = 32.0
CHANGE_BOUND_S = 1.0
PROMPT_BLOCKS = 75
LINES_AT_ONCE = 1_000
ACCOUNTS_SEEN_BY_A_HOST = 265
ACCOUNT_USE_SIZES = (5_000, 10_000, 20_000)


@frozen
class Point:
    """What a size costs."""

    size: int
    memory_mb: float
    seconds: float


def own_resident_mb() -> float:
    """Return the resident size of this process."""
    gc.collect()
    return resident_bytes(os.getpid()) / MEGABYTE


def measure_build(size: int, build: Callable) -> Point:
    """Return the memory and time of a state's size, in a process of its own."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=context) as pool:
        return pool.submit(measure_here, size, build).result()


def measure_here(size: int, build: Callable) -> Point:
    """Return the memory and time that building a state of a size takes."""
    before = own_resident_mb()
    began_s = time.process_time()
    kept = build(size)
    seconds = time.process_time() - began_s
    memory = own_resident_mb() - before
    del kept
    return Point(size, memory, seconds)


def build_rules(count: int):
    """Return the chunks and parsed rules that a host keeps."""
    kept = [parse_chunk(chunk.text) for chunk in account_chunks(count)]
    rules = combine_texts([chunk.parsed for chunk in kept], 1).unwrap()
    return kept, rules, rules.account_by_key


def account_chunks(count: int) -> Iterator[Chunk]:
    """Return the chunks of rules with a number of accounts, one at a time."""
    lines = []
    for number in range(count):
        digest = digest_key(str(number))
        lines.append(f"account name=account{number} key_sha256={digest} # Ana, new\n")
        if len(lines) == LINES_AT_ONCE:
            yield from split_chunks("".join(lines))
            lines.clear()
    yield from split_chunks("".join(lines))


def time_change(count: int) -> float:
    """Return the seconds that a change of one chunk takes to be put in force."""
    kept = [parse_chunk(chunk.text) for chunk in account_chunks(count)]
    began_s = time.process_time()
    parsed = [chunk.parsed for chunk in kept[1:]]
    parsed.append(parse_chunk(kept[0].text).parsed)
    combine_texts(parsed, 2).unwrap()
    return time.process_time() - began_s


def build_index(blocks: int) -> Fleet:
    """Return a fleet whose prefix index holds a number of blocks."""
    generator = random.Random(1)
    fleet = Fleet({"e": EngineView("e", "1")})
    for _ in range(blocks // PROMPT_BLOCKS):
        chain = [generator.randbytes(16) for _ in range(PROMPT_BLOCKS)]
        fleet.record_computed_prefix("e", "1", chain)
    return fleet


def build_engines(count: int):
    """Return views of engines with a report taken in by each."""
    views = [EngineView(f"engine{number}", "1") for number in range(count)]
    for view in views:
        view.apply_load_report(0.1, 1_000, 1.0)
    return views


def build_accounts_use(count: int):
    """Return the use of accounts that a host follows."""
    shares, metrics = FairShareTracker(), Metrics()
    for number in range(count):
        shares.record_demand(f"account{number}", 1.0, number / count)
    return shares, metrics


def slope(points: list[Point], attribute: str) -> float:
    """Return the least-squares slope of an attribute by size."""
    xs = [point.size for point in points]
    ys = [getattr(point, attribute) for point in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    return sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread


@bench.register("capacity")
def bench_capacity() -> list[Measure]:
    """Return a host's state at the planned size, from slopes over three sizes."""
    plan = (
        ("rules of accounts", build_rules, ACCOUNT_SIZES, PLANNED_ACCOUNTS),
        ("prefix index, blocks", build_index, BLOCK_SIZES, PLANNED_BLOCKS),
        ("views of engines", build_engines, ENGINE_SIZES, PLANNED_ENGINES),
        (
            "use of accounts",
            build_accounts_use,
            ACCOUNT_USE_SIZES,
            ACCOUNTS_SEEN_BY_A_HOST,
        ),
    )
    total_mb = 0.0
    for name, build, sizes, planned in plan:
        points = [measure_build(size, build) for size in sizes]
        memory = max(0.0, slope(points, "memory_mb") * planned)
        for point in points:
            print(
                f"{name} {point.size}: {point.memory_mb:.2f} MB {point.seconds:.3f} s"
            )
        print(f"{name} at {planned}: {memory:.2f} MB")
        total_mb += memory
    return [
        Measure("state of a host", total_mb, MEMORY_BOUND_MB, "MB"),
        Measure(
            "a change of rules", time_change(PLANNED_ACCOUNTS), CHANGE_BOUND_S, "s"
        ),
    ]
