"""The ``call`` command, which calls a model or a service through a host."""

import argparse
import os
import sys

from result import Err

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, command
from rosemaryyoke.client import CallFailed, Client

KEY_VARIABLE = "ROSEMARYYOKE_API_KEY"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``call``."""
    parser.add_argument(
        "--host",
        required=True,
        action="append",
        help="address of a host; repeat for several",
    )
    parser.add_argument("--model", help="model to call")
    parser.add_argument("--prompt", help="prompt text")
    parser.add_argument("--max-tokens", type=int, default=64)
    parser.add_argument("--service", help="service to call instead of a model")
    parser.add_argument("--method", default="POST")
    parser.add_argument("--path", default="/")
    parser.add_argument("--key", default="", help="idempotency key")


@command(
    "call",
    f"call a model or a service; {KEY_VARIABLE} holds the API key",
    add_arguments,
)
def call(options: argparse.Namespace) -> int:
    """Call a model or a service."""
    client = Client(options.host, os.environ.get(KEY_VARIABLE, ""))
    if options.service:
        return call_service(client, options)
    if not options.model or not options.prompt:
        print("either --model and --prompt or --service is required", file=sys.stderr)
        return EXIT_USAGE
    outcome = client.chat(
        options.model,
        options.prompt,
        options.max_tokens,
        lambda text: print(text, end="", flush=True),
    )
    print()
    if isinstance(outcome, Err):
        return print_failure(outcome.err_value)
    answer = outcome.ok_value
    print(
        f"host {answer.host}, engine {answer.engine}, {answer.tokens} tokens, "
        f"cached {answer.cached_tokens} of {answer.prompt_tokens} prompt tokens, "
        f"first token after {answer.first_token_s * 1000:.1f} ms",
        file=sys.stderr,
    )
    return EXIT_OK


def call_service(client: Client, options: argparse.Namespace) -> int:
    """Call a service and print its response body."""
    outcome = client.service(
        options.method, options.service, options.path, {}, options.key
    )
    if isinstance(outcome, Err):
        return print_failure(outcome.err_value)
    print(outcome.ok_value.body.decode("utf-8", "replace"))
    return EXIT_OK


def print_failure(failure: CallFailed) -> int:
    """Print the reason of a failed call and return the exit code."""
    execution = "not run" if failure.not_run else "may have run"
    print(f"{failure.code}: {failure.message} ({execution})", file=sys.stderr)
    return EXIT_FAILURE
