"""Registry of commands and their exit codes."""

import argparse
from typing import Callable

from attrs import frozen

from rosemaryyoke.core import Registry

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3
EXIT_WARNINGS = 3  # of ``check`` alone, which changes nothing


@frozen
class Command:
    """A command with its help text, arguments and implementation."""

    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace], int]


commands: Registry[Command] = Registry("command")


def command(name: str, help: str, add_arguments: Callable) -> Callable:
    """Return a decorator that registers a function as a command."""

    def decorate(run: Callable[[argparse.Namespace], int]) -> Callable:
        commands.register(name)(Command(help, add_arguments, run))
        return run

    return decorate
