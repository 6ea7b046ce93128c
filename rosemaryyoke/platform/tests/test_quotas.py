"""Quotas of client accounts on real hosts."""

import itertools
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from attrs import define, field, frozen

from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.cut_hosts import RESETTING, STREAMING, CutFleet
from rosemaryyoke.platform.tests.deployment import script_all, start_host, wait_for
from rosemaryyoke.quotas.leases import shard_of

WINDOW_S = 2.0
COST = 1620  # of a request with the headers of ``stream_headers``
RATE = 16_200.0  # ten requests a second
BOUNDS = {"quotaWindowS": WINDOW_S, "quotaOverage": 0.1, "quotaSlack": 2 * COST}


def make_tenants(rate=RATE, **changes):
    """Return two accounts of which the first has a quota."""
    limit = {"ratePerS": rate, "burst": rate, "unit": "tokens", "uncachedTokens": 100}
    return [
        {"name": "t1", "apiKeys": ["k1"], **limit, **changes},
        {"name": "t2", "apiKeys": ["k2"]},
    ]


@frozen
class Run:
    """When a client sent a request, and when it arrived at the engine that ran it."""

    sent_s: float
    arrived_s: float


@define(eq=False)
class RecordingEngine(EngineStandin):
    """An engine that records the requests that it runs."""

    runs: list[Run] = field(kw_only=True)
    sent_s: dict[bytes, float] = field(kw_only=True)

    def run(self, message, caller, status=200, events=None, finish=True):
        """Record and run a request."""
        request = find_header(message.headers, b"request-id")
        self.runs.append(Run(self.sent_s[request], time.monotonic()))
        EngineStandin.run(self, message, caller, status, events, finish)


@define(eq=False)
class QuotaFleet:
    """Hosts, the upstreams behind them and what these ran.

    ``sent_s`` is when each request was sent, by its identifier.
    """

    store: StoreStandin = field(factory=StoreStandin)
    engines: list = field(factory=list)
    hosts: list = field(factory=list)
    runs: list[Run] = field(factory=list)
    sent_s: dict[bytes, float] = field(factory=dict)
    numbers: itertools.count = field(factory=itertools.count)
    version: int = 1

    def start(self, hosts, **tenant):
        """Start the upstreams and hosts, and wait until these grant."""
        self.configure(**tenant)
        for number in range(2):
            engine = RecordingEngine(f"e{number}", runs=self.runs, sent_s=self.sent_s)
            entry = make_registration(str(engine.address))
            self.store.set("servers", engine.name, entry)
            self.engines.append(engine)
        for _ in range(hosts):
            seeds = [host.settings.peers for host in self.hosts]
            self.hosts.append(start_host(self.store, seeds, BOUNDS))
        for host in self.hosts:
            wait_for(host.is_ready)
            wait_for(lambda: len(host.table.live_peers(time.monotonic())) == hosts - 1)
        wait_for(self.granting_host)

    def configure(self, **tenant):
        """Set the configuration with another quota of the first account."""
        value = make_configuration(self.version, tenants=make_tenants(**tenant))
        self.store.set("config", "main", value)
        self.version += 1

    def granting_host(self):
        """Return the host that grants, if there is one."""
        granting = [host for host in self.hosts if host.quotas.roles_held()]
        return granting[0] if granting else None

    def whole_holder(self):
        """Return the host that is lent the account's whole quota, if there is one."""
        for host in self.hosts:
            with host.quotas.lock:
                now_s = host.quotas.now_s()
                claim = host.quotas.node.claims.get(shard_of("t1"))
                lenders = 0 if claim is None else claim.lenders * claim.share(now_s)
                if lenders == len(self.hosts):
                    return host
        return None

    def kill(self, host):
        """End a host without a farewell."""
        host.beacons.stop()
        host.quotas.stop()
        host.beacons.udp_socket.close()
        host.kernel.stop()
        self.hosts.remove(host)

    def send(self, number, key="k1"):
        """Send a request to a host; return the answer."""
        host = self.hosts[number % len(self.hosts)]
        parts = f"first{number}:100,last{number}:100"
        self.sent_s[b"r%d" % number] = time.monotonic()
        reader = send_client_request(
            host.settings.callers,
            headers=stream_headers(parts),
            **{"Request-Id": f"r{number}", "Authorization": f"Bearer {key}"},
        )
        return reader.responses[0]

    def send_steadily(self, per_s, seconds, key="k1"):
        """Send requests at a rate to all hosts; return the answers."""
        with ThreadPoolExecutor(16) as clients:
            futures = []
            for _ in range(round(per_s * seconds)):
                futures.append(clients.submit(self.send, next(self.numbers), key))
                time.sleep(1 / per_s)
            return [future.result() for future in futures]

    def most_in_window(self, since_s=0.0):
        """Return the highest cost that was both sent and run within a window."""
        runs = [run for run in self.runs if run.arrived_s >= since_s]
        counts = [
            sum(
                first.sent_s <= run.sent_s and run.arrived_s < first.sent_s + WINDOW_S
                for run in runs
            )
            for first in runs
        ]
        return COST * max(counts, default=0)

    def runs_within(self, duration_s):
        """Return how many requests ran within a time from the first run on."""
        times = sorted(run.arrived_s for run in self.runs)
        return sum(at_s < times[0] + duration_s for at_s in times)

    def stop(self):
        """Stop all parts."""
        for host in self.hosts:
            host.kernel.stop()
        for part in (self.store, *self.engines):
            part.stop()


def allowed(rate=RATE):
    """Return the highest cost that may run within a window."""
    return (rate * WINDOW_S + rate) * 1.1 + 2 * COST


def statuses(answers):
    """Return how many answers have each status."""
    found = [answer.status for answer in answers]
    return {status: found.count(status) for status in set(found)}


@pytest.fixture()
def start():
    """Return a function that starts a fleet."""
    fleets = []

    def start_fleet(hosts=3, **tenant):
        fleets.append(QuotaFleet())
        fleets[-1].start(hosts, **tenant)
        return fleets[-1]

    yield start_fleet
    for fleet in fleets:
        fleet.stop()


# Guards against hosts that together admit more than the quota, and against refusals
# that reach an upstream or don't say when to come back.
@pytest.mark.parametrize("hosts", [1, 3])
def test_account_over_its_quota(start, hosts):
    fleet = start(hosts)
    time.sleep(1.0)  # fills the bucket
    windows = 2
    answers = fleet.send_steadily(30, windows * WINDOW_S)
    found = statuses(answers)
    assert set(found) == {200, 429}
    assert len(fleet.runs) == found[200]
    assert fleet.most_in_window() <= allowed()
    most = windows * allowed() / COST
    # Sending takes a little longer than the windows.
    assert 0.85 * most <= fleet.runs_within(windows * WINDOW_S) <= most
    for answer in answers:
        if answer.status == 429:
            wait_s = float(find_header(answer.headers, b"retry-after"))
            assert 0 < wait_s <= 3.0
            assert b"quota_exceeded" in answer.body


# Guards against refusals of an account that stays within its quota, or has none.
def test_accounts_within_their_quota(start):
    fleet = start()
    time.sleep(1.0)
    assert statuses(fleet.send_steadily(5, 3.0)) == {200: 15}
    assert statuses(fleet.send_steadily(40, 1.0, key="k2")) == {200: 40}
    granted = sum(host.metrics.value("quota_granted_total") for host in fleet.hosts)
    assert granted == 15


# Guards against a role that stays with a host that has died, or is held by two.
def test_granting_host_killed(start):
    fleet = start()
    time.sleep(1.0)
    fleet.send_steadily(15, 1.0)
    fleet.kill(fleet.granting_host())
    killed_s = time.monotonic()
    during = fleet.send_steadily(15, 2.5)
    assert set(statuses(during)) <= {200, 429, 503}
    assert time.monotonic() - killed_s < 5.0
    after = statuses(fleet.send_steadily(15, 2.0))
    assert set(after) <= {200, 429}
    assert after[200] >= 10
    assert sum(bool(host.quotas.roles_held()) for host in fleet.hosts) == 1
    assert fleet.most_in_window() <= allowed()


# Guards against refusals while a host that grants shuts down in an orderly way.
def test_granting_host_shuts_down(start):
    fleet = start()
    time.sleep(1.0)
    leaving = fleet.granting_host()
    stopped = threading.Thread(target=leaving.shut_down)
    stopped.start()
    fleet.hosts.remove(leaving)
    answers = fleet.send_steadily(4, 4.0)
    stopped.join()
    leaving.kernel.stop()
    assert statuses(answers) == {200: 16}
    assert fleet.granting_host() is not None


# Guards against a lowered quota that is not applied by the granting host.
def test_lowered_quota(start):
    fleet = start()
    time.sleep(1.0)
    fleet.configure(rate=RATE / 5)
    version = fleet.version - 1
    for host in fleet.hosts:
        wait_for(lambda: host.catalog.configuration.version == version)
    time.sleep(0.3)
    since_s = time.monotonic()
    fleet.send_steadily(20, 4.0)
    assert fleet.most_in_window(since_s) <= allowed(RATE / 5)
    fleet.configure(rate=0)
    version = fleet.version - 1
    for host in fleet.hosts:
        wait_for(lambda: host.catalog.configuration.version == version)
    assert statuses(fleet.send_steadily(30, 1.0)) == {200: 30}


# Guards against quotas that end, or refuse everything, while the store is away.
def test_store_away(start):
    fleet = start()
    time.sleep(1.0)
    fleet.store.down = True
    wait_for(lambda: not any(host.catalog.is_fresh() for host in fleet.hosts))
    found = statuses(fleet.send_steadily(30, 3.0))
    assert set(found) == {200, 429}
    assert fleet.most_in_window() <= allowed()


# Guards against an account that pays for requests which no upstream took.
def test_unused_grants_are_returned(start):
    fleet = start(2, burst=4 * COST, rate=COST / 10)
    # A host lends its share only when it has run for a second.
    holder = wait_for(fleet.whole_holder)

    def level():
        with holder.quotas.lock:
            buckets = holder.quotas.node.granting.buckets
            return buckets["t1"].level if buckets else 0.0

    with holder.quotas.lock:
        for claim in holder.quotas.node.claims.values():
            claim.grown_s -= 100.0  # as if it had been granting for long
    assert fleet.send(0).status == 200
    before = level()
    assert before >= 2.9 * COST
    for engine in fleet.engines:
        script_all([engine], *[503] * 50)
    for number in range(1, 7):
        assert fleet.send(number).status == 503
    wait_for(lambda: level() >= before)
    returned = sum(host.metrics.value("quota_returned_total") for host in fleet.hosts)
    assert returned == 6


# Guards against requests that arrive together and ask one after the other.
def test_requests_that_arrive_together(start):
    fleet = start(2)
    time.sleep(1.2)
    barrier = threading.Barrier(8)

    def send(number):
        barrier.wait()
        return fleet.send(number)

    with ThreadPoolExecutor(8) as clients:
        answers = list(clients.map(send, range(8)))
    assert statuses(answers) == {200: 8}


# Guards against an account that pays at both hosts of a forwarded request.
def test_forwarded_request_is_charged_once():
    fleet = CutFleet()
    try:
        fleet.start(2)
        tenants = make_tenants()
        fleet.store.set("config", "main", make_configuration(2, tenants=tenants))
        for host in fleet.hosts:
            wait_for(lambda: host.catalog.configuration.version == 2)
        wait_for(lambda: any(host.quotas.roles_held() for host in fleet.hosts))
        time.sleep(1.0)
        fleet.cut(0, mode=RESETTING)
        assert fleet.served(0, STREAMING, 5) >= 4
        forwarded = fleet.hosts[0].metrics.value("requests_forwarded_total")
        assert forwarded >= 4
        charged = [host.metrics.value("quota_granted_total") for host in fleet.hosts]
        assert charged == [5, 0]
    finally:
        fleet.stop()
