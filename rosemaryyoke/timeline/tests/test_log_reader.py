"""Tests of reading host logs and selecting the events of a request."""

import orjson

from rosemaryyoke.cli.main import main
from rosemaryyoke.timeline.log_reader import read_logs, select_request


def line(at_s, message, prefix="", **fields):
    value = {"time": at_s, "process": "h1", "message": message, **fields}
    return prefix + orjson.dumps(value).decode()


LINES = [
    line(1.0, "placed", request="r1", upstream="e1", wait_ms=3),
    line(1.1, "placed", prefix="1.1 h1 ", request="r2", upstream="e1"),
    "not a log line",
    '{"half": ',
    line(1.2, "upstream gone", upstream="e1"),
    line(1.3, "attempt failed", request="r1", upstream="e1", reason="reset"),
    line(1.4, "refused", request="r1", status=502, code="upstream_failed"),
    line(9.0, "upstream came", upstream="e1"),
]


def write_logs(tmp_path):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(LINES[4:]))
    second.write_text("\n".join(LINES[:4]))
    return [first, second]


def test_select_request_includes_upstream_changes(tmp_path):
    events = select_request(read_logs(write_logs(tmp_path)), "r1")
    assert [event.message for event in events] == [
        "placed",
        "upstream gone",
        "attempt failed",
        "refused",
    ]


def test_timeline_command_reads_logs(tmp_path, capsys):
    paths = [str(path) for path in write_logs(tmp_path)]
    assert main(["timeline", "--request", "r1", "--log", *paths]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[-1] == "1.400 h1 refused status=502 code=upstream_failed"
    assert main(["timeline", "--request", "r9", "--log", *paths]) == 1
