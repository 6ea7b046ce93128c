"""Registrations of hosts in a store that loses them."""

import pytest
from attrs import define, field
from result import Err, Ok

from rosemaryyoke.hosts import HostTable, registration as registrations
from rosemaryyoke.hosts.registration import RESTORE_SPREAD_S, Registration
from rosemaryyoke.hosts.tests.test_table import OWN
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.objects import PlatformError
from rosemaryyoke.objects.eras import EraRecord


@define
class RegistrationStore:
    """Accepts the first write of each name, until it is restored without any."""

    objects: dict = field(factory=dict)
    writes: int = 0

    def put(self, name, body, expected_version):
        """Create an object."""
        self.writes += 1
        if name in self.objects:
            return Err(PlatformError("conflict", conflict=True))
        self.objects[name] = body
        return Ok(1)

    def list(self, kind):
        """Return nothing."""
        return Err(PlatformError("not in this test"))


@pytest.fixture()
def clock(monkeypatch):
    class Clock:
        at_s = 100.0

        def monotonic(self):
            return self.at_s

    clock = Clock()
    monkeypatch.setattr(registrations, "time", clock)
    return clock


def test_registration_is_written_again_in_a_new_era(clock):
    delays = []
    for _ in range(20):
        store, eras = RegistrationStore(), EraRecord()
        roles = WatcherRoles("h1", "z1", HostTable(OWN, "h1", "z1"))
        registration = Registration(store, store, roles, "h1", OWN, eras)
        registration.tick()
        clock.at_s += 10.0
        registration.tick()
        assert store.writes == 1
        store.objects.clear()
        eras.learn(1, "store")
        restored_s = clock.at_s
        while not store.objects:
            assert clock.at_s - restored_s <= RESTORE_SPREAD_S + 0.5
            registration.tick()
            clock.at_s += 0.1
        delays.append(clock.at_s - restored_s)
        clock.at_s += 10.0
        registration.tick()
        assert store.writes == 2
    assert len({round(delay_s, 1) for delay_s in delays}) > 5
