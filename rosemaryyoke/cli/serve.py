"""The ``serve`` command, which runs an entry host."""

import argparse
import sys
from pathlib import Path

from result import Err

from rosemaryyoke.cli.commands import EXIT_USAGE, command
from rosemaryyoke.cli.process import run_and_exit
from rosemaryyoke.core.logs import configure_logging
from rosemaryyoke.settings import load_settings


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``serve``."""
    parser.add_argument(
        "--settings", required=True, type=Path, help="YAML settings file"
    )


@command("serve", "run an entry host until SIGTERM", add_arguments)
def serve(options: argparse.Namespace) -> int:
    """Run an entry host."""
    settings = load_settings(options.settings)
    if isinstance(settings, Err):
        for fault in settings.err_value:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    logs = configure_logging(settings.ok_value.name, settings.ok_value.log_level)
    from rosemaryyoke.entry import Host

    run_and_exit(Host(settings.ok_value), logs)
