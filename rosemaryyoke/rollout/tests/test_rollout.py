"""Orders of two hosts over a store that loses answers, with pauses anywhere."""

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
from rosemaryyoke.rollout.rollout import Rollout

LEASE_S = 3.0
MODEL = "m1"


class Inline(Executor):
    """Runs what is submitted at once."""

    def submit(self, function, *arguments):
        """Run a task and return its outcome."""
        future = Future()
        future.set_result(function(*arguments))
        return future


@define
class Clock:
    """The clock of all, and a pause that comes in the middle of a call."""

    at_s: float = 100.0
    pause_s: float = 0.0

    def __call__(self):
        return self.at_s

    def monotonic(self):
        """Return the time, as the standard module does."""
        return self.at_s

    def pause(self):
        """Let the planned pause pass."""
        self.at_s += self.pause_s
        self.pause_s = 0.0


@define
class LossyStore:
    """One object in a store that ignores equal writes and may lose an answer."""

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
        """Write the object under a condition."""
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
    """Engines that carry orders out at once, or late after an unanswered one."""

    clock: Clock
    versions: dict = field(factory=dict)
    accepted: dict = field(factory=dict)
    late: list = field(factory=list)
    orders: list = field(factory=list)
    unanswered: bool = False

    def report(self, address):
        """Return an engine's state."""
        name = address.ip
        weights = {MODEL: self.versions[name]}
        return Ok(EngineReport(weights, False, self.accepted.get(name, 0)))

    def order(self, order):
        """Take an order."""
        self.clock.pause()
        self.orders.append((self.clock.at_s, order))
        if self.unanswered:
            self.unanswered = False
            self.late.append(order)
            return OrderOutcome.UNKNOWN
        return OrderOutcome.ACCEPTED if self.carry_out(order) else OrderOutcome.BUSY

    def carry_out(self, order):
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
        """Return a host's roll-out."""
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
            Inline(),
            lambda model: 0,
        )

    def name_weights(self, version):
        """Let operators name a version."""
        for host in self.hosts:
            host.catalog.take_wanted(WantedWeights(MODEL, version))

    def check(self):
        """Check that holders lie apart and that nothing older follows."""
        last_s, last = None, None
        for at_s, order in self.engines.orders:
            if last is not None and order.holder != last.holder:
                assert at_s - last_s >= LEASE_S, "two holders within the lease"
                assert order.fencing > last.fencing, "an equal or older number"
            last_s, last = at_s, order


class Patch:
    """Lets the modules read the world's clock while it lasts."""

    def __init__(self, clock):
        self.kept = (leases.now_s, rollouts.time)
        leases.now_s, rollouts.time = clock, clock

    def undo(self):
        """Restore the modules."""
        leases.now_s, rollouts.time = self.kept


def run_until(world, done, host=0, steps=200):
    for _ in range(steps):
        if done():
            return
        world.hosts[host].tick()
        world.clock.at_s += 0.25
    raise AssertionError("not done in time")


def with_world(test):
    world = World()
    patch = Patch(world.clock)
    try:
        test(world)
        world.check()
    finally:
        patch.undo()


def test_rollout_brings_every_engine_to_the_named_version():
    def test(world):
        world.name_weights(2)
        run_until(world, lambda: set(world.engines.versions.values()) == {2})
        assert len(world.engines.orders) == 6

    with_world(test)


def test_rollout_orders_a_third_at_a_time():
    def test(world):
        world.name_weights(2)
        world.hosts[0].tick()
        assert len(world.engines.orders) == 2

    with_world(test)


def test_rollout_newer_version_before_the_last_is_in_place():
    def test(world):
        world.name_weights(2)
        world.hosts[0].tick()
        world.name_weights(3)
        run_until(world, lambda: set(world.engines.versions.values()) == {3})

    with_world(test)


def test_rollout_is_taken_over_where_its_holder_stops():
    def test(world):
        world.name_weights(2)
        world.hosts[0].tick()
        run_until(world, lambda: set(world.engines.versions.values()) == {2}, host=1)
        assert {order.holder for _, order in world.engines.orders} == {
            "host-0",
            "host-1",
        }

    with_world(test)


def test_rollout_late_order_does_not_undo_a_newer_one():
    def test(world):
        world.name_weights(2)
        world.engines.unanswered = True
        world.hosts[0].tick()
        world.name_weights(3)
        run_until(world, lambda: set(world.engines.versions.values()) == {3})
        assert [world.engines.carry_out(order) for order in world.engines.late] == [
            False
        ]

    with_world(test)


def test_rollout_tells_of_a_ticks_loads_once_before_it_orders():
    def test(world):
        told = []
        host = world.hosts[0]
        host.announce = lambda: told.append((len(world.engines.orders), host.loading()))
        world.name_weights(2)
        host.tick()
        ((orders_before, loading),) = told
        assert orders_before == 0 and len(loading) == 2
        assert set(loading) == {order.upstream for _, order in world.engines.orders}

    with_world(test)


def test_rollout_order_in_doubt_keeps_requests_away_until_it_is_settled():
    def test(world):
        world.engines.unanswered = True
        world.name_weights(2)
        host = world.hosts[0]
        host.tick()
        (doubtful,) = world.engines.late
        state = host.fleet.states[doubtful.upstream]
        while world.clock.at_s < 102.0:
            world.clock.at_s += 0.25
            host.tick()
            assert state.loading(world.clock.at_s)
        orders = [o for _, o in world.engines.orders if o.upstream == doubtful.upstream]
        assert orders == [doubtful]

    with_world(test)


class TwoHosts(RuleBasedStateMachine):
    """Two hosts that both want to order, pause anywhere, and lose answers."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.patch = Patch(self.world.clock)
        self.version = 1

    def teardown(self):
        self.patch.undo()

    @rule(seconds=st.sampled_from([0.1, 0.25, 1.0, 2.9, 3.1, 5.5]))
    def wait(self, seconds):
        self.world.clock.at_s += seconds

    @rule()
    def name(self):
        self.version += 1
        self.world.name_weights(self.version)

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
    def late_order(self):
        if self.world.engines.late:
            self.world.engines.carry_out(self.world.engines.late.pop(0))

    @invariant()
    def holders_lie_apart(self):
        self.world.check()


TwoHosts.TestCase.settings = settings(
    max_examples=200, stateful_step_count=30, derandomize=True, deadline=None
)
TestTwoHosts = TwoHosts.TestCase
