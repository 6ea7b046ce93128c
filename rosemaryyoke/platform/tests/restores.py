"""Builders of hosts that follow a model of the store in memory, on a manual clock."""

from typing import Callable

import orjson
from attrs import define, field
from result import Err, Ok

from rosemaryyoke.catalog import Catalog, Follower
from rosemaryyoke.http1 import Address, RequestError, Response
from rosemaryyoke.objects import Lease
from rosemaryyoke.objects.eras import EraRecord
from rosemaryyoke.platform.documents import PlatformSource
from rosemaryyoke.platform.names import STORE_ERA
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.store_model import StoreModel
from rosemaryyoke.platform.store import PlatformStore

LEASE_DURATION_S = 5.0
NOWHERE = Address("127.0.0.1", 1)


@define
class Clock:
    """A clock that only tests advance, in place of the ``time`` module too."""

    at_s: float = 1_000.0

    def __call__(self):
        return self.at_s

    def monotonic(self):
        """Return the time."""
        return self.at_s

    def time_ns(self):
        """Return the time in nanoseconds."""
        return int(self.at_s * 1e9)


@define(eq=False)
class DirectClient:
    """Passes calls to a model of the store.

    ``after_call`` runs before the response of each call is returned, so that it may
    arrive late. ``calls`` are the methods and targets. ``cut`` means that the store is
    out of reach.
    """

    model: StoreModel
    cut: bool = False
    after_call: Callable[[str, str], None] = lambda method, target: None
    calls: list = field(factory=list)

    def request(self, method, target, body=None, timeout_s=1.0, headers=()):
        """Make a call."""
        self.calls.append((method, target))
        try:
            if self.model.down or self.cut:
                raise OSError("store is down")
            answer = self.model.call(method, target, body or b"")
        except OSError as error:
            return Err(RequestError(str(error), sent=True))
        self.after_call(method, target)
        headers = [(STORE_ERA, b"%d" % answer.era)]
        return Ok(Response(answer.status, orjson.dumps(answer.value), headers))


@define(eq=False)
class ModelHost:
    """A host's store client, catalog, follower and lease."""

    model: StoreModel
    clock: Clock
    name: str = "h1"
    client: DirectClient = field(init=False)
    store: PlatformStore = field(init=False)
    catalog: Catalog = field(init=False)
    follower: Follower = field(init=False)
    lease: Lease = field(init=False)

    def __attrs_post_init__(self):
        self.store = make_store(self.model, self.clock)
        self.client = self.store.local.caller
        eras = self.store.eras
        self.catalog = Catalog(eras=eras)
        self.follower = Follower(PlatformSource(self.store), self.catalog)
        for task in self.follower.followers:
            task.wait_s = 0.0
        self.lease = Lease(
            self.store, "leases/m1", self.name, LEASE_DURATION_S, eras=eras
        )

    def poll(self, rounds=2):
        """Read every kind, listing those anew whose position is no longer valid."""
        for _ in range(rounds):
            for task in self.follower.followers:
                outcome = task.step()
                if isinstance(outcome, Err) and not outcome.err_value.history_gone:
                    task._record_failure(outcome.err_value)
            self.follower.remove_expired()

    @property
    def upstreams(self):
        """Return the upstreams that may get work."""
        return {n for n, u in self.catalog.upstreams.items() if not u.draining}


def make_store(model, clock):
    """Return a client of the store that calls a model."""
    store = PlatformStore(NOWHERE, EraRecord(now_s=clock))
    store.local.caller = DirectClient(model)
    return store


def make_model(clock):
    """Return a store with a configuration and two engines, written 10 s ago."""

    def sleep(seconds):
        clock.at_s += seconds

    model = StoreModel(now_s=clock, sleep=sleep)
    model.set("config", "main", make_configuration(3))
    write_engine(model, "e1")
    write_engine(model, "e2")
    clock.at_s += 10.0
    return model


def write_engine(model, name, seq=1, born=1, **changes):
    """Write the registration of an engine, whose address follows from its name."""
    address = f"10.0.0.{name.removeprefix('e')}:80"
    entry = make_registration(address, seq=seq, born=born, **changes)
    model.set("servers", name, entry)


def write_heartbeats(model, count, seq=100):
    """Raise the store's revision by heartbeats of an engine."""
    for number in range(count):
        write_engine(model, "e1", seq=seq + number)
