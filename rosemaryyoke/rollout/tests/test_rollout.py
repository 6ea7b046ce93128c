"""Roll-outs by two hosts, with lost answers of the store and pauses at any point."""

from concurrent.futures import Executor, Future

from attrs import define, evolve, field
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from rosemaryyoke.catalog import Catalog, WantedWeights
from rosemaryyoke.fleet import Fleet
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.objects import PlatformError, StoredObject, leases
from rosemaryyoke.rollout import EngineReport, OrderOutcome, rollout as rollouts
from rosemaryyoke.rollout.messages import RunningRequests
from rosemaryyoke.rollout.rollout import MAX_PREFILL_WAIT_S, Rollout

LEASE_S = 3.0
MODEL = "m1"


class InlineExecutor(Executor):
    """Runs submitted tasks synchronously."""

    def submit(self, function, *arguments):
        """Run a task and return its future."""
        future = Future()
        future.set_result(function(*arguments))
        return future


@define
class Clock:
    """A shared clock, with an optional pause in the middle of a call."""

    at_s: float = 100.0
    pause_s: float = 0.0

    def __call__(self):
        return self.at_s

    def monotonic(self):
        """Return the time, as the standard module does."""
        return self.at_s

    def pause(self):
        """Advance the clock by the planned pause."""
        self.at_s += self.pause_s
        self.pause_s = 0.0


@define
class LossyStore:
    """A store of one object that ignores equal writes and may lose answers."""

    clock: Clock
    stored: StoredObject | None = None
    versions: int = 10
    lose_next: bool = False
    down: bool = False

    def get(self, name):
        """Return the object."""
        if self.down:
            return Err(PlatformError("down"))
        return Ok(self.stored)

    def put(self, name, body, expected_version):
        """Write the object if its version is the expected one."""
        if self.down:
            return Err(PlatformError("down", maybe_applied=True))
        current = self.stored.version if self.stored else 0
        if current != expected_version:
            return Err(PlatformError("conflict", conflict=True))
        if self.stored is None or self.stored.body != body:
            self.versions += 1
            self.stored = StoredObject(name, self.versions, body)
        self.clock.pause()
        if self.lose_next:
            self.lose_next = False
            return Err(PlatformError("lost", maybe_applied=True))
        return Ok(self.stored.version)


@define(eq=False)
class EngineFleet:
    """Engines that execute orders at once, or delayed if the order is unanswered."""

    clock: Clock
    versions: dict = field(factory=dict)
    accepted: dict = field(factory=dict)
    delayed: list = field(factory=list)
    orders: list = field(factory=list)
    unanswered: bool = False
    prefilling: int = 0

    def report(self, address):
        """Return an engine's state."""
        name = address.ip
        weights, orders = {MODEL: self.versions[name]}, self.accepted.get(name, 0)
        return Ok(EngineReport(weights, False, orders, self.prefilling))

    def order(self, order):
        """Receive an order."""
        self.clock.pause()
        self.orders.append((self.clock.at_s, order))
        if self.unanswered:
            self.unanswered = False
            self.delayed.append(order)
            return OrderOutcome.UNKNOWN
        return OrderOutcome.ACCEPTED if self.execute(order) else OrderOutcome.BUSY

    def execute(self, order):
        """Load the ordered version if the count of orders is the expected one."""
        name = order.address.ip
        if self.accepted.get(name, 0) != order.expected_orders:
            return False
        self.accepted[name] = order.expected_orders + 1
        self.versions[name] = order.version
        return True


@define(eq=False)
class World:
    """Two hosts, a store and six engines."""

    clock: Clock = field(factory=Clock)
    store: LossyStore = field(init=False)
    engines: EngineFleet = field(init=False)
    hosts: list = field(init=False)

    def __attrs_post_init__(self):
        self.store = LossyStore(self.clock)
        names = [f"127.0.0.{number}" for number in range(1, 7)]
        self.engines = EngineFleet(self.clock, {name: 1 for name in names})
        self.hosts = [self.make_host(f"host-{n}", names) for n in range(2)]

    def make_host(self, name, engines):
        """Return the ``Rollout`` of a host."""
        catalog = Catalog()
        fleet = Fleet(catalog)
        for ip in engines:
            state = make_state(ip)
            address = evolve(state.upstream.address, ip=ip)
            state.upstream = evolve(state.upstream, address=address)
            fleet.states[ip] = state
        return Rollout(
            name,
            LEASE_S,
            self.store,
            self.engines,
            catalog,
            fleet,
            InlineExecutor(),
            lambda model: 0,
        )

    def set_target_version(self, version):
        """Set the target version at every host."""
        for host in self.hosts:
            host.catalog.update_wanted(WantedWeights(MODEL, version))

    def check(self):
        """Check that holders are a lease apart and that fencing tokens increase."""
        last_s, last = None, None
        for at_s, order in self.engines.orders:
            if last is not None and order.holder != last.holder:
                assert (
                    at_s - last_s >= LEASE_S
                ), "orders of two holders within one lease"
                assert order.fencing > last.fencing, "fencing token did not increase"
            last_s, last = at_s, order


class PatchedClock:
    """Replaces the clock of the modules under test until ``undo``."""

    def __init__(self, clock):
        self.originals = (leases.now_s, rollouts.time)
        leases.now_s, rollouts.time = clock, clock

    def undo(self):
        """Restore the original clocks."""
        leases.now_s, rollouts.time = self.originals


def run_until(world, done, host=0, steps=200):
    for _ in range(steps):
        if done():
            return
        world.hosts[host].tick()
        world.clock.at_s += 0.25
    raise AssertionError("condition not reached within the steps")


def with_world(test):
    world = World()
    patch = PatchedClock(world.clock)
    try:
        test(world)
        world.check()
    finally:
        patch.undo()


def test_rollout_brings_every_engine_to_the_named_version():
    def test(world):
        world.set_target_version(2)
        run_until(world, lambda: set(world.engines.versions.values()) == {2})
        assert len(world.engines.orders) == 6

    with_world(test)


def test_rollout_orders_a_third_at_a_time():
    def test(world):
        world.set_target_version(2)
        world.hosts[0].tick()
        assert len(world.engines.orders) == 2

    with_world(test)


# Guards against prompts that are read while an order replaces the weights.
def test_rollout_waits_until_no_prompt_is_read():
    def test(world):
        world.engines.prefilling = 2
        world.set_target_version(2)
        world.hosts[0].tick()
        assert not world.engines.orders
        world.engines.prefilling = 0
        run_until(world, lambda: set(world.engines.versions.values()) == {2})
        modes = {order.running for _, order in world.engines.orders}
        assert modes == {RunningRequests.CONTINUE}

    with_world(test)


# Guards against a roll-out that waits for ever while prompts are read.
def test_rollout_lets_long_prompts_finish_first():
    def test(world):
        world.engines.prefilling = 1
        world.set_target_version(2)
        started_s = world.clock.at_s
        run_until(world, lambda: set(world.engines.versions.values()) == {2})
        first_s = world.engines.orders[0][0]
        assert first_s - started_s >= MAX_PREFILL_WAIT_S
        modes = {order.running for _, order in world.engines.orders}
        assert modes == {RunningRequests.FINISH_FIRST}

    with_world(test)


def test_rollout_newer_version_before_the_last_is_in_place():
    def test(world):
        world.set_target_version(2)
        world.hosts[0].tick()
        world.set_target_version(3)
        run_until(world, lambda: set(world.engines.versions.values()) == {3})

    with_world(test)


def test_rollout_is_taken_over_where_its_holder_stops():
    def test(world):
        world.set_target_version(2)
        world.hosts[0].tick()
        run_until(world, lambda: set(world.engines.versions.values()) == {2}, host=1)
        assert {order.holder for _, order in world.engines.orders} == {
            "host-0",
            "host-1",
        }

    with_world(test)


def test_rollout_late_order_does_not_undo_a_newer_one():
    def test(world):
        world.set_target_version(2)
        world.engines.unanswered = True
        world.hosts[0].tick()
        world.set_target_version(3)
        run_until(world, lambda: set(world.engines.versions.values()) == {3})
        assert [world.engines.execute(order) for order in world.engines.delayed] == [
            False
        ]

    with_world(test)


def test_rollout_announces_loads_once_before_it_orders():
    def test(world):
        announcements = []
        host = world.hosts[0]
        host.announce = lambda: announcements.append(
            (len(world.engines.orders), host.loading())
        )
        world.set_target_version(2)
        host.tick()
        ((orders_before, loading),) = announcements
        assert orders_before == 0 and len(loading) == 2
        assert set(loading) == {order.upstream for _, order in world.engines.orders}

    with_world(test)


def test_rollout_order_of_unknown_outcome_keeps_requests_away():
    def test(world):
        world.engines.unanswered = True
        world.set_target_version(2)
        host = world.hosts[0]
        host.tick()
        (unanswered_order,) = world.engines.delayed
        state = host.fleet.states[unanswered_order.upstream]
        while world.clock.at_s < 102.0:
            world.clock.at_s += 0.25
            host.tick()
            assert state.loading(world.clock.at_s)
        orders = [
            o
            for _, o in world.engines.orders
            if o.upstream == unanswered_order.upstream
        ]
        assert orders == [unanswered_order]

    with_world(test)


class TwoHosts(RuleBasedStateMachine):
    """Two hosts that both try to send orders, with pauses and lost answers."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.patch = PatchedClock(self.world.clock)
        self.version = 1

    def teardown(self):
        self.patch.undo()

    @rule(seconds=st.sampled_from([0.1, 0.25, 1.0, 2.9, 3.1, 5.5]))
    def wait(self, seconds):
        self.world.clock.at_s += seconds

    @rule()
    def set_next_version(self):
        self.version += 1
        self.world.set_target_version(self.version)

    @rule(
        host=st.integers(0, 1),
        lose=st.booleans(),
        unanswered=st.booleans(),
        pause_s=st.sampled_from([0.0, 0.0, 0.0, 0.3, 1.0]),
    )
    def tick(self, host, lose, unanswered, pause_s):
        self.world.store.lose_next = lose
        self.world.engines.unanswered = unanswered
        self.world.clock.pause_s = pause_s
        self.world.hosts[host].tick()
        self.world.clock.pause_s = 0.0
        self.world.store.lose_next = self.world.engines.unanswered = False

    @rule(down=st.booleans())
    def store_down(self, down):
        self.world.store.down = down

    @rule()
    def execute_delayed_order(self):
        if self.world.engines.delayed:
            self.world.engines.execute(self.world.engines.delayed.pop(0))

    @invariant()
    def holders_do_not_overlap(self):
        self.world.check()


TwoHosts.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestTwoHosts = TwoHosts.TestCase
