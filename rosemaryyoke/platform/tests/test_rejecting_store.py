"""What callers see of changes while the store rejects most hosts."""

import threading
import time
from contextlib import contextmanager

import pytest

from rosemaryyoke.platform.standins.documents import (
    MODEL,
    make_configuration,
    make_registration,
    make_route,
)
from rosemaryyoke.platform.standins.servers import EngineStandin, send_client_request
from rosemaryyoke.platform.standins.simulated_upstreams import make_wanted_weights
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.platform.tests.store_links import BUSY, CUT, POLL_S, LinkedFleet

HOSTS = 9
IN_FORCE_S = 2.0  # the default bound of a configuration
LEARNED_S = 1.5
PLAIN = {"kind": "safe", "service": "records", "resumable": False, "timeoutMs": 1500}
FIRST_ACCOUNT = {"name": "t1", "apiKeys": ["k1"]}
INVALID_VERSION = 3


@pytest.fixture()
def fleet():
    fleet = LinkedFleet()
    upstream = EngineStandin("p0")
    entry = make_registration(str(upstream.address), "records")
    fleet.store.set("servers", upstream.name, entry)
    fleet.start(HOSTS)
    time.sleep(LEARNED_S)
    yield fleet
    fleet.stop()
    upstream.stop()


def reject_most(fleet, trouble):
    """Let the store reject the hosts that are first in line to read it."""
    fleet.reject(fleet.ranked()[:-2], trouble)


def configure(fleet, version, **changes):
    """Write a configuration."""
    fleet.store.set("config", "main", make_configuration(version, **changes))


def statuses(fleet, path="/read/1", key="k1"):
    """Return the statuses that each host answers with."""
    return {
        send_client_request(host.settings.callers, path, Authorization=f"Bearer {key}")
        .responses[0]
        .status
        for host in fleet.hosts
    }


# Guards against keys that are accepted after they were revoked, and rejected after they
# were added.
@pytest.mark.parametrize("trouble", (CUT, BUSY))
def test_keys_are_changed_at_all_hosts(fleet, trouble):
    assert statuses(fleet, key="k2") == {200}
    reject_most(fleet, trouble)
    accounts = [FIRST_ACCOUNT, {"name": "t2", "apiKeys": ["k3"]}]
    configure(fleet, 2, tenants=accounts)
    deadline_s = time.monotonic() + IN_FORCE_S
    wait_for(lambda: statuses(fleet, key="k3") == {200}, IN_FORCE_S)
    wait_for(lambda: statuses(fleet, key="k2") == {401}, deadline_s - time.monotonic())
    assert statuses(fleet) == {200}


# Guards against routes that are served at the hosts alone which the store answers.
@pytest.mark.parametrize("trouble", (CUT, BUSY))
def test_added_route_is_served_at_all_hosts(fleet, trouble):
    reject_most(fleet, trouble)
    configure(
        fleet, 2, routes=[make_route("read", **PLAIN), make_route("new", **PLAIN)]
    )
    wait_for(lambda: statuses(fleet, "/new/1") == {200}, IN_FORCE_S)


# Guards against routes that are served after they were removed.
def test_removed_route_is_served_at_no_host(fleet):
    reject_most(fleet, CUT)
    configure(fleet, 2, routes=[make_route("new", **PLAIN)])
    wait_for(lambda: statuses(fleet) == {404}, IN_FORCE_S)


# Guards against accounts whose quota is not applied at hosts that the store rejects.
def test_added_quota_is_applied_at_all_hosts(fleet):
    reject_most(fleet, CUT)
    quota = {"ratePerS": 0.01, "burst": 1.0, "unit": "requests"}
    configure(fleet, 2, tenants=[FIRST_ACCOUNT | quota])
    wait_for(lambda: statuses(fleet) == {429}, IN_FORCE_S)


# Guards against weights that hosts go on to take for the newest.
@pytest.mark.parametrize("trouble", (CUT, BUSY))
def test_declared_weights_are_known_at_all_hosts(fleet, trouble):
    reject_most(fleet, trouble)
    fleet.store.set(*make_wanted_weights(2))
    wait_for(
        lambda: all(host.catalog.wanted.get(MODEL) == 2 for host in fleet.hosts),
        IN_FORCE_S,
    )


@contextmanager
def recorded_versions(fleet):
    """Give the versions of the configuration that each host has in force, in order."""
    recorded = [[] for _ in fleet.hosts]
    stopped = threading.Event()

    def record():
        while not stopped.wait(POLL_S):
            for versions, host in zip(recorded, fleet.hosts):
                version = host.catalog.configuration.version
                if versions[-1:] != [version]:
                    versions.append(version)

    thread = threading.Thread(target=record)
    thread.start()
    try:
        yield recorded
    finally:
        stopped.set()
        thread.join()


# Guards against hosts that return to an older configuration, or take an invalid one,
# from a host that reads the store in place of another.
def test_configurations_of_hosts_never_go_back(fleet):
    order = fleet.ranked()
    rejected = (order[:-2], order[2:], order[:-2], order[:5], order[5:])
    with recorded_versions(fleet) as recorded:
        for version, numbers in enumerate(rejected, 2):
            fleet.reject(numbers, BUSY if version % 2 else CUT)
            if version == INVALID_VERSION:
                invalid = {"version": version, "routes": "none"}
                fleet.store.set("config", "main", invalid)
                time.sleep(IN_FORCE_S)
                continue
            configure(fleet, version)
            wait_for(
                lambda: all(versions[-1:] == [version] for versions in recorded),
                IN_FORCE_S,
            )
    assert recorded == [[1, 2, 4, 5, 6]] * HOSTS
