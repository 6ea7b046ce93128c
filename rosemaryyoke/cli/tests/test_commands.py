import time

import pytest

from rosemaryyoke.cli.main import build_parser, main
from rosemaryyoke.cli.status import format_table


def test_help_lists_commands(capsys):
    assert main([]) == 2
    shown = capsys.readouterr().err
    for name in ("serve", "check", "apply", "rules", "status", "timeline", "bench"):
        assert name in shown
    assert "exit codes" in shown


def test_serve_reports_all_settings_errors(tmp_path, capsys):
    path = tmp_path / "host.yaml"
    path.write_text("name: a\ncolour: red\n")
    assert main(["serve", "--settings", str(path)]) == 2
    shown = capsys.readouterr().err
    assert "colour: unknown key" in shown
    assert "platform: missing" in shown


def test_check_prints_error_locations(tmp_path, capsys):
    path = tmp_path / "rules.txt"
    path.write_text("model name=m weights=v1\n")
    assert main(["check", str(path)]) == 1
    assert f"{path}:1:24: a comment" in capsys.readouterr().err


def test_format_table_aligns_columns():
    rows = [{"a": "x", "b": 10}, {"a": "long", "b": 2}]
    assert format_table(("a", "b"), rows) == "a     b\nx     10\nlong  2"


def test_unknown_command_is_a_usage_error():
    with pytest.raises(SystemExit) as error:
        build_parser().parse_args(["dance"])
    assert error.value.code == 2


def test_apply_rules_and_diff(system, tmp_path):
    rules = tmp_path / "rules.txt"
    rules.write_text(system.rules_text() + "limit account=* concurrency=900 # Ana, x\n")
    platform = ("--platform", system.address("platform"))
    host = ("--host", system.address("host0"), "--key-file", str(system.key_file))
    done = system.command("apply", str(rules), *platform, *host)
    assert done.returncode == 0, done.stderr
    assert "in force on every live host" in done.stdout
    again = system.command("apply", str(rules), *platform, *host)
    assert "in force already" in again.stdout
    late = system.command("apply", str(rules), *platform, *host, "--after", "1")
    assert late.returncode == 0
    same = system.command("rules", *platform, "--diff", str(rules))
    assert same.stdout == ""
    rules.write_text(rules.read_text().replace("900", "901"))
    lost = system.command("apply", str(rules), *platform, *host, "--after", "1")
    assert lost.returncode == 1
    assert "is in force, not 1" in lost.stderr


def test_status_shows_hosts_upstreams_and_limits(system):
    system.publish(system.rules_text() + "limit account=* concurrency=77 # Ana, x\n")
    arguments = ("--host", system.address("host0"), "--key-file", str(system.key_file))
    deadline = time.monotonic() + 30
    while "77" not in (shown := system.command("status", *arguments)).stdout:
        assert time.monotonic() < deadline, shown.stdout + shown.stderr
    for name in (*system.host_names, "engine0", "records0", "running_here"):
        assert name in shown.stdout
