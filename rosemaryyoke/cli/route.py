"""The ``route`` command, which runs a host with settings from the platform."""

import argparse
import importlib
import os
import sys
from pathlib import Path

from result import Err

from rosemaryyoke.cli.commands import EXIT_USAGE, command
from rosemaryyoke.cli.process import run_and_exit
from rosemaryyoke.core.logs import configure_logging


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``route``."""
    parser.add_argument(
        "--settings", type=Path, help="settings file; default: the platform's file"
    )
    parser.add_argument(
        "--log-level", default="info", help="minimum level, from debug to error"
    )


@command("route", "run a host on the users' platform until SIGTERM", add_arguments)
def route(options: argparse.Namespace) -> int:
    """Run a routing host."""
    settings_file = importlib.import_module("rosemaryyoke.platform.settings_file")
    path = options.settings or settings_file.settings_path()
    if path is None:
        print(
            "settings: no file is named",
            file=sys.stderr,
        )
        return EXIT_USAGE
    settings = settings_file.load_routing_settings(path)
    if isinstance(settings, Err):
        print(settings.err_value, file=sys.stderr)
        return EXIT_USAGE
    logs = configure_logging(settings.ok_value.name, options.log_level)
    from rosemaryyoke.exchanges.host import RoutingHost
    from rosemaryyoke.platform.adapter import make_adapter

    host = RoutingHost(
        settings.ok_value,
        make_adapter(settings.ok_value),
        lambda: settings_file.load_routing_settings(path),
    )
    run_and_exit(host, logs)
    return os.EX_OK
