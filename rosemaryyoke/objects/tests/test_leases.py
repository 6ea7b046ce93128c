"""Leases on a small object store in memory, with a clock that tests move."""

import pytest
from attrs import define, field
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from rosemaryyoke.objects import Lease, PlatformError, StoredObject, leases

DURATION_S = 6.0


@define
class MemoryApi:
    """One object store, which ignores equal writes and may lose the next answer."""

    stored: StoredObject | None = None
    versions: int = 0
    lose_next: bool = False

    def get(self, name):
        """Return the object."""
        return Ok(self.stored)

    def put(self, name, body, expected_version):
        """Write the object under a condition."""
        current = self.stored.version if self.stored else 0
        if current != expected_version:
            return Err(PlatformError("conflict", conflict=True))
        if self.stored is None or self.stored.body != body:
            self.versions += 1
            self.stored = StoredObject(name, self.versions, body)
        if self.lose_next:
            self.lose_next = False
            return Err(PlatformError("lost", maybe_done=True))
        return Ok(self.versions)


@define
class Clock:
    """A clock that stands until it is moved."""

    at_s: float = 100.0

    def __call__(self):
        return self.at_s


@define
class World:
    """Two processes and their store."""

    clock: Clock = field(factory=Clock)
    api: MemoryApi = field(factory=MemoryApi)
    one: Lease = field(init=False)
    other: Lease = field(init=False)

    def __attrs_post_init__(self):
        self.one = Lease(self.api, "lease", "one", DURATION_S)
        self.other = Lease(self.api, "lease", "other", DURATION_S)


@pytest.fixture()
def world(monkeypatch):
    made = World()
    monkeypatch.setattr(leases, "now_s", made.clock)
    return made


def test_lease_one_holder(world):
    assert world.one.acquire()
    assert not world.other.acquire()


def test_lease_taken_over_after_its_duration(world):
    world.one.acquire()
    world.other.acquire()
    world.clock.at_s += DURATION_S + 0.1
    assert world.other.acquire()
    assert world.other.fencing > world.one.fencing
    assert world.one.remaining_s() == 0


def test_lease_that_is_renewed_is_not_taken_over(world):
    world.one.acquire()
    world.other.acquire()
    for _ in range(5):
        world.clock.at_s += DURATION_S / 2
        assert world.one.acquire()
    assert not world.other.acquire()


def test_lease_renewal_with_a_lost_answer_counts_from_its_write(world):
    world.one.acquire()
    world.clock.at_s += 3.0
    world.api.lose_next = True
    world.one.acquire()
    world.other.acquire()
    world.clock.at_s += 2.0
    world.one.acquire()
    world.clock.at_s += DURATION_S - 2.0 + 0.1
    assert world.other.acquire()
    assert world.one.remaining_s() == 0


class Holders(RuleBasedStateMachine):
    """Two processes that try, pause and lose answers."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.kept = leases.now_s
        leases.now_s = self.world.clock

    def teardown(self):
        leases.now_s = self.kept

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.9, 6.1]))
    def wait(self, seconds):
        self.world.clock.at_s += seconds

    @rule(first=st.booleans(), lose=st.booleans())
    def acquire(self, first, lose):
        self.world.api.lose_next = lose
        (self.world.one if first else self.world.other).acquire()
        self.world.api.lose_next = False

    @invariant()
    def at_most_one_holds(self):
        held = [
            lease
            for lease in (self.world.one, self.world.other)
            if lease.remaining_s() > 0
        ]
        assert len(held) <= 1


Holders.TestCase.settings = settings(
    max_examples=400, stateful_step_count=30, derandomize=True, deadline=None
)
TestHolders = Holders.TestCase
