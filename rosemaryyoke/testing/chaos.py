"""Faults from outside the processes, in an order that a seed decides."""

import random
import signal
import threading
import time
from typing import Callable

from result import UnwrapError

from rosemaryyoke.core import Registry
from rosemaryyoke.testing.builders import System

Fault = Callable[[System, random.Random], None]

faults: Registry[Fault] = Registry("fault")

PLATFORM_WELL = {"down": False, "slow_ms": 0, "lose_answers": 0.0}


@faults.register("kill-host")
def kill_host(system: System, generator: random.Random) -> None:
    """Kill a host and start it again."""
    name = generator.choice(system.host_names)
    system.processes[name].kill()
    time.sleep(generator.uniform(0.0, 0.3))
    system.restart(name)


@faults.register("pause-host")
def pause_host(system: System, generator: random.Random) -> None:
    """Stop a host for a while and let it go on."""
    process = system.processes[generator.choice(system.host_names)]
    process.signal(signal.SIGSTOP)
    time.sleep(generator.uniform(0.2, 2.0))
    process.signal(signal.SIGCONT)


@faults.register("platform-down")
def platform_down(system: System, generator: random.Random) -> None:
    """Let the platform answer nothing for a while."""
    system.control("platform", "fault", {**PLATFORM_WELL, "down": True})
    time.sleep(generator.uniform(0.2, 1.0))
    system.control("platform", "fault", PLATFORM_WELL)


@faults.register("platform-loses-answers")
def platform_loses_answers(system: System, generator: random.Random) -> None:
    """Let the platform lose answers of changes that took effect."""
    system.control("platform", "fault", {**PLATFORM_WELL, "lose_answers": 0.4})
    time.sleep(generator.uniform(0.3, 1.0))
    system.control("platform", "fault", PLATFORM_WELL)


@faults.register("platform-slow")
def platform_slow(system: System, generator: random.Random) -> None:
    """Let the platform be slow for a while."""
    system.control("platform", "fault", {**PLATFORM_WELL, "slow_ms": 150})
    time.sleep(generator.uniform(0.3, 1.0))
    system.control("platform", "fault", PLATFORM_WELL)


@faults.register("service-loses-answers")
def service_loses_answers(system: System, generator: random.Random) -> None:
    """Let a service lose answers after the run."""
    names = [name for name in system.processes if name.startswith("records")]
    if not names:
        return
    name = generator.choice(names)
    system.control(name, "fault", {"lose_every": 3, "slow_ms": 5})
    time.sleep(generator.uniform(0.2, 0.6))
    system.control(name, "fault", {"lose_every": 0, "slow_ms": 0})


@faults.register("kill-engine")
def kill_engine(system: System, generator: random.Random) -> None:
    """Kill an engine and start it again with an empty cache."""
    names = [name for name in system.processes if name.startswith("engine")]
    name = generator.choice(names)
    system.processes[name].kill()
    time.sleep(generator.uniform(0.1, 0.5))
    system.restart(name)


@faults.register("pause-engine")
def pause_engine(system: System, generator: random.Random) -> None:
    """Stop an engine for a while and let it go on."""
    names = [name for name in system.processes if name.startswith("engine")]
    process = system.processes[generator.choice(names)]
    process.signal(signal.SIGSTOP)
    time.sleep(generator.uniform(0.2, 1.5))
    process.signal(signal.SIGCONT)


@faults.register("cut-streams")
def cut_streams(system: System, generator: random.Random) -> None:
    """Let an engine cut its connections, and cross and double events."""
    names = [name for name in system.processes if name.startswith("engine")]
    name = generator.choice(names)
    fault = {"cut_after_tokens": generator.randint(2, 9), "cross_every": 3}
    for value, wait_s in ((fault, generator.uniform(0.3, 1.0)), ({}, 0.0)):
        try:
            system.control(name, "fault", value)
        except UnwrapError:
            return
        time.sleep(wait_s)


class Chaos:
    """Cause faults one after another, or two at once, until told to stop."""

    def __init__(self, system: System, names: list[str], seed: int, lanes: int = 2):
        self.system = system
        self.names = names
        self.seed = seed
        self.lanes = lanes
        self.stopping = threading.Event()
        self.caused: list[str] = []
        self.errors: list[Exception] = []
        self.lock = threading.Lock()
        self.threads = [
            threading.Thread(target=self.run, args=(lane,)) for lane in range(lanes)
        ]

    def __enter__(self) -> "Chaos":
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, lane: int) -> None:
        """Cause the faults of one lane."""
        generator = random.Random(self.seed * 100 + lane)
        names = self.names[lane :: self.lanes]
        while not self.stopping.wait(generator.uniform(0.1, 0.5)):
            name = generator.choice(names)
            try:
                faults.get(name)(self.system, generator)
            except Exception as error:
                self.errors.append(error)
            with self.lock:
                self.caused.append(name)
