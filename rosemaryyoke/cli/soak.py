"""The ``soak`` command, which checks guarantees while faults are injected."""

import argparse

import orjson
from attrs import asdict

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK, command

SECONDS_PER_MINUTE = 60.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``soak``."""
    parser.add_argument(
        "--seed", type=int, default=1, help="random seed of the faults and callers"
    )
    parser.add_argument(
        "--minutes", type=float, default=1.0, help="duration of the fault phase"
    )
    parser.add_argument(
        "--faults",
        default="all",
        help="all, planned (planned work only), or names separated by commas",
    )
    parser.add_argument(
        "--keep-going",
        action="store_true",
        help="do not stop at the first violation, and count them all",
    )


@command(
    "soak",
    "run hosts under injected faults; exit 1 if a guarantee is violated",
    add_arguments,
)
def soak(options: argparse.Namespace) -> int:
    """Run a soak test and print its report as JSON."""
    from rosemaryyoke.soak import run_soak

    report = run_soak(
        options.seed,
        options.minutes * SECONDS_PER_MINUTE,
        options.faults,
        options.keep_going,
    )
    print(orjson.dumps(asdict(report), option=orjson.OPT_INDENT_2).decode())
    return EXIT_FAILURE if report.broken else EXIT_OK
