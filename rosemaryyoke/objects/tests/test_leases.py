"""Tests of leases on an in-memory object store with a manual clock."""

import pytest
from attrs import define, field
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from rosemaryyoke.objects import Lease, PlatformError, StoredObject, leases

DURATION_S = 6.0


@define
class MemoryApi:
    """Store of one object that ignores unchanged writes and can drop a response."""

    stored: StoredObject | None = None
    versions: int = 0
    lose_next_answer: bool = False

    def get(self, name):
        """Return the stored object."""
        return Ok(self.stored)

    def put(self, name, body, expected_version):
        """Write the object if its version matches."""
        current = self.stored.version if self.stored else 0
        if current != expected_version:
            return Err(PlatformError("conflict", conflict=True))
        if self.stored is None or self.stored.body != body:
            self.versions += 1
            self.stored = StoredObject(name, self.versions, body)
        if self.lose_next_answer:
            self.lose_next_answer = False
            return Err(PlatformError("lost", maybe_applied=True))
        return Ok(self.versions)


@define
class Clock:
    """A clock that only tests advance."""

    at_s: float = 100.0

    def __call__(self):
        return self.at_s


@define
class LeaseScenario:
    """Two processes that compete for a lease in one store."""

    clock: Clock = field(factory=Clock)
    api: MemoryApi = field(factory=MemoryApi)
    one: Lease = field(init=False)
    other: Lease = field(init=False)

    def __attrs_post_init__(self):
        self.one = Lease(self.api, "lease", "one", DURATION_S)
        self.other = Lease(self.api, "lease", "other", DURATION_S)


@pytest.fixture()
def scenario(monkeypatch):
    scenario = LeaseScenario()
    monkeypatch.setattr(leases, "now_s", scenario.clock)
    return scenario


def test_lease_one_holder(scenario):
    assert scenario.one.acquire()
    assert not scenario.other.acquire()


def test_lease_taken_over_after_its_duration(scenario):
    scenario.one.acquire()
    scenario.other.acquire()
    scenario.clock.at_s += DURATION_S + 0.1
    assert scenario.other.acquire()
    assert scenario.other.fencing_token > scenario.one.fencing_token
    assert scenario.one.remaining_s() == 0


def test_lease_that_is_renewed_is_not_taken_over(scenario):
    scenario.one.acquire()
    scenario.other.acquire()
    for _ in range(5):
        scenario.clock.at_s += DURATION_S / 2
        assert scenario.one.acquire()
    assert not scenario.other.acquire()


def test_lease_renewal_with_a_lost_answer_counts_from_its_write(scenario):
    scenario.one.acquire()
    scenario.clock.at_s += 3.0
    scenario.api.lose_next_answer = True
    scenario.one.acquire()
    scenario.other.acquire()
    scenario.clock.at_s += 2.0
    scenario.one.acquire()
    scenario.clock.at_s += DURATION_S - 2.0 + 0.1
    assert scenario.other.acquire()
    assert scenario.one.remaining_s() == 0


@define
class SlowApi(MemoryApi):
    """Store that runs ``during_read`` while its next read is under way."""

    during_read: list = field(factory=list)

    def get(self, name):
        """Return the object as it is at the end of the read."""
        if self.during_read:
            self.during_read.pop()()
        return Ok(self.stored)


# Guards against two holders at once after a slow response of the store.
def test_lease_is_not_taken_over_early_after_a_slow_read(scenario):
    clock, api = scenario.clock, SlowApi()
    scenario.one.api = scenario.other.api = api

    def renew_during_the_read():
        clock.at_s += 0.5
        assert scenario.one.acquire()
        clock.at_s += 0.3

    api.during_read.append(renew_during_the_read)
    assert not scenario.other.acquire()
    clock.at_s = 100.0 + DURATION_S + 0.1
    assert scenario.one.remaining_s() > 0
    assert not scenario.other.acquire()


class LeaseHolders(RuleBasedStateMachine):
    """Two processes that acquire the lease, pause and lose responses."""

    def __init__(self):
        super().__init__()
        self.scenario = LeaseScenario()
        self.original_clock = leases.now_s
        leases.now_s = self.scenario.clock

    def teardown(self):
        leases.now_s = self.original_clock

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.9, 6.1]))
    def wait(self, seconds):
        self.scenario.clock.at_s += seconds

    @rule(first=st.booleans(), lose=st.booleans())
    def acquire(self, first, lose):
        self.scenario.api.lose_next_answer = lose
        (self.scenario.one if first else self.scenario.other).acquire()
        self.scenario.api.lose_next_answer = False

    @invariant()
    def at_most_one_holds(self):
        held = [
            lease
            for lease in (self.scenario.one, self.scenario.other)
            if lease.remaining_s() > 0
        ]
        assert len(held) <= 1


LeaseHolders.TestCase.settings = settings(
    max_examples=400, stateful_step_count=30, derandomize=True, deadline=None
)
TestHolders = LeaseHolders.TestCase
