"""Hosts and a lease under any sequence of restores, outages and writes."""

import math

import pytest
from attrs import define, field
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from rosemaryyoke.catalog import catalog as catalogs, follower as followers
from rosemaryyoke.objects import leases
from rosemaryyoke.platform.standins.documents import make_configuration
from rosemaryyoke.platform.tests.restores import (
    Clock,
    ModelHost,
    make_model,
    write_engine,
)

TICK_S = 0.4
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S
MAX_DELAY_S = 2.0  # until what was written is in force at hosts that reach the store
LEASE_DURATION_S = 2.0
HOSTS = ("h1", "h2")


@define(eq=False)
class ModelEngine:
    """An engine: what it says of itself, and when it last wrote that to the store."""

    name: str
    born: int = 1
    state: str = "ready"
    alive: bool = True
    seq: int = 0
    written_s: float = 0.0
    next_write_s: float = 0.0
    first_written_s: float = math.inf  # in the present era of the store

    def write(self, model):
        """Write the registration."""
        self.seq += 1
        write_engine(model, self.name, self.seq, self.born, state=self.state)
        self.written_s = model.now_s()
        self.next_write_s = self.written_s + HEARTBEAT_S
        self.first_written_s = min(self.first_written_s, self.written_s)


@define(eq=False)
class HostRecord:
    """A host, and what it has acknowledged since its start."""

    host: ModelHost
    reaching_since_s: float
    version: int = 0
    drained: set = field(factory=set)
    known: set = field(factory=set)
    gone: set = field(factory=set)

    def check_acknowledged(self, dead):
        """Check that no configuration goes back, and that drains and ends bind.

        ``dead`` are the incarnations that have ended.
        """
        catalog = self.host.catalog
        version = catalog.configuration.version if catalog.configuration else 0
        assert version >= self.version, "the configuration went back"
        self.version = version
        for name, upstream in catalog.upstreams.items():
            incarnation = name, upstream.born
            if upstream.draining:
                self.drained.add(incarnation)
            assert upstream.draining or incarnation not in self.drained
        known = {(name, item.born) for name, item in catalog.upstreams.items()}
        assert not known & self.gone, "an upstream that has left is back"
        self.gone |= (self.known - known) & dead
        self.known = known


class RestoredStore(RuleBasedStateMachine):
    """A store with its operator and engines, and two hosts that compete for a lease."""

    def __init__(self):
        super().__init__()
        self.patches = pytest.MonkeyPatch()
        self.clock = Clock()
        for module, name in (
            (catalogs, "time"),
            (followers, "time"),
            (leases, "now_s"),
        ):
            self.patches.setattr(module, name, self.clock)
        self.model = make_model(self.clock)
        self.engines = {name: ModelEngine(name) for name in ("e1", "e2", "e3")}
        self.version, self.rewrite_s, self.operator_wrote_s = 3, 0.0, self.clock.at_s
        self.up_since_s = self.clock.at_s
        self.tokens = []
        self.dead = set()
        self.hosts = {}
        for name in HOSTS:
            self.start_host(name)

    def teardown(self):
        self.patches.undo()

    def start_host(self, name):
        host = ModelHost(self.model, self.clock, name)
        host.lease.duration_s = LEASE_DURATION_S
        self.hosts[name] = HostRecord(host, self.clock.at_s)

    def tick(self):
        self.clock.at_s += TICK_S
        if not self.model.down:
            self.write_due()
        for record in self.hosts.values():
            record.host.poll(rounds=1)
            record.host.lease.acquire()
            record.check_acknowledged(self.dead)
            self.check_in_force(record)
        self.check_lease()

    def write_due(self):
        """Write what the operator and the engines write again, and expire the rest."""
        now_s = self.clock.at_s
        if self.operator_wrote_s is None and now_s >= self.rewrite_s:
            self.model.set("config", "main", make_configuration(self.version))
            self.operator_wrote_s = now_s
        for engine in self.engines.values():
            is_lost = engine.name not in self.model.objects["servers"]
            if engine.alive and now_s >= engine.next_write_s:
                engine.write(self.model)
            elif not engine.alive and not is_lost:
                if now_s - max(engine.written_s, self.up_since_s) > EXPIRY_S:
                    self.model.remove("servers", engine.name)

    def check_in_force(self, record):
        """Check that a host that reaches the store lacks nothing written long ago."""
        settled_s = self.clock.at_s - MAX_DELAY_S
        if record.host.client.cut or self.model.down:
            return
        if max(record.reaching_since_s, self.up_since_s) > settled_s:
            return
        if self.operator_wrote_s is not None and self.operator_wrote_s < settled_s:
            assert record.version >= self.version, "a key was lost"
        for engine in self.engines.values():
            is_ready = engine.alive and engine.state == "ready"
            if is_ready and engine.first_written_s < settled_s:
                assert engine.name in record.host.upstreams, "an engine was lost"

    def check_lease(self):
        """Check that there is one holder, and that its token is the greatest."""
        held = [
            record.host.lease.fencing_token
            for record in self.hosts.values()
            if record.host.lease.remaining_s() > 0
        ]
        assert len(held) <= 1, "two holders"
        for token in held:
            assert not self.tokens or token >= self.tokens[-1], "a token fell"
            self.tokens.append(token)

    @rule(ticks=st.sampled_from([1, 2, 5, 12]))
    def wait(self, ticks):
        for _ in range(ticks):
            self.tick()

    @rule()
    def operator_writes(self):
        if self.model.down or self.operator_wrote_s is None:
            return
        self.version += 2
        self.model.set("config", "main", make_configuration(self.version))
        self.operator_wrote_s = self.clock.at_s

    @rule(name=st.sampled_from(["e1", "e2", "e3"]))
    def engine_drains(self, name):
        engine = self.engines[name]
        if engine.alive and not self.model.down:
            engine.state = "draining"
            engine.write(self.model)
        self.tick()

    @rule(name=st.sampled_from(["e1", "e2", "e3"]))
    def engine_leaves(self, name):
        engine = self.engines[name]
        if engine.alive and not self.model.down:
            engine.alive = False
            self.dead.add((name, engine.born))
            if name in self.model.objects["servers"]:
                self.model.remove("servers", name)
        self.tick()

    @rule(name=st.sampled_from(["e1", "e2", "e3"]))
    def engine_starts(self, name):
        engine = self.engines[name]
        if not self.model.down:
            self.dead.add((name, engine.born))
            self.engines[name] = ModelEngine(name, engine.born + 1)
            self.engines[name].write(self.model)
        self.tick()

    @rule(name=st.sampled_from(HOSTS), cut=st.booleans())
    def cut_host(self, name, cut):
        record = self.hosts[name]
        if record.host.client.cut and not cut:
            record.reaching_since_s = self.clock.at_s
        record.host.client.cut = cut

    @rule(name=st.sampled_from(HOSTS))
    def restart_host(self, name):
        self.start_host(name)

    @rule(
        age_s=st.sampled_from([0.5, 3.0, 8.0]),
        down_ticks=st.sampled_from([0, 1, 4]),
        rewrite_s=st.sampled_from([0.0, 1.0, 3.0]),
    )
    def restore(self, age_s, down_ticks, rewrite_s):
        self.model.down = True
        for _ in range(down_ticks):
            self.tick()
        self.model.restore(age_s)
        self.model.down = False
        self.up_since_s = self.clock.at_s
        self.rewrite_s = self.clock.at_s + rewrite_s
        self.operator_wrote_s = None
        for engine in self.engines.values():
            engine.first_written_s = math.inf
            engine.next_write_s = self.rewrite_s
        self.wait(3)


RestoredStore.TestCase.settings = settings(
    max_examples=100, stateful_step_count=25, derandomize=True, deadline=None
)
TestRestoredStore = RestoredStore.TestCase
