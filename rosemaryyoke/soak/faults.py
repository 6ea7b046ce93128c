"""Series of faults, filed by name; each undoes what it did."""

import random
import signal
import threading
from contextlib import contextmanager
from typing import Callable, Iterator

from attrs import define, field

from rosemaryyoke.core import Registry
from rosemaryyoke.platform.standins.documents import make_route
from rosemaryyoke.soak.ledger import now_s
from rosemaryyoke.soak.link import BACK, BOTH, FORWARD, Link
from rosemaryyoke.soak.scene import HostProcess, Scene, WorkingPlace

SHORT_S = (0.1, 0.6)
LONG_S = (0.3, 3.0)
DELAY_S = (0.02, 0.6)
REST_S = (0.05, 0.8)  # between two faults of one series
BURST = 8
LOST_WRITES = 3
WAYS = (BOTH, frozenset({FORWARD}), frozenset({BACK}))


@define(eq=False)
class Cause:
    """What a fault has to act on: the scene, its luck, and how long it may wait."""

    scene: Scene
    luck: random.Random
    stopping: threading.Event

    def wait(self, bounds_s: tuple[float, float]) -> None:
        """Wait for a drawn time, or until the soak ends."""
        self.stopping.wait(self.luck.uniform(*bounds_s))


Fault = Callable[[Cause], None]

faults: Registry[Fault] = Registry("soak fault")


@contextmanager
def taken(lock: threading.Lock) -> Iterator[bool]:
    """Hold a lock if it is free; say whether it is."""
    free = lock.acquire(blocking=False)
    try:
        yield free
    finally:
        if free:
            lock.release()


@contextmanager
def a_host(cause: Cause) -> Iterator[HostProcess | None]:
    """Hold a drawn host that no other process fault has, or none."""
    host = cause.luck.choice(cause.scene.hosts)
    with taken(host.lock) as free:
        yield host if free else None


@contextmanager
def a_place(cause: Cause, service: str = "") -> Iterator[WorkingPlace | None]:
    """Hold a drawn upstream that no other fault has, or none."""
    places = [p for p in cause.scene.places if service in ("", p.service)]
    place = cause.luck.choice(places)
    with taken(place.lock) as free:
        yield place if free else None


def end_and_start(cause: Cause, number: signal.Signals, gone_s: tuple) -> None:
    """End a host by a signal, and start it again after a while."""
    with a_host(cause) as host:
        if host is not None:
            host.end(number)
            cause.wait(gone_s)
            host.start()
            cause.wait(LONG_S)


@faults.register("host killed")
def kill_host(cause: Cause) -> None:
    """Kill a host, and start it again."""
    end_and_start(cause, signal.SIGKILL, LONG_S)


@faults.register("host frozen")
def freeze_host(cause: Cause) -> None:
    """Stop a host for a while."""
    with a_host(cause) as host:
        if host is not None:
            host.send(signal.SIGSTOP)
            cause.wait(LONG_S)
            cause.scene.thaw(host)
            cause.wait(SHORT_S)


@faults.register("host stopped in good order")
def stop_host(cause: Cause) -> None:
    """Ask a host to stop, and start it again."""
    end_and_start(cause, signal.SIGTERM, SHORT_S)


@faults.register("host told to reload")
def reload_host(cause: Cause) -> None:
    """Let a host that is ready read its settings again."""
    with a_host(cause) as host:
        if host is not None and host.is_ready():
            host.send(signal.SIGHUP)
            cause.wait(SHORT_S)


@faults.register("store cut off from a host")
def cut_store(cause: Cause) -> None:
    """Silence or refuse one host's link to the store."""
    disturb(cause, cause.luck.choice(cause.scene.hosts).store)


@faults.register("callers' link of a host")
def disturb_callers(cause: Cause) -> None:
    """Delay, silence or reset the link of a host's callers."""
    disturb(cause, cause.luck.choice(cause.scene.hosts).callers)


@faults.register("link to an upstream")
def disturb_upstream(cause: Cause) -> None:
    """Delay, silence, refuse or reset the link to an upstream."""
    with a_place(cause) as place:
        if place is not None:
            disturb(cause, place.link)


def disturb(cause: Cause, link: Link) -> None:
    """Set one of a link's faults for a while."""
    kind = cause.luck.choice(("delay", "silence", "refuse", "reset"))
    if kind == "delay":
        link.delay_s = cause.luck.uniform(*DELAY_S)
    if kind == "silence":
        link.silent = cause.luck.choice(WAYS)
    if kind == "refuse":
        link.refusing = True
    if kind in ("refuse", "reset"):
        link.reset()
    cause.wait(SHORT_S if kind == "delay" else LONG_S)
    link.heal()


@faults.register("upstream crashed")
def crash_upstream(cause: Cause) -> None:
    """End what an upstream does, and let it come back without orders."""
    with a_place(cause) as place:
        if place is not None:
            place.link.refusing = True
            place.link.reset()
            place.upstream.orders = 0
            cause.wait(LONG_S)
            place.link.heal()


@faults.register("upstream drained")
def drain_upstream(cause: Cause) -> None:
    """List an upstream as draining for a while."""
    with a_place(cause) as place:
        if place is not None:
            cause.scene.list_place(place, "draining")
            cause.wait(LONG_S)
            cause.scene.list_place(place)


@faults.register("upstream replaced at its address")
def replace_upstream(cause: Cause) -> None:
    """Let another upstream take an address over before its first is off the list."""
    with a_place(cause) as place:
        if place is not None:
            old = place.upstream.name
            place.generation += 1
            place.link.reset()
            place.upstream.name = f"{old.partition('.')[0]}.{place.generation}"
            place.upstream.orders = 0
            place.upstream.version = max(place.upstream.version, cause.scene.weights)
            cause.wait(SHORT_S)
            cause.scene.store.remove("servers", old)
            cause.wait(SHORT_S)
            cause.scene.list_place(place)


@faults.register("store fails")
def fail_store(cause: Cause) -> None:
    """Let the store be down, be slow, lose answers, write late, or forget."""
    store = cause.scene.store
    with taken(cause.scene.store_lock) as free:
        if not free:
            return
        kind = cause.luck.choice(("down", "slow", "lose", "late", "forget"))
        store.down = kind == "down"
        store.call_delay_s = cause.luck.uniform(*DELAY_S) if kind == "slow" else 0.0
        store.writes_to_lose = LOST_WRITES if kind in ("lose", "late") else 0
        store.lost_write_delay_s = (
            cause.luck.uniform(*LONG_S) if kind == "late" else 0.0
        )
        if kind == "forget":
            store.forget_history()
        cause.wait(LONG_S)
        store.down, store.writes_to_lose, store.call_delay_s = False, 0, 0.0


@faults.register("burst of configurations")
def burst_configurations(cause: Cause) -> None:
    """Put several configurations in force, one right after another."""
    with taken(cause.scene.store_lock) as free:
        for number in range(BURST if free else 0):
            cause.scene.publish((make_route(f"burst-{number}"),))
            cause.wait(REST_S)


@faults.register("new weights")
def name_weights(cause: Cause) -> None:
    """Name new weights of the model."""
    cause.scene.name_weights()
    cause.wait(LONG_S)


@define(eq=False)
class Series:
    """Series of faults that overlap, each drawn by its own seed."""

    scene: Scene
    seed: int
    lanes: int
    names: list[str] = field(factory=faults.names)
    stopping: threading.Event = field(factory=threading.Event)
    caused: list[tuple[float, float, str]] = field(factory=list)
    errors: list[str] = field(factory=list)
    threads: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Start every series."""
        for lane in range(self.lanes):
            thread = threading.Thread(target=self.run, args=(lane,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """End the series when their faults are undone."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run(self, lane: int) -> None:
        """Cause one fault after another."""
        luck = random.Random(f"{self.seed}/{lane}")
        cause = Cause(self.scene, luck, self.stopping)
        while not self.stopping.wait(luck.uniform(*REST_S)):
            name = luck.choice(self.names)
            began_s = now_s()
            try:
                faults.get(name)(cause)
            except Exception as error:
                self.errors.append(f"{name}: {error!r}")
            self.caused.append((began_s, now_s(), name))
