"""The ``apply`` and ``rules`` commands."""

import argparse
import difflib
import sys
import time
from pathlib import Path

from result import Err, Ok, Result

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK, EXIT_UNKNOWN, command
from rosemaryyoke.cli.operator_calls import (
    add_host_arguments,
    get_from_host,
    post_to_host,
    read_operator_key,
)
from rosemaryyoke.objects.adapters import HttpObjectApi
from rosemaryyoke.rules import parse_rules
from rosemaryyoke.spread.manifest import (
    CHUNK_PREFIX,
    MANIFEST_NAME,
    encode_offer,
    read_manifest,
)
from rosemaryyoke.spread.publish import publish_rules

PUBLISH_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.1


def add_apply_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``apply``."""
    parser.add_argument("rules", type=Path, help="rules file")
    parser.add_argument(
        "--platform", required=True, help="platform address, e.g. 10.0.0.1:80"
    )
    add_host_arguments(parser)
    parser.add_argument(
        "--after", type=int, help="publish only if this revision is in force"
    )
    parser.add_argument(
        "--wait",
        type=float,
        default=PUBLISH_TIMEOUT_S,
        help="seconds to wait for the hosts",
    )


def add_show_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``rules``."""
    parser.add_argument(
        "--platform", required=True, help="platform address, e.g. 10.0.0.1:80"
    )
    parser.add_argument("--diff", type=Path, help="show how this file differs")


def read_valid_rules(path: Path) -> Result[str, list[str]]:
    """Return the text of a valid rules file, or its errors with their locations."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"{path}: {error}"])
    parsed = parse_rules(text)
    if isinstance(parsed, Err):
        return Err([fault.located(str(path)) for fault in parsed.err_value])
    return Ok(text)


def print_errors(errors: list[str]) -> int:
    """Print errors and return the exit code."""
    for error in errors:
        print(error, file=sys.stderr)
    return EXIT_FAILURE


@command(
    "apply",
    "publish a rules file and wait for the hosts to use it",
    add_apply_arguments,
)
def apply_rules(options: argparse.Namespace) -> int:
    """Publish a rules file."""
    checked = read_valid_rules(options.rules)
    if isinstance(checked, Err):
        return print_errors(checked.err_value)
    api = HttpObjectApi(options.platform)
    published = publish_rules(api, checked.ok_value, options.after)
    if isinstance(published, Err):
        error = published.err_value
        print(f"rules not accepted: {error.message}", file=sys.stderr)
        if error.maybe_published:
            print(
                "the rules may have been accepted; run the command again",
                file=sys.stderr,
            )
            return EXIT_UNKNOWN
        return EXIT_FAILURE
    publication = published.ok_value
    accepted_s = time.monotonic()
    outcome = "accepted" if publication.written else "in force already"
    print(f"revision {publication.revision} {outcome}", flush=True)
    key = read_operator_key(options.key_file)
    post_to_host(
        options.host,
        "/rules/offer",
        key,
        encode_offer(publication.manifest, publication.new_chunks),
    )
    return wait_for_hosts(options, key, publication.revision, accepted_s)


def wait_for_hosts(
    options: argparse.Namespace, key: str, revision: int, accepted_s: float
) -> int:
    """Wait until all live hosts use the revision; print the hosts that do not."""
    lagging = ["(no host answered)"]
    while time.monotonic() - accepted_s < options.wait:
        lagging = find_lagging_hosts(options.host, key, revision)
        if not lagging:
            elapsed_s = time.monotonic() - accepted_s
            print(f"in force on every live host after {elapsed_s:.2f} s")
            return EXIT_OK
        time.sleep(POLL_INTERVAL_S)
    print(f"not seen in force on: {', '.join(lagging)}", file=sys.stderr)
    return EXIT_FAILURE


def find_lagging_hosts(host: str, key: str, revision: int) -> list[str]:
    """Return the live hosts that report neither the revision nor a later one."""
    status = get_from_host(host, "/status", key)
    if isinstance(status, Err):
        return [status.err_value]
    lagging = []
    for member in status.ok_value["hosts"]:
        if member["state"] != "live" or member["revision"] >= revision:
            continue
        answer = get_from_host(member["address"], "/status", key)
        if isinstance(answer, Err) or answer.ok_value["revision"] < revision:
            lagging.append(member["name"])
    return lagging


@command("rules", "show the rules in force, or how a file differs", add_show_arguments)
def show_rules(options: argparse.Namespace) -> int:
    """Print the rules in force, or their differences from a file."""
    text = read_published_rules(HttpObjectApi(options.platform))
    if isinstance(text, Err):
        return print_errors([text.err_value])
    if options.diff is None:
        print(text.ok_value, end="")
        return EXIT_OK
    wanted = options.diff.read_text(encoding="utf-8")
    lines = difflib.unified_diff(
        text.ok_value.splitlines(True),
        wanted.splitlines(True),
        "in force",
        str(options.diff),
    )
    print("".join(lines), end="")
    return EXIT_OK


def read_published_rules(api: HttpObjectApi) -> Result[str, str]:
    """Return the text of the rules in force."""
    stored = api.get(MANIFEST_NAME)
    if isinstance(stored, Err):
        return Err(stored.err_value.message)
    parts = []
    for digest in read_manifest(stored.ok_value).chunks:
        chunk = api.get(CHUNK_PREFIX + digest)
        if isinstance(chunk, Err) or chunk.ok_value is None:
            return Err(f"chunk {digest} could not be read")
        parts.append(chunk.ok_value.body.decode())
    return Ok("".join(parts))
