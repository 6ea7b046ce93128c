"""Simulated hosts that learn of each other's requests with a delay."""

from attrs import define, field

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.fleet import Fleet
from rosemaryyoke.fleet.state import RemoteLoad
from rosemaryyoke.fleet.tests.builders import make_state
from rosemaryyoke.fleet.tests.engine_model import Simulation

WEIGHTS_LOAD_S = 1.9  # the time to load weights, from the engines' data sheets


@define(eq=False, slots=False)
class HostsSimulation(Simulation):
    """Requests that arrive at random hosts, each with its own view of the load.

    A host's view of the others is as old as their last beacons. From ``loads_from_s``
    on, engines load new weights in turn, one in ``engines_per_load`` at a time.
    """

    hosts: int = 16
    beacon_s: float = 0.3
    loads_from_s: float | None = None
    engines_per_load: int = 3
    fleets: list[Fleet] = field(factory=list)
    wanted: int = 1

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        for _ in range(self.hosts):
            fleet = Fleet(Catalog(), now_s=lambda: self.clock_s)
            for name in self.by_name:
                fleet.states[name] = make_state(name)
                fleet.states[name].weights = {"m1": 1}
            self.fleets.append(fleet)

    def run(self, seconds):
        """Simulate some seconds, with beacons and any loads of weights."""
        for number in range(self.hosts):
            self.schedule(
                self.beacon_s * number / self.hosts, self.make_beacon_action(number)
            )
        if self.loads_from_s is not None:
            self.schedule(self.loads_from_s, self.begin_loads)
        return super().run(seconds)

    def make_beacon_action(self, number):
        """Return an action that sends a host's loads and prefills to the others."""

        def send_beacon():
            loads = self.fleets[number].own_loads()
            reads = self.fleets[number].next_unsent_prefills()
            for other, fleet in enumerate(self.fleets):
                if other != number:
                    self.receive_beacon(fleet, number, loads, reads)
            self.schedule(self.clock_s + self.beacon_s, send_beacon)

        return send_beacon

    def receive_beacon(self, fleet, number, loads, reads):
        """Apply another host's beacon."""
        for state in fleet.states.values():
            state.remote.pop(number, None)
        for load in loads:
            fleet.states[load.upstream].remote[number] = RemoteLoad(
                load.running, load.prefill_tokens, load.tokens, self.clock_s
            )
        for read in reads:
            fleet.record_prefill(read)

    def begin_loads(self):
        """Schedule the loading of new weights, for a share of the engines at a time."""
        self.wanted = 2
        names = list(self.by_name)
        max_loading = max(1, len(names) // self.engines_per_load)
        for number, name in enumerate(names):
            at_s = self.clock_s + number // max_loading * (WEIGHTS_LOAD_S + 0.3)
            self.schedule(at_s, lambda name=name: self.load(name))

    def load(self, name):
        """Load weights at an engine; requests that arrive meanwhile wait."""
        engine = self.by_name[name]
        until_s = max(self.clock_s, engine.free_at_s) + WEIGHTS_LOAD_S
        engine.free_at_s = until_s
        for fleet in self.fleets:
            fleet.states[name].loading_until_s = until_s
        self.schedule(until_s, lambda: self.loaded(name))

    def loaded(self, name):
        """Switch an engine to the new weights, with an empty cache."""
        self.by_name[name].cache.clear()
        for fleet in self.fleets:
            fleet.states[name].update_weights("m1", 2, self.clock_s)

    def submit(self, kind):
        """Place a request by the view of a random host."""
        self.fleet = self.random.choice(self.fleets)
        super().submit(kind)
