"""Tests that the packaged binary runs as a single process."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from rosemaryyoke.testing.builders import SHARED_KEY, System, free_port

ROOT = Path(__file__).parents[3]
BINARY = ROOT / "dist" / "rosemaryyoke"
GOOD_RULES = "model name=m weights=v1 # Ana, first model\n"


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    make = ["make", "binary", f"VENV={sys.prefix}"]
    subprocess.run(make, cwd=ROOT, check=True, capture_output=True)
    unpacked = tmp_path_factory.mktemp("unpacked")
    environment = {**os.environ, "SHIV_ROOT": str(unpacked)}

    def start(*arguments):
        command = [sys.executable, str(BINARY), *arguments]
        pipe = subprocess.PIPE
        return subprocess.Popen(command, env=environment, stdout=pipe, stderr=pipe)

    return start


def children_of(pid):
    """Return the child processes of a process."""
    tasks = Path(f"/proc/{pid}/task")
    return [
        child for task in tasks.iterdir() for child in (task / "children").read_text()
    ]


def test_binary_checks_rules(binary, tmp_path):
    rules = tmp_path / "rules.txt"
    rules.write_text(GOOD_RULES + "nonsense\n")
    process = binary("check", str(rules))
    _, errors = process.communicate(timeout=120)
    assert process.returncode == 1
    assert b"rules.txt:2:1: unknown verb 'nonsense'" in errors


def test_binary_serves_as_one_process(binary):
    with System(engines=1, services=0, hosts=1) as system:
        settings = {
            "name": "host1",
            "data_centre": "Kelowna",
            "address": "127.0.0.1",
            "http_port": free_port(),
            "peer_port": free_port(),
            "platform": system.address("platform"),
            "shared_key": SHARED_KEY,
            "answer_lifetime_s": 0.2,
        }
        path = system.folder / "host1.yaml"
        path.write_text(yaml.safe_dump(settings))
        process = binary("serve", "--settings", str(path))
        try:
            wrapped = system.processes["host0"].__class__(
                "host1", settings["http_port"], process, [], system.folder / "host1.log"
            )
            system.processes["host1"] = wrapped
            system.wait_for("host1")
            assert system.client(host="host1").chat("m", "hello", 3).is_ok()
            assert children_of(process.pid) == []
            process.send_signal(signal.SIGTERM)
            assert process.wait(30) == 0
        finally:
            process.kill()
