"""When a host believes that it reaches no upstream of a service, without a network."""

import socket
import threading
import time

from attrs import define, field

from rosemaryyoke.catalog import Catalog, Upstream
from rosemaryyoke.exchanges.connections import ConnectionPool, UpstreamConnection
from rosemaryyoke.fleet import Fleet, UpstreamState
from rosemaryyoke.forwarding.reachability import RECENT_CONTACT_S, Reachability
from rosemaryyoke.http1 import Address


@define(eq=False)
class ScriptedPool(ConnectionPool):
    """Connections that only some upstreams accept."""

    accepting: set = field(factory=set)
    resetting: set = field(factory=set)
    ends: list = field(factory=list)
    tries: int = 0
    delay_s: float = 0.0

    def open(self, upstream, timeout_s):
        self.tries += 1
        time.sleep(self.delay_s)
        if upstream.name not in self.accepting:
            raise ConnectionRefusedError
        near, far = socket.socketpair()
        self.ends.append(far)
        if upstream.name in self.resetting:
            far.close()
        return UpstreamConnection(near, upstream.name)


def make_reachability(accepting=(), **options):
    """Return the reachability of four engines and one plain upstream."""
    services = {"e0": "llm", "e1": "llm", "e2": "llm", "e3": "llm", "p0": "records"}
    fleet = Fleet(Catalog())
    for name, service in services.items():
        upstream = Upstream(name, service, Address("127.0.0.1", 1), "z1", slots=4)
        fleet.states[name] = UpstreamState(upstream)
    return Reachability(fleet, ScriptedPool(accepting=set(accepting), **options))


def test_service_is_unreachable_if_no_upstream_accepts():
    reach = make_reachability()
    reach.check_after_failure("llm")
    assert reach.is_unreachable("llm") and not reach.is_unreachable("records")
    assert not reach.is_cut_off()


def test_one_upstream_that_accepts_shows_the_service_reachable():
    reach = make_reachability({"e2"})
    reach.check_after_failure("llm")
    assert not reach.unreachable


def test_connections_that_are_accepted_and_reset_show_no_contact():
    # Guards against a partition whose connections are accepted on the way.
    names = {"e0", "e1", "e2", "e3"}
    reach = make_reachability(names, resetting=names)
    reach.check_after_failure("llm")
    assert reach.is_unreachable("llm")


def test_recent_answer_spares_the_check():
    reach = make_reachability()
    reach.fleet.states["e3"].last_byte_s = time.monotonic()
    reach.check_after_failure("llm")
    assert not reach.unreachable and not reach.pool.tries
    reach.fleet.states["e3"].last_byte_s -= 2 * RECENT_CONTACT_S
    reach.check_after_failure("llm")
    assert reach.is_unreachable("llm")


def test_other_services_are_checked_after_a_cut():
    # Guards against a host that learns of a cut only with a request for each service.
    reach = make_reachability()
    reach.check_after_failure("llm")
    reach.tick()
    assert reach.is_cut_off()


def test_end_of_a_cut_clears_what_it_showed_of_upstreams():
    reach = make_reachability()
    state = reach.fleet.states["e1"]
    for _ in range(4):
        state.record_failure(time.monotonic())
    reach.check_after_failure("llm")
    assert not reach.fleet.silent_upstreams(())
    reach.pool.accepting = {"e0"}
    reach.tick()
    assert not reach.is_unreachable("llm")
    assert state.usable(time.monotonic()) and not state.silent


def test_silent_upstreams_of_other_services_are_still_reported():
    reach = make_reachability()
    reach.fleet.states["p0"].record_failure(time.monotonic())
    reach.fleet.states["e0"].record_failure(time.monotonic())
    reach.check("llm")
    assert reach.fleet.silent_upstreams(()) == ["p0"]


def test_failures_at_the_same_time_share_one_check():
    reach = make_reachability(delay_s=0.1)
    changes = []
    reach.on_change = lambda: changes.append(1)
    threads = [
        threading.Thread(target=reach.check_after_failure, args=("llm",))
        for _ in range(10)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert reach.pool.tries == 4 and len(changes) == 1


def test_service_without_upstreams_is_not_unreachable():
    reach = make_reachability()
    reach.check("none")
    assert not reach.unreachable


def test_change_is_announced_once_each():
    reach = make_reachability()
    changes = []
    reach.on_change = lambda: changes.append(len(reach.unreachable_keys()))
    reach.check("llm")
    reach.check("llm")
    reach.pool.accepting = {"e0", "p0"}
    reach.tick()
    reach.tick()
    assert changes == [1, 0]
