"""Inject faults and planned work in overlapping series."""

import random
import threading
from collections import Counter

from attrs import define, field

from rosemaryyoke.soak.faults import Fault, FaultContext, faults
from rosemaryyoke.soak.history import now_s
from rosemaryyoke.soak.planned_work import planned_work
from rosemaryyoke.soak.testbed import Testbed

FAULT_PAUSE_S = (0.05, 0.8)  # between two faults of one worker
ALL = "all"
PLANNED = "planned"
PROFILES = {
    ALL: {**faults.entries, **planned_work.entries},
    PLANNED: planned_work.entries,
}


def select_faults(selection: str) -> dict[str, Fault]:
    """Return the faults of a profile, or the ones named, separated by commas.

    Raise ``LookupError`` for an unknown name.
    """
    if selection in PROFILES:
        return dict(PROFILES[selection])
    return {
        name: (planned_work if name in planned_work.entries else faults).get(name)
        for name in selection.split(",")
    }


@define(eq=False)
class FaultInjector:
    """Workers that inject overlapping faults, each with its own random generator."""

    testbed: Testbed
    seed: int
    worker_count: int
    selected: dict[str, Fault]
    stopping: threading.Event = field(factory=threading.Event)
    injected: Counter = field(factory=Counter)
    errors: list[str] = field(factory=list)
    threads: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Start all workers."""
        for worker in range(self.worker_count):
            thread = threading.Thread(target=self.run, args=(worker,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Stop the workers once their current faults are reverted."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, worker: int) -> None:
        """Inject one fault after another."""
        rng = random.Random(f"{self.seed}/{worker}")
        context = FaultContext(self.testbed, rng, self.stopping)
        names = sorted(self.selected)
        while not self.stopping.wait(rng.uniform(*FAULT_PAUSE_S)):
            name = rng.choice(names)
            try:
                self.inject(name, context)
            except Exception as error:
                self.errors.append(f"{name}: {error!r}")
            self.injected[name] += 1

    def inject(self, name: str, context: FaultContext) -> None:
        """Inject one fault; record it as a disruption if it is not planned work."""
        if name in planned_work.entries:
            self.selected[name](context)
            return
        disruption = self.testbed.history.begin_disruption(name)
        try:
            self.selected[name](context)
        finally:
            disruption.ended_s = now_s()
