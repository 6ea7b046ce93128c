"""Hosts on loopback whose calls to the store can be rejected one host at a time."""

import threading
import time

import orjson
from attrs import define, field

from rosemaryyoke.exchanges.server import ConnectionServer
from rosemaryyoke.hosts.watchers import WATCHERS_KEY
from rosemaryyoke.http1 import Address
from rosemaryyoke.placement.rendezvous import rank
from rosemaryyoke.platform.names import STORE_ERA
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import StoreStandin, stop_server
from rosemaryyoke.platform.tests.deployment import (
    reset_on_close,
    start_host,
    wait_for,
)
from rosemaryyoke.testing.builders import free_port

CUT, SILENT_WATCHES = "cut", "silent watches"
RESETTING, BUSY, LIMITED, LOST = "resetting", "busy", "limited", "lost"
STATUSES = {BUSY: 503, LIMITED: 429}
POLL_S = 0.01
ENGINE, SPARE_ENGINE = "e0", "e1"


@define(eq=False)
class StoreLink:
    """The store at an address for one host, whose calls may be left unanswered.

    ``CUT`` holds all calls, and ``SILENT_WATCHES`` those that wait for changes, as on
    connections that were lost without a reset. ``LOST`` holds all calls for good.
    ``RESETTING`` ends connections, and the others reject calls. ``calls`` counts calls.
    """

    store: StoreStandin
    trouble: str | None = None
    calls: int = 0
    stopped: threading.Event = field(factory=threading.Event)
    address: Address = field(init=False)
    server: ConnectionServer = field(init=False)

    def __attrs_post_init__(self):
        self.address = Address("127.0.0.1", free_port())
        self.server = ConnectionServer(self.address, self.answer, 64, "link")
        self.server.start()

    def answer(self, message, caller):
        """Answer a call, or treat it as the trouble says."""
        self.calls += 1
        if self.reject(message, caller):
            return
        method, target = message.method.decode(), message.target.decode()
        time.sleep(self.store.call_delay_s)
        answer = self.store.call(method, target, message.body)
        if self.reject(message, caller):
            return
        headers = [(STORE_ERA, b"%d" % answer.era)]
        caller.send_response(answer.status, b"", headers, orjson.dumps(answer.value))

    def reject(self, message, caller):
        """Reject a call and return true, or hold it as long as the trouble lasts."""
        waits = b"watch=" in message.target and b"waitMs=0" not in message.target
        if self.trouble == RESETTING:
            reset_on_close(caller.socket)
            raise OSError("connection reset")
        if self.trouble in STATUSES:
            headers = [(STORE_ERA, b"%d" % self.store.era)]
            caller.send_response(STATUSES[self.trouble], b"", headers, b"{}")
            return True
        if self.trouble == CUT or (self.trouble == SILENT_WATCHES and waits):
            while self.trouble:
                time.sleep(POLL_S)
            raise OSError("connection lost")
        if self.trouble == LOST:
            self.stopped.wait()
            raise OSError("connection lost")
        return False

    def stop(self):
        """Stop listening and close the connections."""
        self.trouble = None
        self.stopped.set()
        stop_server(self.server)


@define(eq=False)
class LinkedFleet:
    """A store with two engines, and hosts that reach it over a link each."""

    store: StoreStandin = field(factory=StoreStandin)
    hosts: list = field(factory=list)
    links: list[StoreLink] = field(factory=list)
    stopped: threading.Event = field(factory=threading.Event)

    def start(self, count):
        """Start hosts and wait until all know each other."""
        self.store.set("config", "main", make_configuration(1))
        for name in (ENGINE, SPARE_ENGINE):
            self.set_engine(name, "ready")
        for _ in range(count):
            self.add_host()
        for host in self.hosts:
            wait_for(host.is_ready, 20.0)
            wait_for(lambda: self.ready_peers(host) == count - 1, 20.0)

    def add_host(self, trouble=None):
        """Start a host whose calls to the store meet a trouble from its start on."""
        seeds = [host.settings.peers for host in self.hosts[-3:]]
        link = StoreLink(self.store, trouble)
        host = start_host(link, seeds)
        self.links.append(link)
        self.hosts.append(host)
        return host

    def ready_peers(self, host):
        """Return how many other hosts a host finds alive and ready."""
        peers = host.table.live_peers(time.monotonic())
        return sum(peer.beacon.ready for peer in peers)

    def set_engine(self, name, state):
        """Write the registration of an engine."""
        entry = make_registration("127.0.0.1:9", state=state)
        self.store.set("servers", name, entry)

    def ranked(self):
        """Return the numbers of the hosts, the first choice as a watcher first."""
        names = [host.settings.name for host in self.hosts]
        ordered = rank(WATCHERS_KEY, names, len(names))
        return [names.index(name) for name in ordered]

    def reject(self, numbers, trouble):
        """Let the store reject the given hosts only."""
        for number, link in enumerate(self.links):
            link.trouble = trouble if number in numbers else None

    def freeze(self, numbers):
        """Let hosts stand still: they send nothing and answer no other host."""
        for number in numbers:
            host, link = self.hosts[number], self.links[number]
            link.trouble = LOST
            host.beacons.stop()
            host.kernel.get("peers").handler = lambda message, caller: (
                self.stopped.wait()
            )

    def change(self, version):
        """Write a configuration, and that one engine drains; return the time."""
        self.store.set("config", "main", make_configuration(version))
        self.set_engine(ENGINE, "draining")
        return time.monotonic()

    def wait_in_force(self, version, timeout_s, numbers=None):
        """Wait until hosts act on the configuration and on the engine's leaving."""
        hosts = self.hosts if numbers is None else [self.hosts[i] for i in numbers]

        def late():
            return [
                (
                    host.settings.name,
                    host.catalog.configuration.version,
                    host.catalog.upstreams[ENGINE].draining,
                )
                for host in hosts
                if host.catalog.configuration.version < version
                or not host.catalog.upstreams[ENGINE].draining
            ]

        deadline_s = time.monotonic() + timeout_s
        while late() and time.monotonic() < deadline_s:
            time.sleep(POLL_S)
        assert late() == []

    def wait_returned(self, timeout_s):
        """Wait until all hosts know that the engine does not drain."""
        wait_for(
            lambda: not any(
                host.catalog.upstreams[ENGINE].draining for host in self.hosts
            ),
            timeout_s,
        )

    def calls(self):
        """Return how many calls all hosts have made."""
        return sum(link.calls for link in self.links)

    def stop(self):
        """Stop all parts."""
        self.stopped.set()
        for host in self.hosts:
            host.kernel.stop()
        for part in (*self.links, self.store):
            part.stop()
