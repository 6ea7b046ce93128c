"""The quotas of a running host: threads, datagrams and configuration."""

import random
import threading
import time
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.catalog import Catalog, ClientAccount, Quota
from rosemaryyoke.core import Metrics
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.hosts.beacons import BeaconService
from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects.eras import boot_time_s
from rosemaryyoke.quotas.bucket import QuotaBounds
from rosemaryyoke.quotas.departures import Departures, refuses_connections
from rosemaryyoke.quotas.messages import ANSWER, ASK, LOAN_REPLY, LOAN_REQUEST
from rosemaryyoke.quotas.node import (
    ADMITTED,
    OVER_QUOTA,
    Decision,
    PendingRequest,
    QuotaNode,
)

TICK_S = 0.1
MEMBERS_PERIOD_S = 0.3  # as often as beacons
FORGET_PERIOD_S = 5.0
PROBE_PERIOD_S = 2.0  # of hosts that are silent
BOOT_BITS = 62  # of the number that tells one process of a host from the next
LOGGED_DENIALS_PER_S = 5  # and as many of requests without a granting host
RESULT_COUNTERS = {ADMITTED: "quota_granted_total", OVER_QUOTA: "quota_denied_total"}


@define
class EventLimit:
    """Bounds the volume of a log event, and counts what is left out."""

    second: int = 0
    logged: int = 0
    left_out: int = 0

    def admit(self, now_s: float) -> int | None:
        """Return how many were left out before this one; ``None`` to leave it out."""
        if int(now_s) != self.second:
            self.second, self.logged = int(now_s), 0
        if self.logged >= LOGGED_DENIALS_PER_S:
            self.left_out += 1
            return None
        self.logged += 1
        left_out, self.left_out = self.left_out, 0
        return left_out


@define(eq=False)
class QuotaService:
    """Decides whether requests are within the quotas of their accounts.

    Nothing runs and nothing is sent while no account has a quota.
    """

    host: str
    table: HostTable
    beacons: BeaconService
    catalog: Catalog
    metrics: Metrics
    bounds: QuotaBounds = QuotaBounds()
    has_seeds: bool = False
    now_s: Callable[[], float] = boot_time_s
    node: QuotaNode = field(init=False)
    lock: threading.Lock = field(factory=threading.Lock)
    addresses: dict[str, Address] = field(factory=dict)
    ips: frozenset[str] = frozenset()  # of live hosts
    version: int = -1
    is_used: bool = False
    members_s: float = 0.0
    forgotten_s: float = 0.0
    departures: Departures = field(factory=Departures)
    stopping: threading.Event = field(factory=threading.Event)
    denials: EventLimit = field(factory=EventLimit)
    failures: EventLimit = field(factory=EventLimit)

    def __attrs_post_init__(self) -> None:
        self.node = QuotaNode(
            self.host,
            random.getrandbits(BOOT_BITS),
            self.now_s(),
            self.send,
            self.bounds,
            self.has_seeds,
            self.metrics.count,
        )
        for kind in (LOAN_REQUEST, LOAN_REPLY, ASK, ANSWER):
            self.beacons.addressed_handlers[kind] = self.make_handler(kind)
        self.catalog.subscribe(self.apply_configuration)

    def start(self) -> None:
        """Start the threads that renew leases and look for hosts that have ended."""
        threading.Thread(target=self.run, name="quotas", daemon=True).start()
        threading.Thread(target=self.run_probes, name="probes", daemon=True).start()

    def stop(self) -> None:
        """Signal the threads to end."""
        self.stopping.set()

    def run(self) -> None:
        """Renew leases until stopped."""
        while not self.stopping.wait(TICK_S):
            try:
                self.tick()
            except Exception:
                logging.exception("renewing the leases of quotas failed")

    def run_probes(self) -> None:
        """Look for hosts that have ended until stopped."""
        while not self.stopping.wait(PROBE_PERIOD_S):
            try:
                if self.is_used:
                    self.probe_silent_hosts()
            except Exception:
                logging.exception("probing silent hosts failed")

    def probe_silent_hosts(self) -> None:
        """Forget silent hosts whose machines run no process of them any more."""
        with self.lock:
            members = self.node.members
            silent = members.names - members.live - {self.host}
            addresses = {
                name: address
                for name, address in self.addresses.items()
                if name in silent
            }
        self.departures.keep_only(silent)
        for name, address in addresses.items():
            refused = refuses_connections(address)
            if self.departures.record(name, refused, self.now_s()):
                log_event("quota lender forgotten", host=name)
                with self.lock:
                    self.node.members.forget(name)

    def tick(self) -> None:
        """Update the known hosts and renew the leases."""
        self.apply_configuration()
        now_s = self.now_s()
        with self.lock:
            if now_s - self.members_s >= MEMBERS_PERIOD_S:
                self.members_s = now_s
                self.update_members(now_s)
            if not self.is_used:
                return
            self.node.tick(self.now_s())
            if now_s - self.forgotten_s >= FORGET_PERIOD_S:
                self.forgotten_s = now_s
                self.node.granting.forget_idle(now_s)

    def update_members(self, now_s: float) -> None:
        """Hand the node the hosts that are heard now."""
        beacons = [peer.beacon for peer in self.table.live_peers(time.monotonic())]
        live = {beacon.host: beacon.peer_address for beacon in beacons}
        owners = {address: name for name, address in live.items()}
        replaced = [
            name
            for name, address in self.addresses.items()
            if name not in live and address in owners
        ]
        leaving = [beacon.host for beacon in beacons if beacon.leaving]
        self.node.members.update(live, now_s, leaving, replaced)
        self.ips = frozenset(address.ip for address in live.values())
        known = self.node.members.names
        self.addresses = {
            name: address
            for name, address in {**self.addresses, **live}.items()
            if name in known
        }

    def apply_configuration(self) -> None:
        """Apply the quotas of the active configuration if it has changed."""
        configuration = self.catalog.configuration
        if configuration is None or configuration.version == self.version:
            return
        quotas: dict[str, Quota] = {
            account.name: account.quota
            for account in configuration.accounts
            if account.quota is not None
        }
        with self.lock:
            self.version = configuration.version
            if quotas and not self.is_used:
                self.update_members(self.now_s())
            self.is_used = bool(quotas)
            self.node.configure(quotas, configuration.version, self.now_s())

    def leave(self) -> None:
        """Give up the granting roles, as this host shuts down."""
        with self.lock:
            self.node.leave(self.now_s())

    def check(
        self,
        request_id: str,
        account: ClientAccount,
        version: int,
        counted_tokens: int | None,
    ) -> PendingRequest:
        """Ask for the cost of a request; return it with its decision."""
        quota = account.quota
        cost = quota.cost(counted_tokens)
        decided = threading.Event()
        with self.lock:
            now_s = self.now_s()
            request = self.node.request(account.name, quota, version, cost, now_s)
            request.on_decision = decided.set
        while request.decision is None:
            decided.wait(max(0.0, request.next_s - self.now_s()))
            with self.lock:
                self.node.poll(request, self.now_s())
        self.record(request_id, request, quota)
        return request

    def record(self, request_id: str, request: PendingRequest, quota: Quota) -> None:
        """Count a decision, and log it if the request is refused."""
        decision, ask = request.decision, request.ask
        now_s = self.now_s()
        name = RESULT_COUNTERS.get(decision.result, "quota_unavailable_total")
        self.metrics.count(name)
        if request.target:
            self.metrics.observe("quota_wait_seconds", now_s - request.began_s)
        if decision.result == ADMITTED:
            return
        is_denied = decision.result == OVER_QUOTA
        left_out = (self.denials if is_denied else self.failures).admit(now_s)
        if left_out is None:
            return
        log_event(
            "quota exceeded" if is_denied else "quota unavailable",
            request=request_id,
            account=ask.account,
            cost=ask.cost,
            rate_per_s=quota.rate_per_s,
            burst=quota.burst,
            shard=request.shard,
            left_out=left_out,
            **describe(decision),
            hosts_known=len(self.node.members.names),
            hosts_heard=len(self.node.members.live) + 1,
        )

    def give_back(self, request: PendingRequest) -> None:
        """Return the grant of a request that has not run and never will."""
        with self.lock:
            self.node.give_back(request, self.now_s())

    def make_handler(self, kind: bytes) -> Callable[[bytes, str], None]:
        """Return the handler of a kind of datagrams."""

        def handle(data: bytes, ip: str) -> None:
            if ip not in self.ips and ip not in self.table.known_ips():
                self.metrics.count("quota_datagrams_ignored_total")
                return
            with self.lock:
                self.node.receive(kind, data, self.now_s())

        return handle

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram to a host at once; a request may wait for it."""
        address = self.addresses.get(host)
        if address is None:
            address = self.find_address(host)
        if address is not None and self.beacons.udp_socket is not None:
            self.beacons.send_datagram(address, data)

    def find_address(self, host: str) -> Address | None:
        """Return the address of a host that was heard since the last update."""
        with self.table.lock:
            peer = self.table.peers.get(host)
            return None if peer is None else peer.beacon.peer_address

    def roles_held(self) -> int:
        """Return the number of shards for which this host grants."""
        now_s = self.now_s()
        with self.lock:
            return sum(claim.is_held(now_s) for claim in self.node.claims.values())


def describe(decision: Decision) -> dict[str, object]:
    """Return the fields of a decision to log."""
    return {
        "level": decision.level,
        "granting_host": decision.granter or None,
        "retry_after_s": round(decision.wait_s, 3),
        "answered_here": decision.is_local,
    }
