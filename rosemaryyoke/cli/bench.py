"""The ``bench`` command."""

import argparse

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK, command

BENCHMARK_NAMES = (
    "capacity",
    "decision",
    "host",
    "overload",
    "placement",
    "quotas",
    "slopes",
    "speeds",
    "spread",
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``bench``."""
    parser.add_argument("name", choices=BENCHMARK_NAMES, help="the benchmark to run")


@command("bench", "run a benchmark; exit 1 if a bound is missed", add_arguments)
def run_bench(options: argparse.Namespace) -> int:
    """Run a benchmark and print its results."""
    from rosemaryyoke.bench import bench

    measures = bench.get(options.name)()
    for measure in measures:
        print(measure, flush=True)
    return EXIT_OK if all(measure.met for measure in measures) else EXIT_FAILURE
