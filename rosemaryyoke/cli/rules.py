"""The commands that check, publish and show rules."""

import argparse
import difflib
import sys
import time
from pathlib import Path

from result import Err, Ok, Result

from rosemaryyoke.cli.commands import EXIT_FAULT, EXIT_OK, EXIT_UNKNOWN, command
from rosemaryyoke.cli.operator import (
    add_host_arguments,
    ask_host,
    read_operator_key,
    tell_host,
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

WAIT_S = 5.0
POLL_S = 0.1


def add_check_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of check."""
    parser.add_argument("rules", type=Path, help="rules file")


def add_apply_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of apply."""
    parser.add_argument("rules", type=Path, help="rules file")
    parser.add_argument("--platform", required=True, help="as 10.0.0.1:80")
    add_host_arguments(parser)
    parser.add_argument(
        "--after", type=int, help="publish only if this revision is in force"
    )
    parser.add_argument(
        "--wait", type=float, default=WAIT_S, help="seconds to wait for the hosts"
    )


def add_show_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of rules."""
    parser.add_argument("--platform", required=True, help="as 10.0.0.1:80")
    parser.add_argument("--diff", type=Path, help="show how this file differs")


def read_checked(path: Path) -> Result[str, list[str]]:
    """Return the text of a rules file, or its faults by place."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"{path}: {error}"])
    parsed = parse_rules(text)
    if isinstance(parsed, Err):
        return Err([fault.located(str(path)) for fault in parsed.err_value])
    return Ok(text)


def print_faults(faults: list[str]) -> int:
    """Print faults and return the exit code for them."""
    for fault in faults:
        print(fault, file=sys.stderr)
    return EXIT_FAULT


@command("check", "check a rules file and print its faults", add_check_arguments)
def check(options: argparse.Namespace) -> int:
    """Check a rules file."""
    checked = read_checked(options.rules)
    if isinstance(checked, Err):
        return print_faults(checked.err_value)
    print(f"{options.rules}: no faults")
    return EXIT_OK


@command("apply", "publish a rules file and wait for the hosts", add_apply_arguments)
def apply(options: argparse.Namespace) -> int:
    """Publish a rules file."""
    checked = read_checked(options.rules)
    if isinstance(checked, Err):
        return print_faults(checked.err_value)
    api = HttpObjectApi(options.platform)
    published = publish_rules(api, checked.ok_value, options.after)
    if isinstance(published, Err):
        error = published.err_value
        print(f"not accepted: {error.message}", file=sys.stderr)
        if error.maybe_published:
            print("it may have been accepted; run the command again", file=sys.stderr)
            return EXIT_UNKNOWN
        return EXIT_FAULT
    done = published.ok_value
    accepted_s = time.monotonic()
    how = "accepted" if done.written else "in force already"
    print(f"revision {done.revision} {how}", flush=True)
    key = read_operator_key(options.key_file)
    tell_host(
        options.host, "/rules/offer", key, encode_offer(done.manifest, done.new_chunks)
    )
    return wait_for_hosts(options, key, done.revision, accepted_s)


def wait_for_hosts(
    options: argparse.Namespace, key: str, revision: int, accepted_s: float
) -> int:
    """Wait until every live host has the revision; print who lacks it."""
    lacking = ["(no host answered)"]
    while time.monotonic() - accepted_s < options.wait:
        lacking = hosts_lacking(options.host, key, revision)
        if not lacking:
            passed_s = time.monotonic() - accepted_s
            print(f"in force on every live host after {passed_s:.2f} s")
            return EXIT_OK
        time.sleep(POLL_S)
    print(f"not seen in force on: {', '.join(lacking)}", file=sys.stderr)
    return EXIT_FAULT


def hosts_lacking(host: str, key: str, revision: int) -> list[str]:
    """Return the live hosts that do not report the revision or a later one."""
    status = ask_host(host, "/status", key)
    if isinstance(status, Err):
        return [status.err_value]
    lacking = []
    for member in status.ok_value["hosts"]:
        if member["state"] != "live" or member["revision"] >= revision:
            continue
        asked = ask_host(member["address"], "/status", key)
        if isinstance(asked, Err) or asked.ok_value["revision"] < revision:
            lacking.append(member["name"])
    return lacking


@command("rules", "show the rules in force, or how a file differs", add_show_arguments)
def show(options: argparse.Namespace) -> int:
    """Show the rules in force."""
    text = read_in_force(HttpObjectApi(options.platform))
    if isinstance(text, Err):
        return print_faults([text.err_value])
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


def read_in_force(api: HttpObjectApi) -> Result[str, str]:
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
