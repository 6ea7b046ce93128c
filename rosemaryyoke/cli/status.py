"""The command that shows hosts, revisions and upstreams."""

import argparse
import sys

import orjson
from result import Err

from rosemaryyoke.cli.commands import EXIT_FAULT, EXIT_OK, command
from rosemaryyoke.cli.operator import (
    add_host_arguments,
    ask_host,
    read_operator_key,
)

HOST_COLUMNS = ("name", "address", "data_centre", "state", "revision")
UPSTREAM_COLUMNS = ("name", "kind", "address", "accepting", "leaving", "weights")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of status."""
    add_host_arguments(parser)
    parser.add_argument("--json", action="store_true", help="print JSON")


def format_table(columns: tuple[str, ...], rows: list[dict]) -> str:
    """Return rows as a table with a head."""
    cells = [list(columns)]
    cells += [[str(row[column]) for column in columns] for row in rows]
    widths = [max(len(row[index]) for row in cells) for index in range(len(columns))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths)).rstrip()
        for row in cells
    ]
    return "\n".join(lines)


@command("status", "show hosts, the revision and upstreams", add_arguments)
def status(options: argparse.Namespace) -> int:
    """Show what a host knows."""
    answer = ask_host(options.host, "/status", read_operator_key(options.key_file))
    if isinstance(answer, Err):
        print(answer.err_value, file=sys.stderr)
        return EXIT_FAULT
    value = answer.ok_value
    if options.json:
        print(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())
        return EXIT_OK
    print(f"revision {value['revision']} in force on {value['host']}\n")
    print(format_table(HOST_COLUMNS, value["hosts"]))
    print()
    print(format_table(UPSTREAM_COLUMNS, value["upstreams"]))
    return EXIT_OK
