"""The ``status`` command."""

import argparse
import sys

import orjson
from result import Err

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK, command
from rosemaryyoke.cli.operator_calls import (
    add_host_arguments,
    get_from_host,
    read_operator_key,
)

HOST_COLUMNS = ("name", "address", "data_centre", "state", "revision")
LEASE_COLUMNS = ("name", "fencing", "remaining_s")
LIMIT_COLUMNS = (
    "account",
    "requests_per_s",
    "tokens_per_s",
    "concurrency",
    "running_here",
)
UPSTREAM_COLUMNS = ("name", "kind", "address", "accepting", "leaving", "weights")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``status``."""
    add_host_arguments(parser)
    parser.add_argument("--json", action="store_true", help="print JSON")


def format_table(columns: tuple[str, ...], rows: list[dict]) -> str:
    """Format rows as a table with a header."""
    cells = [list(columns)]
    cells += [[str(row[column]) for column in columns] for row in rows]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


@command(
    "status", "show hosts, upstreams, leases, limits and the revision", add_arguments
)
def status(options: argparse.Namespace) -> int:
    """Print the status that a host reports."""
    answer = get_from_host(options.host, "/status", read_operator_key(options.key_file))
    if isinstance(answer, Err):
        print(answer.err_value, file=sys.stderr)
        return EXIT_FAILURE
    value = answer.ok_value
    if options.json:
        print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
        return EXIT_OK
    print_tables(value)
    return EXIT_OK


def print_tables(value: dict) -> None:
    """Print the status of a host as tables."""
    print(f"revision {value['revision']} in force on {value['host']}\n")
    tables = (
        (HOST_COLUMNS, value["hosts"]),
        (UPSTREAM_COLUMNS, value["upstreams"]),
        (LEASE_COLUMNS, value["leases"]),
        (LIMIT_COLUMNS, value["limits"]),
    )
    print("\n\n".join(format_table(*table) for table in tables if table[1]))
