"""Builders of test data: ports, rules, settings, and a system of processes."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import yaml
from attrs import define, field
from result import Err

from rosemaryyoke.cli.operator_calls import get_from_host
from rosemaryyoke.client import Client
from rosemaryyoke.objects.adapters import HttpObjectApi
from rosemaryyoke.rules import digest_key
from rosemaryyoke.settings import operator_key
from rosemaryyoke.spread import Published, publish_rules
from rosemaryyoke.wire import HttpRequest, json_request, send

SHARED_KEY = "test-shared-key-0123456789"
DATA_CENTRES = ("Kamloops", "Kelowna", "Williams-Lake")
START_TIMEOUT_S = 20.0
STACKS_WAIT_S = 1.0
ACCOUNTS = ("cedar", "tonos")


FIRST_PORT = 10_000
TEST_WORKERS = 8
PORTS = 22_000 // TEST_WORKERS
next_port = itertools.count(os.getpid() * 101 % PORTS)


def worker_number() -> int:
    """Return the number of this process among those that run tests side by side."""
    return int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))


def free_port(count: int = 1) -> int:
    """Return the first of ports that nothing listens on and no connection will take.

    The system takes ports of outgoing connections from a range above these. Each of
    the processes that run tests side by side has ports of its own, so that none takes
    the port of a process that another has killed and will restart. Raise ``OSError``
    if there are none.
    """
    first = FIRST_PORT + worker_number() % TEST_WORKERS * PORTS
    for _ in range(2 * PORTS):
        numbers = [next(next_port) % PORTS for _ in range(count)]
        if numbers[-1] - numbers[0] == count - 1 and all(
            is_free(first + number) for number in numbers
        ):
            return first + numbers[0]
    raise OSError(f"no {count} free ports from {first} on")


def is_free(port: int) -> bool:
    """Tell whether nothing listens on a port, for connections or datagrams."""
    with (
        socket.socket() as connections,
        socket.socket(type=socket.SOCK_DGRAM) as datagrams,
    ):
        connections.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            for probe in (connections, datagrams):
                probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def api_key(account: str) -> str:
    """Return the API key of a test account."""
    return f"key-of-{account}"


def long_prompt(level1: str, level2: str = "", tail: str = "") -> str:
    """Return a prompt of three nested parts."""
    return f"standard {level1}: " * 40 + f"clause {level2}: " * 20 + tail


@define(eq=False)
class Process:
    """A process of the system."""

    name: str
    port: int
    popen: subprocess.Popen
    arguments: list[str]
    log: Path

    @property
    def address(self) -> str:
        """Return the address that it listens on."""
        return f"127.0.0.1:{self.port}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def wait(self, timeout_s: float) -> int:
        """Return the exit code; a process that does not end prints its stacks first."""
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGQUIT)
            time.sleep(STACKS_WAIT_S)
            raise AssertionError(f"{self.name} runs on: {self.log.read_text()}")

    def kill(self) -> None:
        """End the process at once."""
        self.popen.kill()
        self.popen.wait()


@define(eq=False)
class System:
    """A platform, hosts and upstreams, each a process on loopback."""

    engines: int = 2
    services: int = 1
    stores: int = 0
    hosts: int = 3
    engine_options: tuple[str, ...] = ()
    host_settings: dict = field(factory=dict)
    extra_rules: str = ""
    folder: Path = field(factory=lambda: Path(tempfile.mkdtemp(prefix="rosemaryyoke-")))
    processes: dict[str, Process] = field(factory=dict)
    peer_ports: dict[str, int] = field(factory=dict)

    def __enter__(self) -> "System":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_) -> None:
        self.stop()

    def start(self) -> None:
        """Start every process and put the rules in force."""
        self.key_file.write_text(SHARED_KEY)
        self.run("platform", "stand-in", "platform", "--name", "platform")
        for number in range(self.engines):
            self.start_engine(f"engine{number}")
        for number in range(self.services):
            name = f"records{number}"
            self.run(name, "stand-in", "service", "--name", name)
        for number in range(self.stores):
            self.run(f"store{number}", "stand-in", "kv-store", "--name", "store")
        self.wait_for("platform")
        self.publish()
        self.peer_ports = {f"host{number}": free_port() for number in range(self.hosts)}
        for number in range(self.hosts):
            self.start_host(f"host{number}")
        for name in self.processes:
            self.wait_for(name)
        self.list_hosts()

    def stop(self) -> None:
        """End every process that was started."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()

    @property
    def key_file(self) -> Path:
        """Return the file with the shared key."""
        return self.folder / "shared-key"

    @property
    def api(self) -> HttpObjectApi:
        """Return the platform's API."""
        return HttpObjectApi(self.processes["platform"].address)

    @property
    def host_names(self) -> list[str]:
        """Return the names of the hosts."""
        return [name for name in self.processes if name.startswith("host")]

    def address(self, name: str) -> str:
        """Return the address of a process."""
        return self.processes[name].address

    def run(self, name: str, *arguments: str, port: int = 0) -> Process:
        """Start a process of the command line."""
        port = port or free_port()
        command = [sys.executable, "-m", "rosemaryyoke", *arguments]
        if "--settings" not in arguments:
            command += ["--port", str(port)]
        log_path = self.folder / f"{name}.log"
        with open(log_path, "ab") as log:
            popen = subprocess.Popen(command, stdout=log, stderr=log)
        process = Process(name, port, popen, list(arguments), log_path)
        self.processes[name] = process
        return process

    def start_engine(self, name: str, port: int = 0) -> Process:
        """Start an engine."""
        options = ("--name", name, *self.engine_options)
        return self.run(name, "stand-in", "engine", *options, port=port)

    def start_host(self, name: str, port: int = 0) -> Process:
        """Start a host."""
        port = port or free_port()
        number = len(self.host_names)
        settings = {
            "name": name,
            "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
            "address": "127.0.0.1",
            "http_port": port,
            "peer_port": self.peer_ports.setdefault(name, free_port()),
            "seed_peers": [f"127.0.0.1:{item}" for item in self.peer_ports.values()],
            "platform": self.address("platform"),
            "shared_key": SHARED_KEY,
            "answer_lifetime_s": 1.0,
            **self.host_settings,
        }
        path = self.folder / f"{name}.yaml"
        if not path.exists():
            path.write_text(yaml.safe_dump(settings))
        return self.run(name, "serve", "--settings", str(path), port=port)

    def restart(self, name: str) -> Process:
        """Start a process again at its address."""
        old = self.processes[name]
        return self.run(name, *old.arguments, port=old.port)

    def wait_for(self, name: str) -> None:
        """Wait until a process answers."""
        process = self.processes[name]
        path = "/readyz" if name.startswith("host") else "/load"
        path = "/control/counts" if name == "platform" else path
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            answer = send(
                HttpRequest("GET", f"http://{process.address}{path}", timeout_s=1.0)
            )
            if answer.is_ok() and answer.ok_value.ok:
                return
            if process.popen.poll() is not None:
                break
            time.sleep(0.02)
        log = (self.folder / f"{name}.log").read_text()[-2000:]
        raise TimeoutError(f"{name} does not answer: {log}")

    def list_upstream(self, name: str, state: str) -> None:
        """Put an upstream on the platform's list in a state."""
        host = {"name": name, "address": self.address(name), "data_centre": "Kamloops"}
        self.control("platform", "hosts", {"hosts": [{**host, "state": state}]})

    def list_hosts(self, **states: str) -> None:
        """Put the hosts on the platform's list, live but for the given states."""
        hosts = []
        for name in self.host_names:
            path = self.folder / f"{name}.yaml"
            settings = yaml.safe_load(path.read_text())
            hosts.append(
                {
                    "name": name,
                    "address": self.address(name),
                    "data_centre": settings["data_centre"],
                    "state": states.get(name, "live"),
                    "peer_address": f"127.0.0.1:{settings['peer_port']}",
                }
            )
        self.control("platform", "hosts", {"hosts": hosts})

    def control(self, name: str, what: str, value: object) -> None:
        """Set a fault or state of a stand-in."""
        url = f"http://{self.address(name)}/control/{what}"
        send(json_request("POST", url, value)).unwrap()

    def ask(self, name: str, path: str) -> dict:
        """Return the JSON that a process answers."""
        return (
            send(HttpRequest("GET", f"http://{self.address(name)}{path}"))
            .unwrap()
            .json()
        )

    def events(self, name: str, kind: str) -> list[dict]:
        """Return a host's events of a kind, oldest first."""
        key = operator_key(SHARED_KEY)
        answer = get_from_host(self.address(name), "/events", key).unwrap()
        return [event for event in answer["events"] if event["kind"] == kind]

    def status(self, name: str) -> dict:
        """Return a host's status."""
        key = operator_key(SHARED_KEY)
        return get_from_host(self.address(name), "/status", key).unwrap()

    def rules_text(self) -> str:
        """Return rules for all upstreams."""
        lines = [
            f"account name={name} key_sha256={digest_key(api_key(name))} # Ana, client"
            for name in ACCOUNTS
        ]
        lines += [
            "model name=m weights=v1 # Ana, first model",
            "route model=m ttft_ms=60000 # Ana, everyone",
            "service name=records unsafe=POST:/ lookup=/outcomes/{key} # Ana, records",
        ]
        for name, process in self.processes.items():
            if name.startswith("engine"):
                lines.append(self._upstream_line(process, "engine", "m"))
            if name.startswith("records"):
                lines.append(self._upstream_line(process, "service", "records"))
            if name.startswith("store"):
                lines.append(self._upstream_line(process, "kv-store", "kv"))
        return "\n".join(lines) + "\n" + self.extra_rules

    def _upstream_line(self, process: Process, kind: str, serves: str) -> str:
        return (
            f"upstream name={process.name} kind={kind} address={process.address} "
            f"data_centre=Kamloops serves={serves} # Ana, new"
        )

    def publish(self, text: str = "") -> Published:
        """Put rules in force."""
        published = publish_rules(self.api, text or self.rules_text())
        if isinstance(published, Err):
            raise RuntimeError(published.err_value.message)
        return published.ok_value

    def client(self, account: str = "cedar", host: str = "") -> Client:
        """Return a caller of an account."""
        seeds = [self.address(name) for name in ([host] if host else self.host_names)]
        return Client(seeds, api_key(account))

    def command(self, *arguments: str, **variables: str) -> subprocess.CompletedProcess:
        """Run a command of the command line to its end."""
        return subprocess.run(
            [sys.executable, "-m", "rosemaryyoke", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            env={**os.environ, **variables},
        )
