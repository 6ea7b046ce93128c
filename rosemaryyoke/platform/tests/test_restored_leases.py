"""Leases and roll-outs when the store comes back from a copy."""

import pytest
from attrs import define, field

from rosemaryyoke.objects.eras import era_of
from rosemaryyoke.platform.standins.store_model import StoreModel
from rosemaryyoke.platform.tests.restores import (
    LEASE_DURATION_S,
    make_model,
    make_store,
)
from rosemaryyoke.rollout.rollout import ORDER_TIMEOUT_S, ORDER_WINDOW_S
from rosemaryyoke.rollout.tests.test_rollout import LEASE_S, PatchedClock, World

ROLLOUT_LEASE_S = LEASE_S + ORDER_WINDOW_S + ORDER_TIMEOUT_S
TICK_S = 0.25


def test_lease_of_an_older_era_is_void(model, host, clock):
    clock.at_s += LEASE_DURATION_S + 0.1
    assert host.lease.acquire()
    token = host.lease.fencing_token
    clock.at_s += 1.0
    host.store.eras.learn(2, "h2")
    assert host.lease.remaining_s() == 0.0
    model.restore(0.0)
    assert not host.lease.acquire()
    clock.at_s += LEASE_DURATION_S + 0.1
    assert host.lease.acquire() and host.lease.fencing_token > token


def test_lease_created_in_an_era_not_known_before_is_not_held(model, host, clock):
    clock.at_s += LEASE_DURATION_S + 0.1

    def restore_before_write(method, target):
        host.client.after_call = lambda method, target: None
        model.restore(0.0)

    host.client.after_call = restore_before_write
    assert not host.lease.acquire()
    assert host.store.eras.current == 2 and host.lease.remaining_s() == 0.0


def test_waiting_for_an_era_makes_one_call(model, host, clock):
    model.restore(1.0)
    host.poll()
    calls = len(host.client.calls)
    for _ in range(10):
        assert not host.lease.acquire()
        clock.at_s += 0.1
    assert len(host.client.calls) == calls + 1


@define(eq=False)
class RestorableWorld(World):
    """Hosts with outdated engines, and a model of the store."""

    model: StoreModel = field(init=False)

    def __attrs_post_init__(self):
        self.model = make_model(self.clock)
        super().__attrs_post_init__()

    def make_host(self, name, engines):
        """Return the ``Rollout`` of a host that has just started."""
        host = super().make_host(name, engines)
        host.api = make_store(self.model, self.clock)
        host.catalog.eras = host.api.eras
        host.api.list("servers")
        return host


@pytest.fixture()
def world():
    world = RestorableWorld()
    patch = PatchedClock(world.clock)
    world.clock.at_s += ROLLOUT_LEASE_S + 0.1
    yield world
    world.check()
    patch.undo()


def tick_for(world, host, seconds):
    """Let a host order for a while; return the orders that it sent meanwhile."""
    before = len(world.engines.orders)
    until_s = world.clock.at_s + seconds
    while world.clock.at_s < until_s:
        world.hosts[host].tick()
        world.clock.at_s += TICK_S
    return world.engines.orders[before:]


def test_holder_stops_orders_when_store_is_restored(world):
    world.set_target_version(2)
    assert tick_for(world, 0, 0.5)
    world.set_target_version(3)
    world.model.restore(0.1)
    first = world.hosts[0]
    assert first.leases.remaining_s(["m1"]) > 0
    first.catalog.eras.learn(world.model.era, "h2")
    assert not tick_for(world, 0, ROLLOUT_LEASE_S)
    assert tick_for(world, 0, 1.0)
    assert set(world.engines.versions.values()) == {3}


def test_holder_that_does_not_hear_of_the_restore_stops_in_time(world):
    world.set_target_version(2)
    assert tick_for(world, 0, 0.5)
    world.set_target_version(3)
    world.model.restore(0.1)
    world.model.down = True
    restored_s = world.clock.at_s
    orders = tick_for(world, 0, 2 * ROLLOUT_LEASE_S)
    assert all(at_s < restored_s + ORDER_WINDOW_S for at_s, _ in orders)


def test_successor_waits_a_lease_after_store_is_restored(world):
    world.set_target_version(2)
    assert tick_for(world, 0, 0.5)
    world.set_target_version(3)
    world.model.restore(3.0)
    assert "leases" not in world.model.objects
    learned_s = world.clock.at_s
    assert not tick_for(world, 1, ROLLOUT_LEASE_S)
    (at_s, _), *_ = tick_for(world, 1, 1.0)
    assert at_s > learned_s + ROLLOUT_LEASE_S


def test_host_that_starts_after_a_restore_waits_a_lease(world):
    world.set_target_version(2)
    world.model.restore(1.0)
    world.hosts.append(world.make_host("host-2", list(world.engines.versions)))
    world.set_target_version(3)
    assert not tick_for(world, 2, ROLLOUT_LEASE_S)
    assert tick_for(world, 2, 1.0)


def test_fencing_tokens_rise_over_a_restore(world):
    world.set_target_version(2)
    (_, first), *_ = tick_for(world, 0, 4.0)
    world.set_target_version(3)
    world.model.restore(2.0)
    assert world.model.objects["leases"]["m1"]["metadata"]["revision"] < first.fencing
    (_, second), *_ = tick_for(world, 1, 2 * ROLLOUT_LEASE_S + 1.0)
    assert second.fencing > first.fencing
    assert era_of(second.fencing) == world.model.era
