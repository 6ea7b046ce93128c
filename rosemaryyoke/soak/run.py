"""Run a soak: callers and faults, the promises checked meanwhile, and a calm end."""

import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from attrs import define, field

from rosemaryyoke.platform.standins.documents import make_route
from rosemaryyoke.platform.standins.simulated_upstreams import (
    encode_request,
    exchange_request,
)
from rosemaryyoke.soak.faults import Series
from rosemaryyoke.soak.ledger import SAFE, STREAM, UNSAFE, Told, now_s
from rosemaryyoke.soak.promises import promises
from rosemaryyoke.soak.scene import HostProcess, Scene
from rosemaryyoke.soak.traffic import DEADLINE_S, KEYS, Traffic

LANES = 3
CALLERS = 8
CHECK_PERIOD_S = 1.0
READY_WAIT_S = 10.0
CALM_S = 4.0  # what hosts may take to believe in all upstreams again
CALM_ROUNDS = 10
CALM_MISSES = 2  # of the requests of the calm end; 90
CONFIGURATION_S = 3.0  # until a configuration is in force
SHOWN = 3  # of the cases that break a promise
MEMORY_BYTES = 160 * 1024 * 1024


@define(eq=False)
class SoakReport:
    """What a soak did, and which promises were broken by what."""

    seed: int
    requests: int = 0
    statuses: dict[str, int] = field(factory=dict)
    faults: dict[str, int] = field(factory=dict)
    orders: int = 0
    broken: dict[str, list[str]] = field(factory=dict)
    folder: str = ""

    def take(self, promise: str, cases: list[str]) -> None:
        """File the cases that break a promise."""
        if cases:
            self.broken[promise] = cases[:SHOWN]


@define(eq=False)
class Soak:
    """One soak of a seed."""

    seed: int
    seconds: float
    scene: Scene
    report: SoakReport
    traffic: Traffic = field(init=False)
    series: Series = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.traffic = Traffic(self.scene, self.seed, CALLERS)
        self.series = Series(self.scene, self.seed, LANES)

    def run(self) -> None:
        """Run it to its end, or to the first broken promise."""
        waiting = self.scene.wait_ready(now_s() + READY_WAIT_S)
        self.report.take("hosts get ready", waiting)
        self.traffic.start()
        self.series.start()
        until_s = now_s() + self.seconds
        while now_s() < until_s and not self.report.broken:
            time.sleep(CHECK_PERIOD_S)
            self.check()
        self.series.stop()
        self.traffic.stop()
        self.end_calmly()
        self.check()
        self.report.take("faults are caused as they should", self.series.errors)

    def check(self) -> None:
        """Check every promise on what is filed until now."""
        ledger = self.scene.ledger.copy()
        for name in promises.names():
            self.report.take(name, promises.get(name)(ledger))
        self.report.take("no part of a host fails", self.scene.faults_in_logs())
        ended = [host.name for host in self.scene.hosts if host.ended_itself]
        self.report.take("no host ends by itself", ended)

    def end_calmly(self) -> None:
        """Heal all, and look whether all is well again."""
        self.scene.heal()
        waiting = self.scene.wait_ready(now_s() + READY_WAIT_S)
        self.report.take("hosts are ready again", waiting)
        time.sleep(CALM_S)
        self.report.take("calm requests are served", self.calm_misses())
        self.report.take("a configuration gets in force", self.hosts_behind())
        self.report.take("hosts keep their memory bounded", self.hosts_too_large())
        bad = [f"{name}: exit code {code}" for name, code in self.exit_codes() if code]
        self.report.take("a host that is asked to stop ends well", bad)

    def calm_misses(self) -> list[str]:
        """Return the requests that were not served, if they are too many."""
        with ThreadPoolExecutor(len(self.scene.hosts)) as pool:
            told = [
                item
                for of in pool.map(self.ask_in_turn, self.scene.hosts)
                for item in of
            ]
        missed = [f"{item}" for item in told if item.status != 200 or not item.complete]
        return missed if len(missed) > CALM_MISSES else []

    def ask_in_turn(self, host: HostProcess) -> list[Told]:
        """Ask a host for everything, for each account in turn."""
        accounts = list(KEYS)
        return [
            self.traffic.ask(host, kind, accounts[number % len(accounts)])
            for number in range(CALM_ROUNDS)
            for kind in (STREAM, UNSAFE, SAFE)
        ]

    def hosts_behind(self) -> list[str]:
        """Return the hosts that do not know a new route in time."""
        name = "late-route"
        self.scene.publish((make_route(name),))
        time.sleep(CONFIGURATION_S)
        return [host.name for host in self.scene.hosts if not self.knows(host, name)]

    def knows(self, host, route: str) -> bool:
        """Tell whether a host serves a route."""
        request = f"{STREAM}-{route}-{host.name}"
        path, key = f"/{route}/1", KEYS["t1"]
        data = encode_request(request, path, "POST", key, DEADLINE_S, True)
        answer = exchange_request(host.callers.address, data, DEADLINE_S)
        return answer.is_ok() and answer.ok_value.status != 404

    def exit_codes(self) -> list[tuple[str, int]]:
        """Ask every host to stop, and return the codes with which they end."""
        hosts = self.scene.hosts
        with ThreadPoolExecutor(len(hosts)) as pool:
            codes = pool.map(lambda host: host.end(signal.SIGTERM), hosts)
            return [(host.name, code) for host, code in zip(hosts, codes)]

    def hosts_too_large(self) -> list[str]:
        """Return the hosts that hold too much memory."""
        sizes = {host.name: resident_bytes(host.popen.pid) for host in self.scene.hosts}
        return [
            f"{name}: {size}" for name, size in sizes.items() if size > MEMORY_BYTES
        ]


def resident_bytes(pid: int) -> int:
    """Return how much memory a process of ours holds."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        lines = [line.split() for line in status if line.startswith("VmRSS")]
    return int(lines[0][1]) * 1024 if lines else 0


def run_soak(seed: int, seconds: float) -> SoakReport:
    """Run a soak and return its report."""
    report = SoakReport(seed)
    with Scene() as scene:
        report.folder = str(scene.folder)
        soak = Soak(seed, seconds, scene, report)
        soak.run()
        told = list(scene.ledger.told.values())
        report.requests = len(told)
        report.statuses = dict(Counter(f"{t.kind} {t.status}" for t in told))
        report.faults = dict(Counter(name for _, _, name in soak.series.caused))
        report.orders = len(scene.ledger.orders)
    return report
