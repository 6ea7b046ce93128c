"""The ``timeline`` command, which merges the events of all hosts."""

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
    """Add the arguments of ``timeline``."""
    add_host_arguments(parser, required=False)
    parser.add_argument(
        "--log",
        type=Path,
        nargs="+",
        help="read events from these host logs instead of from the hosts",
    )
    parser.add_argument("--html", type=Path, help="write an HTML page with a chart")
    parser.add_argument(
        "--trace", type=Path, help="write a JSON file for trace viewers"
    )
    parser.add_argument(
        "--request", default="", help="show only the events of this request"
    )


def collect_events(host: str, key: str) -> Result[list[dict], str]:
    """Return the event responses of all hosts that answer."""
    status = get_from_host(host, "/status", key)
    if isinstance(status, Err):
        return status
    answers = []
    for member in status.ok_value["hosts"]:
        answer = get_from_host(member["address"], "/events", key)
        if isinstance(answer, Err):
            print(f"host omitted: {answer.err_value}", file=sys.stderr)
        else:
            answers.append(answer.ok_value)
    return Ok(answers)


def format_event(event: ProcessEvent) -> str:
    """Format an event as a line of text."""
    detail = " ".join(f"{key}={value}" for key, value in event.detail.items())
    time_text = f"{event.time_s:.6f}"
    return f"{time_text} {event.process} {event.kind} {event.request} {detail}".rstrip()


def print_logs(paths: list[Path], request: str) -> int:
    """Print the events in logs, or only those related to one request."""
    events = read_logs(paths)
    if request:
        events = select_request(events, request)
    for event in events:
        print(event.format())
    return EXIT_OK if events else EXIT_FAILURE


@command("timeline", "merge the events of all hosts in time order", add_arguments)
def timeline(options: argparse.Namespace) -> int:
    """Print the timeline, or write it as an HTML page or a trace."""
    if options.log:
        return print_logs(options.log, options.request)
    if not (options.host and options.key_file):
        print("either --host and --key-file or --log is required", file=sys.stderr)
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
