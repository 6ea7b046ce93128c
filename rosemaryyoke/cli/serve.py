"""The command that runs a host."""

import argparse
import os
import sys
from pathlib import Path
from typing import NoReturn

from absl import logging
from result import Err

from rosemaryyoke.cli.commands import EXIT_FAULT, EXIT_OK, EXIT_USAGE, command
from rosemaryyoke.core.logs import LogWriter, set_up_logs
from rosemaryyoke.settings import load_settings

LOGS_DRAIN_S = 0.2


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of serve."""
    parser.add_argument("--settings", required=True, type=Path, help="YAML settings")


def run_to_exit(host, logs: LogWriter) -> NoReturn:
    """Run a host and end the process, whatever its pools still wait for.

    The interpreter would join pool threads that wait for an outside answer.
    """
    code = EXIT_FAULT
    try:
        host.run()
        code = EXIT_OK
    except Exception:
        logging.exception("the host failed")
    logs.drain(LOGS_DRAIN_S)
    os._exit(code)


@command("serve", "run an entry host until SIGTERM asks it to stop", add_arguments)
def serve(options: argparse.Namespace) -> int:
    """Run a host."""
    settings = load_settings(options.settings)
    if isinstance(settings, Err):
        for fault in settings.err_value:
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    logs = set_up_logs(settings.ok_value.name, settings.ok_value.log_level)
    from rosemaryyoke.entry import Host

    run_to_exit(Host(settings.ok_value), logs)
