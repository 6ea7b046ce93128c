"""Entry point of the command-line interface."""

import argparse
import importlib
import sys

from rosemaryyoke import __version__
from rosemaryyoke.cli.commands import EXIT_USAGE, commands

COMMAND_MODULES = (
    "serve",
    "route",
    "rules",
    "check",
    "standin",
    "call",
    "status",
    "timeline",
    "bench",
    "soak",
)
EPILOG = """exit codes:
  0  success
  1  errors were found, or the call failed
  2  the command line or the settings are invalid
  3  it is unknown whether the change took effect; run the command again
     (of check: warnings were found, but no errors)
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all registered commands."""
    parser = argparse.ArgumentParser(
        prog="rosemaryyoke",
        description="Route language-model traffic so that long prefixes are reused.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", metavar="command")
    for name in commands.names():
        entry = commands.get(name)
        subparser = subparsers.add_parser(name, help=entry.help, description=entry.help)
        entry.add_arguments(subparser)
    return parser


def select_modules(arguments: list[str]) -> tuple[str, ...]:
    """Return the command modules to import; ``route`` needs only its own."""
    return ("route",) if arguments[:1] == ["route"] else COMMAND_MODULES


def main(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    for module in select_modules(arguments):
        importlib.import_module(f"rosemaryyoke.cli.{module}")
    parser = build_parser()
    options = parser.parse_args(arguments)
    if options.command is None:
        parser.print_help(sys.stderr)
        return EXIT_USAGE
    return commands.get(options.command).run(options)
