"""The command that gathers the time line of events over all hosts."""

import argparse
import sys
from pathlib import Path

from result import Err, Ok, Result

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, command
from rosemaryyoke.cli.operator_calls import (
    add_host_arguments,
    get_from_host,
    read_operator_key,
)
from rosemaryyoke.timeline import ProcessEvent, encode_trace, merge_events, render_page
from rosemaryyoke.timeline.log_reader import read_logs, select_request


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of timeline."""
    add_host_arguments(parser, required=False)
    parser.add_argument(
        "--log",
        type=Path,
        nargs="+",
        help="read these logs of hosts in place of asking the hosts",
    )
    parser.add_argument("--html", type=Path, help="write a page with a picture")
    parser.add_argument("--trace", type=Path, help="write JSON for trace viewers")
    parser.add_argument("--request", default="", help="print only this request")


def collect_events(host: str, key: str) -> Result[list[dict], str]:
    """Return the events of every host that answers."""
    status = get_from_host(host, "/status", key)
    if isinstance(status, Err):
        return status
    answers = []
    for member in status.ok_value["hosts"]:
        answer = get_from_host(member["address"], "/events", key)
        if isinstance(answer, Err):
            print(f"left out: {answer.err_value}", file=sys.stderr)
        else:
            answers.append(answer.ok_value)
    return Ok(answers)


def format_event(event: ProcessEvent) -> str:
    """Return an event as a line."""
    detail = " ".join(f"{key}={value}" for key, value in event.detail.items())
    time_text = f"{event.time_s:.6f}"
    return f"{time_text} {event.process} {event.kind} {event.request} {detail}".rstrip()


def print_logs(paths: list[Path], request: str) -> int:
    """Print what logs hold, or only what concerns one request."""
    events = read_logs(paths)
    if request:
        events = select_request(events, request)
    for event in events:
        print(event.format())
    return EXIT_OK if events else EXIT_FAILURE


@command("timeline", "gather the events of all hosts in one order", add_arguments)
def timeline(options: argparse.Namespace) -> int:
    """Print the time line, or write it as a page or a trace."""
    if options.log:
        return print_logs(options.log, options.request)
    if not (options.host and options.key_file):
        print("--host and --key-file, or --log, are wanted", file=sys.stderr)
        return EXIT_USAGE
    answers = collect_events(options.host, read_operator_key(options.key_file))
    if isinstance(answers, Err):
        print(answers.err_value, file=sys.stderr)
        return EXIT_FAILURE
    events = merge_events(answers.ok_value)
    if options.request:
        events = [event for event in events if event.request == options.request]
    if options.html:
        options.html.write_text(render_page(events), encoding="utf-8")
    if options.trace:
        options.trace.write_bytes(encode_trace(events))
    if not (options.html or options.trace):
        for event in events:
            print(format_event(event))
    return EXIT_OK
