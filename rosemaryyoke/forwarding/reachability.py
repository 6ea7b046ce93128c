"""Which services this host reaches no upstream of.

A connection that cannot be opened says little: that upstream may have crashed. If no
other upstream of the service accepts one either, and none has answered meanwhile, the
host is cut off from the service, or all upstreams of the service are gone. Which of
both holds is for the other hosts to tell.
"""

import random
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor, as_completed
from typing import Callable

from attrs import define, field

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.core.pools import make_pool
from rosemaryyoke.exchanges.connections import ConnectionPool
from rosemaryyoke.fleet import Fleet, UpstreamState, service_key
from rosemaryyoke.http1.sockets import close, wait_readable

CHECK_TIMEOUT_S = 0.25
CHECKED_UPSTREAMS = 5  # per check of a service
CHECK_WORKERS = 16
RECENT_CONTACT_S = 0.3  # the time that a connection attempt takes to fail
SETTLED_S = 0.02  # longer than the reset of a connection takes to arrive
MS_PER_S = 1_000


@define(eq=False)
class Reachability:
    """Checks whether a host can connect to the upstreams of each service.

    ``unreachable`` maps services to when they were found so. ``on_change`` is called
    whenever that changes.
    """

    fleet: Fleet
    pool: ConnectionPool
    on_change: Callable[[], None] = lambda: None
    unreachable: dict[str, float] = field(factory=dict)
    checks: dict[str, Future] = field(factory=dict)
    checks_all: bool = False
    lock: threading.Lock = field(factory=threading.Lock)
    executor: ThreadPoolExecutor = field(
        factory=lambda: make_pool("reachability", CHECK_WORKERS)
    )
    now_s: Callable[[], float] = time.monotonic

    def is_unreachable(self, service: str) -> bool:
        """Return whether this host reaches no upstream of a service."""
        return service in self.unreachable

    def unreachable_keys(self) -> frozenset[int]:
        """Return the keys of the services that this host does not reach."""
        with self.lock:
            return frozenset(service_key(name) for name in self.unreachable)

    def is_cut_off(self) -> bool:
        """Return whether this host reaches no upstream of any service."""
        services = self.services()
        return bool(services) and services <= self.unreachable.keys()

    def services(self) -> set[str]:
        """Return the services that have upstreams."""
        with self.fleet.lock:
            return {state.upstream.service for state in self.fleet.states.values()}

    def check_after_failure(self, service: str) -> None:
        """Check a service after an attempt at one of its upstreams made no contact.

        A recent answer shows that the service is reachable.
        """
        since_s = self.now_s() - RECENT_CONTACT_S
        if service not in self.unreachable and not self.has_responded(service, since_s):
            self.check(service)

    def confirms_contact(self, upstream: Upstream, since_s: float) -> bool:
        """Return whether other upstreams of a service were reached since a moment.

        If none is, the loss of a connection says nothing about its upstream. A service
        with no other upstream can't tell.
        """
        with self.fleet.lock:
            states = [
                state
                for state in self.fleet.states_of_service(upstream.service)
                if state.upstream.name != upstream.name and not state.draining
            ]
        if not states or self.any_responded(states, since_s):
            return True
        chosen = random.sample(states, min(CHECKED_UPSTREAMS, len(states)))
        return self.any_accepts([state.upstream for state in chosen])

    def has_responded(self, service: str, since_s: float) -> bool:
        """Return whether an upstream of a service has answered since a moment."""
        with self.fleet.lock:
            states = self.fleet.states_of_service(service)
        return self.any_responded(states, since_s)

    def any_responded(self, states: list[UpstreamState], since_s: float) -> bool:
        """Return whether one of some upstreams has answered since a moment.

        An accepted connection is no sign: it may be reset by what lies between.
        """
        return any(state.last_byte_s >= since_s for state in states)

    def tick(self) -> None:
        """Check the unreachable services, and after a change once all others."""
        with self.lock:
            due, checks_all = set(self.unreachable), self.checks_all
            self.checks_all = False
        for service in due | (self.services() if checks_all else set()):
            self.check(service)

    def check(self, service: str) -> None:
        """Connect to upstreams of a service, and record whether one accepts.

        Callers that come meanwhile wait for the check under way.
        """
        with self.lock:
            under_way = self.checks.get(service)
            if under_way is None:
                done = self.checks[service] = Future()
        if under_way is not None:
            under_way.result()
            return
        try:
            self.record(service, self.accepts_connection(service))
        finally:
            with self.lock:
                del self.checks[service]
            done.set_result(None)

    def accepts_connection(self, service: str) -> bool:
        """Return whether one of some upstreams accepts a connection.

        A service without upstreams counts as reachable: nothing could be forwarded.
        """
        with self.fleet.lock:
            states = self.fleet.states_of_service(service)
            upstreams = [item.upstream for item in states if not item.draining]
            upstreams = upstreams or [item.upstream for item in states]
        chosen = random.sample(upstreams, min(CHECKED_UPSTREAMS, len(upstreams)))
        return not chosen or self.any_accepts(chosen)

    def any_accepts(self, upstreams: list[Upstream]) -> bool:
        """Return whether one of some upstreams accepts a connection."""
        attempts = [self.executor.submit(self.connect, item) for item in upstreams]
        return any(item.result() for item in as_completed(attempts))

    def connect(self, upstream: Upstream) -> bool:
        """Open a connection; return whether it is accepted and not reset at once.

        It is not kept: a request on a connection that is not new, and ends at once,
        passes for one that found its connection closed.
        """
        try:
            connection = self.pool.open(upstream, CHECK_TIMEOUT_S)
        except OSError:
            return False
        ended = wait_readable(connection.socket, SETTLED_S)
        close(connection.socket)
        return not ended

    def record(self, service: str, reachable: bool) -> None:
        """Record the result of a check, and log and announce a change."""
        now_s = self.now_s()
        with self.lock:
            since_s = self.unreachable.get(service)
            if reachable == (since_s is None):
                return
            if reachable:
                del self.unreachable[service]
            else:
                self.unreachable[service] = now_s
                self.checks_all = True
        with self.fleet.lock:
            states = self.fleet.states_of_service(service)
            if reachable:
                self.fleet.unreachable_services.discard(service)
                forget_failures(states)
            else:
                self.fleet.unreachable_services.add(service)
        fields = {"service": service, "upstreams": len(states)}
        if reachable:
            fields["after_ms"] = round((now_s - since_s) * MS_PER_S)
        log_event(
            "service reachable again" if reachable else "service unreachable", **fields
        )
        self.on_change()


def forget_failures(states: list[UpstreamState]) -> None:
    """Forget failures that showed a partition rather than the upstreams' state."""
    for state in states:
        if state.silent:
            state.mark_recovered()
            state.suspect_until_s = 0.0
