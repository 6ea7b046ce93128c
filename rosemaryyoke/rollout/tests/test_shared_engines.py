"""Roll-outs of several models that the same engines serve."""

import pytest
from attrs import define, evolve, field
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from rosemaryyoke.catalog import Catalog, WantedWeights
from rosemaryyoke.fleet import Fleet
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.objects import Lease, PlatformError, StoredObject
from rosemaryyoke.rollout import EngineReport, OrderOutcome
from rosemaryyoke.rollout.messages import WeightsOrder
from rosemaryyoke.rollout.rollout import (
    ORDER_TIMEOUT_S,
    ORDER_WINDOW_S,
    RENEW_AFTER_S,
    Rollout,
)
from rosemaryyoke.rollout.tests.test_rollout import (
    LEASE_S,
    Clock,
    InlineExecutor,
    PatchedClock,
)

TICK_S = 0.25
LOAD_S = 1.9
# What two models took at three engines with a holder each; versions have 15 s.
IN_PLACE_WITHIN_S = 9.0
TERM_S = LEASE_S + ORDER_WINDOW_S + ORDER_TIMEOUT_S


@define
class Store:
    """A store of objects with one counter of versions."""

    clock: Clock
    objects: dict = field(factory=dict)
    versions: int = 10
    calls: int = 0
    lose_next: bool = False

    def get(self, name):
        """Return an object."""
        self.calls += 1
        return Ok(self.objects.get(name))

    def put(self, name, body, expected_version):
        """Write an object if its version matches; the answer may be lost."""
        self.calls += 1
        known = self.objects.get(name)
        if (known.version if known else 0) != expected_version:
            return Err(PlatformError("conflict", conflict=True))
        self.versions += 1
        self.objects[name] = StoredObject(name, self.versions, body)
        self.clock.pause()
        if self.lose_next:
            self.lose_next = False
            return Err(PlatformError("lost", maybe_applied=True))
        return Ok(self.versions)


@define(eq=False)
class Engines:
    """Engines that carry out one order at a time."""

    clock: Clock
    weights: dict = field(factory=dict)
    loads: dict = field(factory=dict)
    accepted: dict = field(factory=dict)
    orders: list = field(factory=list)

    def report(self, address):
        """Return an engine's state."""
        name = address.ip
        self.finish(name)
        is_loading = name in self.loads
        weights = dict(self.weights[name])
        return Ok(EngineReport(weights, is_loading, self.accepted.get(name, 0)))

    def finish(self, name):
        """Put weights in place once they are loaded."""
        if name in self.loads and self.clock.at_s >= self.loads[name][0]:
            _, model, version = self.loads.pop(name)
            self.weights[name][model] = version

    def order(self, order):
        """Accept an order unless another one is carried out."""
        self.clock.pause()
        name = order.address.ip
        self.finish(name)
        if name in self.loads or order.expected_orders != self.accepted.get(name, 0):
            return OrderOutcome.BUSY
        self.accepted[name] = order.expected_orders + 1
        self.loads[name] = (self.clock.at_s + LOAD_S, order.model, order.version)
        self.orders.append((self.clock.at_s, order))
        return OrderOutcome.ACCEPTED


@define(eq=False)
class EarlierBuild:
    """A host of an earlier build, which orders a model under its lease alone."""

    model: str
    world: "World"
    lease: Lease = field(init=False)

    def __attrs_post_init__(self):
        self.lease = Lease(
            self.world.store,
            f"leases/{self.model}",
            "earlier",
            duration_s=TERM_S,
            renew_after_s=RENEW_AFTER_S,
        )

    def tick(self):
        """Order one engine with outdated weights."""
        engines, wanted = self.world.engines, self.world.wanted[self.model]
        outdated = [
            state
            for state in self.world.hosts[0].fleet.states.values()
            if engines.weights[state.upstream.address.ip][self.model] < wanted
        ]
        if not outdated or not self.lease.acquire():
            return
        if self.lease.remaining_s() < LEASE_S + ORDER_TIMEOUT_S:
            return
        for state in outdated:
            report = engines.report(state.upstream.address).ok_value
            order = WeightsOrder(
                state.upstream.name,
                state.upstream.address,
                self.model,
                wanted,
                "earlier",
                self.lease.fencing_token,
                report.orders,
                ORDER_TIMEOUT_S,
            )
            if engines.order(order) is OrderOutcome.ACCEPTED:
                return


@define(eq=False)
class World:
    """Some hosts, a store, and engines that serve sets of models."""

    models: tuple = (("m0", "m3"),) * 3
    count: int = 2
    ranks: dict = field(factory=dict)
    clock: Clock = field(factory=Clock)
    store: Store = field(init=False)
    engines: Engines = field(init=False)
    hosts: list = field(init=False)
    wanted: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.store = Store(self.clock)
        weights = {
            f"127.0.0.{number}": {model: 1 for model in models}
            for number, models in enumerate(self.models, 1)
        }
        self.engines = Engines(self.clock, weights)
        self.hosts = [self.make_host(number) for number in range(self.count)]

    def make_host(self, number):
        """Return the ``Rollout`` of a host."""
        fleet = Fleet(Catalog())
        for ip, weights in self.engines.weights.items():
            state = make_state(ip, weights=1)
            address = evolve(state.upstream.address, ip=ip)
            state.upstream = evolve(state.upstream, address=address)
            state.weights = dict(weights)
            fleet.states[ip] = state

        def rank(model):
            return self.ranks.get((number, model), 0 if number == 0 else 1)

        return Rollout(
            f"host-{number}",
            LEASE_S,
            self.store,
            self.engines,
            Catalog(),
            fleet,
            InlineExecutor(),
            rank,
        )

    def declare(self, version, *models):
        """Declare new weights of models to all hosts."""
        for model in models:
            self.wanted[model] = version
            for host in self.hosts:
                host.catalog.update_wanted(WantedWeights(model, version))

    def advance(self, *hosts):
        """Let hosts act, and pass the time of one tick."""
        for host in hosts:
            host.tick()
        self.clock.at_s += TICK_S

    def is_done(self):
        """Return whether all engines have the declared weights."""
        for name in self.engines.weights:
            self.engines.finish(name)
        return all(
            weights[model] == self.wanted.get(model, 1)
            for weights in self.engines.weights.values()
            for model in weights
        )

    def run(self, *hosts, limit_s=60.0):
        """Let hosts act until all weights are in place; return how long it took."""
        started_s = self.clock.at_s
        while not self.is_done():
            assert self.clock.at_s - started_s < limit_s, "weights are not in place"
            self.advance(*(hosts or self.hosts))
        return self.clock.at_s - started_s

    def check(self):
        """Check the distance of two holders' orders to an engine, and their tokens."""
        last = {}
        for at_s, order in self.engines.orders:
            before_s, before = last.get(order.upstream, (None, None))
            if before is not None and before.holder != order.holder:
                assert at_s - before_s >= LEASE_S, "orders of two holders"
                assert order.fencing > before.fencing, "a lower fencing token"
            last[order.upstream] = (at_s, order)

    def holders(self):
        """Return who sent orders."""
        return {order.holder for _, order in self.engines.orders}


@pytest.fixture()
def make_world():
    worlds = []

    def make(**values):
        world = World(**values)
        worlds.append((world, PatchedClock(world.clock)))
        return world

    yield make
    for world, patch in worlds:
        world.check()
        patch.undo()


# Ranks by which each model has a first candidate of its own.
SPLIT = {(0, "m0"): 0, (0, "m3"): 1, (1, "m0"): 1, (1, "m3"): 0}


# Guards against two holders that order one engine, each for another of its models.
@pytest.mark.parametrize("pause_s", (0.0, 1.2))
def test_models_that_share_engines_have_one_holder(make_world, pause_s):
    world = make_world(ranks=SPLIT)
    world.declare(2, "m0")
    while world.clock.at_s < 100.0 + pause_s:
        world.advance(*world.hosts)
    world.declare(2, "m3")
    assert world.run() <= IN_PLACE_WITHIN_S
    assert len(world.holders()) == 1


def test_three_models_have_one_holder(make_world):
    models = ("m0", "m3", "m5")
    ranks = {(n, m): int(n != i) for n in range(3) for i, m in enumerate(models)}
    world = make_world(models=(models,) * 3, count=3, ranks=ranks)
    world.declare(2, *models)
    world.run()
    assert len(world.holders()) == 1


# Guards against a new holder that waits for one of the earlier holder's leases only.
def test_holder_that_dies_is_followed_after_all_of_its_leases(make_world):
    world = make_world(ranks=SPLIT)
    world.declare(2, "m0", "m3")
    for _ in range(4):
        world.advance(*world.hosts)
    (first,) = world.holders()
    rest = [host for host in world.hosts if host.holder != first]
    print(f"in place {world.run(*rest):.2f} s after the holder died")
    assert world.holders() == {host.holder for host in world.hosts}


# Guards against the orders of hosts that know the lease of one model only.
@pytest.mark.parametrize("model", ("m0", "m3"))
def test_earlier_build_that_holds_one_lease_orders_alone(make_world, model):
    world = make_world(ranks=SPLIT)
    earlier = EarlierBuild(model, world)
    world.declare(2, "m0", "m3")
    print(f"in place after {world.run(earlier, *world.hosts):.2f} s")
    assert "earlier" in world.holders() and len(world.holders()) == 2


# Guards against a model without candidates, as hosts of two builds rank them by
# different models.
def test_host_that_is_a_candidate_for_another_model_takes_all(make_world):
    ranks = {(0, "m0"): None, (0, "m3"): 0, (1, "m0"): None, (1, "m3"): None}
    world = make_world(ranks=ranks)
    world.declare(2, "m0", "m3")
    assert world.run() <= IN_PLACE_WITHIN_S + 1.0


def test_one_model_waits_for_no_other(make_world):
    world = make_world()
    world.declare(2, "m3")
    assert world.run() <= IN_PLACE_WITHIN_S
    orders = len(world.engines.orders)
    world.declare(2, "m0")
    assert world.run() <= IN_PLACE_WITHIN_S
    assert len(world.engines.orders) == 2 * orders


def test_engines_that_share_no_models_have_leases_of_their_own(make_world):
    world = make_world(models=(("m0",), ("m3",)))
    assert world.hosts[0].related_models("m0") == {"m0"}
    world.declare(2, "m0")
    world.run()
    assert set(world.store.objects) == {"leases/m0"}


# Guards against two holders of models that an engine in between joins.
def test_models_are_related_by_way_of_others(make_world):
    world = make_world(models=(("a", "b"), ("b", "c"), ("d",)))
    assert world.hosts[0].related_models("a") == {"a", "b", "c"}


# Guards against hosts whose views of an engine's models differ, and against weights
# that are never in place since a host does not know which leases it needs.
def test_models_that_an_engine_reports_are_guarded(make_world):
    world = make_world(models=(("m0", "m3"),))
    for host, model in zip(world.hosts, ("m0", "m3")):
        (state,) = host.fleet.states.values()
        state.weights = {model: 1}
    world.declare(2, "m0", "m3")
    world.run()


class SharedEngines(RuleBasedStateMachine):
    """Hosts of two builds, with pauses and lost answers at any point."""

    def __init__(self):
        super().__init__()
        self.world = World(ranks=SPLIT)
        self.patch = PatchedClock(self.world.clock)
        self.world.declare(1, "m0", "m3")
        self.earlier = EarlierBuild("m3", self.world)
        self.version = 1

    def teardown(self):
        self.patch.undo()

    @rule(seconds=st.sampled_from([0.1, 0.25, 1.0, 2.0, 3.1, 5.5]))
    def wait(self, seconds):
        self.world.clock.at_s += seconds

    @rule(models=st.sampled_from([("m0",), ("m3",), ("m0", "m3")]))
    def declare(self, models):
        self.version += 1
        self.world.declare(self.version, *models)

    @rule(
        host=st.integers(0, 2),
        lose=st.booleans(),
        pause_s=st.sampled_from([0.0, 0.0, 0.0, 0.3]),
    )
    def tick(self, host, lose, pause_s):
        self.world.store.lose_next = lose
        self.world.clock.pause_s = pause_s
        [*self.world.hosts, self.earlier][host].tick()
        self.world.clock.pause_s = 0.0
        self.world.store.lose_next = False

    @invariant()
    def holders_do_not_overlap(self):
        self.world.check()


SharedEngines.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
TestSharedEngines = SharedEngines.TestCase
