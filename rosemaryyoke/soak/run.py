"""Run a soak: load and faults with invariant checks, then a recovery check."""

import signal
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from attrs import define, field

from rosemaryyoke.platform.standins.documents import make_route
from rosemaryyoke.platform.standins.simulated_upstreams import Client
from rosemaryyoke.soak.configurations import make_soak_configuration
from rosemaryyoke.soak.faults import Fault
from rosemaryyoke.soak.history import SAFE, STREAM, UNSAFE, CallResult, now_s
from rosemaryyoke.soak.injector import ALL, FaultInjector, select_faults
from rosemaryyoke.soak.invariants import invariants
from rosemaryyoke.soak.planned_work import planned_work
from rosemaryyoke.soak.testbed import HostProcess, Testbed
from rosemaryyoke.soak.traffic import API_KEYS, Traffic, request_route

FAULT_WORKERS = 3
PLANNED_WORKERS = 6  # while nothing but planned work is selected
CALLERS = 16
CHECK_PERIOD_S = 1.0
READY_WAIT_S = 10.0
RECOVERY_S = 4.0  # time for hosts to consider all upstreams healthy again
FINAL_ROUNDS = 10
MAX_FINAL_FAILURES = 2  # of the 90 requests sent after recovery
CONFIGURATION_WAIT_S = 3.0  # time for a configuration to take effect
HTTP_NOT_FOUND = 404
MAX_CASES_SHOWN = 3  # violations listed per invariant
CALLS_FILE = "calls.jsonl"  # beside the hosts' logs
MEMORY_BYTES = 160 * 1024 * 1024


@define(eq=False)
class SoakReport:
    """The counts of a soak and the violations found, by invariant."""

    seed: int
    requests: int = 0
    statuses: dict[str, int] = field(factory=dict)
    faults: dict[str, int] = field(factory=dict)
    orders: int = 0
    endings: dict[str, int] = field(factory=dict)
    broken: dict[str, list[str]] = field(factory=dict)
    violations: dict[str, int] = field(factory=dict)
    folder: str = ""

    def add_violations(self, invariant: str, cases: list[str]) -> None:
        """Record the cases that violate an invariant."""
        if cases:
            self.broken[invariant] = cases[:MAX_CASES_SHOWN]
            self.violations[invariant] = len(cases)


@define(eq=False)
class Soak:
    """One soak with a given seed."""

    seed: int
    seconds: float
    testbed: Testbed
    report: SoakReport
    selected: dict[str, Fault]
    keep_going: bool = False
    traffic: Traffic = field(init=False)
    injector: FaultInjector = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.traffic = Traffic(self.testbed, self.seed, CALLERS)
        planned_only = self.selected.keys() <= planned_work.entries.keys()
        workers = PLANNED_WORKERS if planned_only else FAULT_WORKERS
        self.injector = FaultInjector(self.testbed, self.seed, workers, self.selected)

    def run(self) -> None:
        """Run to the end, or stop at the first violation unless told to keep going."""
        waiting = self.testbed.wait_ready(now_s() + READY_WAIT_S)
        self.report.add_violations("hosts become ready", waiting)
        self.traffic.start()
        self.injector.start()
        until_s = now_s() + self.seconds
        while now_s() < until_s and (self.keep_going or not self.report.broken):
            time.sleep(CHECK_PERIOD_S)
            self.check()
        self.injector.stop()
        self.traffic.stop()
        self.check_recovery()
        self.check()
        self.report.add_violations(
            "faults are injected without errors", self.injector.errors
        )

    def check(self) -> None:
        """Check every invariant on the history so far."""
        history = self.testbed.history.copy()
        for name in invariants.names():
            self.report.add_violations(name, invariants.get(name)(history))
        self.report.add_violations(
            "no host logs an internal error", self.testbed.errors_in_logs()
        )
        ended = [host.name for host in self.testbed.hosts if host.exited_unexpectedly]
        self.report.add_violations("no host exits unexpectedly", ended)

    def check_recovery(self) -> None:
        """Clear all faults and check that the hosts recover and stop cleanly."""
        self.testbed.heal()
        waiting = self.testbed.wait_ready(now_s() + READY_WAIT_S)
        self.report.add_violations("hosts are ready again", waiting)
        time.sleep(RECOVERY_S)
        self.report.add_violations(
            "requests after recovery are served", self.final_failures()
        )
        self.report.add_violations(
            "a new configuration takes effect", self.hosts_without_new_route()
        )
        self.report.add_violations(
            "host memory stays within its limit", self.hosts_over_memory_limit()
        )
        nonzero_exits = [
            f"{name}: exit code {code}" for name, code in self.exit_codes() if code
        ]
        self.report.add_violations("hosts exit with code 0 on SIGTERM", nonzero_exits)

    def final_failures(self) -> list[str]:
        """Return the requests that failed, if more failed than allowed."""
        with ThreadPoolExecutor(len(self.testbed.hosts)) as pool:
            calls = [
                item
                for results in pool.map(self.request_each_kind, self.testbed.hosts)
                for item in results
            ]
        failed = [
            f"{item}" for item in calls if item.status != 200 or not item.complete
        ]
        return failed if len(failed) > MAX_FINAL_FAILURES else []

    def request_each_kind(self, host: HostProcess) -> list[CallResult]:
        """Send requests of every kind to a host, alternating the accounts."""
        accounts, client = list(API_KEYS), Client(host.caller_link.address)
        calls = [
            self.traffic.request_once(
                host, kind, accounts[number % len(accounts)], client
            )
            for number in range(FINAL_ROUNDS)
            for kind in (STREAM, UNSAFE, SAFE)
        ]
        client.close()
        return calls

    def hosts_without_new_route(self) -> list[str]:
        """Return the hosts that do not serve a new route in time."""
        name = "late-route"
        document = make_soak_configuration()
        document["routes"].append(make_route(name))
        self.testbed.publish(document)
        time.sleep(CONFIGURATION_WAIT_S)
        return [
            host.name
            for host in self.testbed.hosts
            if request_route(host, name) in (None, HTTP_NOT_FOUND)
        ]

    def exit_codes(self) -> list[tuple[str, int]]:
        """Send SIGTERM to every host and return their exit codes."""
        hosts = self.testbed.hosts
        with ThreadPoolExecutor(len(hosts)) as pool:
            codes = pool.map(lambda host: host.end(signal.SIGTERM), hosts)
            return [(host.name, code) for host, code in zip(hosts, codes)]

    def hosts_over_memory_limit(self) -> list[str]:
        """Return the hosts whose resident memory exceeds the limit."""
        sizes = {
            host.name: resident_bytes(host.popen.pid) for host in self.testbed.hosts
        }
        return [
            f"{name}: {size}" for name, size in sizes.items() if size > MEMORY_BYTES
        ]


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        lines = [line.split() for line in status if line.startswith("VmRSS")]
    return int(lines[0][1]) * 1024 if lines else 0


def run_soak(
    seed: int, seconds: float, selection: str = ALL, keep_going: bool = False
) -> SoakReport:
    """Run a soak with the selected faults and return its report.

    Raise ``LookupError`` if the selection names an unknown fault.
    """
    report, selected = SoakReport(seed), select_faults(selection)
    with Testbed() as testbed:
        report.folder = str(testbed.folder)
        soak = Soak(seed, seconds, testbed, report, selected, keep_going)
        soak.run()
        testbed.history.save_calls(testbed.folder / CALLS_FILE)
        calls = list(testbed.history.calls.values())
        report.requests = len(calls)
        report.statuses = dict(Counter(f"{t.kind} {t.status}" for t in calls))
        report.endings = dict(Counter(f"{t.kind} {t.ending}" for t in calls))
        report.faults = dict(soak.injector.injected)
        report.orders = len(testbed.history.orders)
    return report
