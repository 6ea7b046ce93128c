"""All upstreams as a host sees them."""

import functools
import hashlib
import threading
import time
from collections import deque
from typing import Callable, Collection, Sequence

from attrs import define, field, frozen

from rosemaryyoke.catalog import Catalog, Upstream
from rosemaryyoke.fleet.belief import ReadPart
from rosemaryyoke.fleet.state import (
    SILENCE_TOLD_S,
    TRIAL_SHARE,
    RemoteLoad,
    UpstreamState,
    Work,
)
from rosemaryyoke.fleet.stores import CacheStores

KEY_BYTES = 4
KEYS_KEPT = 4_096  # of upstreams; the plan has 600
LOADING_TOLD_S = 3.0  # beacons of a large fleet come each second, some are lost
LEAST_TOLD = 0.02  # requests under way
READS_TOLD = 12  # in one beacon
READS_KEPT = 64
TRIAL_HOSTS = 10  # of a fleet in which each host tries by itself
LIST_LAG_S = 2.0  # registrations show new weights at the next heartbeat


@functools.lru_cache(KEYS_KEPT)
def upstream_key(name: str) -> int:
    """Return a number that stands for an upstream where its name takes much room."""
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


@define
class OwnLoad:
    """What this host has under way at an upstream on average, for other hosts."""

    upstream: str
    running: float
    prefill_tokens: int
    tokens: int


@frozen
class PromptRead:
    """A prompt that an upstream has read, and whether its store has it now."""

    upstream: str
    parts: tuple[ReadPart, ...]
    saved: bool = False


@define(eq=False)
class Fleet:
    """Upstreams by name; every change is made under the lock."""

    catalog: Catalog
    stores: CacheStores = field(factory=CacheStores)
    untold: deque[PromptRead] = field(factory=lambda: deque(maxlen=READS_KEPT))
    states: dict[str, UpstreamState] = field(factory=dict)
    names_by_key: dict[int, str] = field(factory=dict)
    hosts: int = 1
    loaded_by: dict[str, set[str]] = field(factory=dict)
    lock: threading.RLock = field(factory=threading.RLock)
    now_s: Callable[[], float] = time.monotonic

    def follow(self) -> None:
        """Take in the catalog's upstreams."""
        configuration = self.catalog.configuration
        upstreams = self.catalog.upstreams
        services = configuration.services if configuration else {}
        with self.lock:
            self.stores.follow(list(services.values()))
            for name in self.states.keys() - upstreams.keys():
                del self.states[name]
            self.names_by_key = {upstream_key(name): name for name in upstreams}
            for upstream in upstreams.values():
                service = services.get(upstream.service)
                self._take(upstream, service.engine if service else None)

    def _take(self, upstream: Upstream, traits) -> None:
        state = self.states.get(upstream.name)
        if state is None or state.upstream.address != upstream.address:
            self.states[upstream.name] = UpstreamState(upstream, traits)
            return
        if state.traits != traits:
            state.traits = traits
            state.__attrs_post_init__()
        state.upstream = upstream
        now_s = self.now_s()
        for model, version in upstream.weights.items():
            known = state.weights.get(model, 0)
            if version > known or now_s - state.weights_seen_s > LIST_LAG_S:
                state.take_weights(model, version, state.weights_seen_s)

    def of_service(self, service: str) -> list[UpstreamState]:
        """Return the states of a service's upstreams."""
        return [
            state for state in self.states.values() if state.upstream.service == service
        ]

    def begin(self, state: UpstreamState, tokens: int, prefill_tokens: int) -> Work:
        """Note that a request is sent to an upstream."""
        work = Work(tokens, prefill_tokens, self.now_s())
        with self.lock:
            state.begin(work)
        return work

    def prefilled(self, state: UpstreamState, work: Work, read: PromptRead) -> None:
        """Note that a request's prompt is read: its first event came."""
        with self.lock:
            state.began_to_answer()
            state.prefilled(work, self.now_s())
        self.take_read(read)
        if len(read.parts) > 1:
            self.untold.append(read)

    def take_read(self, read: PromptRead) -> None:
        """Take in that an upstream has read a prompt."""
        with self.lock:
            state = self.states.get(read.upstream)
            if state is not None:
                state.belief.add(read.parts)
            store = self.stores.of_prompt(read.parts[:-1]) if read.saved else None
            if store is not None:
                store.add(read.parts[:-1], self.now_s())

    def hear_read(self, read: PromptRead) -> None:
        """Take in what another host tells: an upstream has read a prompt."""
        with self.lock:
            self.take_read(read)
            state = self.states.get(read.upstream)
            if state is not None:
                state.read_heard_s = self.now_s()

    def reads_to_tell(self) -> tuple[PromptRead, ...]:
        """Return the reads that other hosts were not told of yet, a bounded number."""
        reads = []
        while self.untold and len(reads) < READS_TOLD:
            reads.append(self.untold.popleft())
        return tuple(reads)

    def end(self, state: UpstreamState, work: Work) -> None:
        """Note that a request is no longer under way."""
        with self.lock:
            state.end(work, self.now_s())

    def own_loads(self) -> list[OwnLoad]:
        """Return what this host has under way at each upstream."""
        now_s = self.now_s()
        with self.lock:
            for state in self.states.values():
                state.mean_load.take(state.under_way, now_s)
            return [
                OwnLoad(
                    name,
                    state.mean_load.running,
                    int(state.mean_load.prefill_tokens),
                    int(state.mean_load.tokens),
                )
                for name, state in self.states.items()
                if state.mean_load.running > LEAST_TOLD
            ]

    def loads_of(self, hosts: Collection[str]) -> list[OwnLoad]:
        """Return what this host and some others have under way at each upstream."""
        loads = []
        own = {load.upstream: load for load in self.own_loads()}
        with self.lock:
            for name, state in self.states.items():
                told = [item for host, item in state.remote.items() if host in hosts]
                told += [own[name]] if name in own else []
                if told:
                    loads.append(
                        OwnLoad(
                            name,
                            sum(item.running for item in told),
                            sum(item.prefill_tokens for item in told),
                            sum(item.tokens for item in told),
                        )
                    )
        return loads

    def loading_of(self, hosts: Collection[str]) -> list[str]:
        """Return the upstreams that some other hosts have load weights."""
        now_s = self.now_s()
        with self.lock:
            return [
                name
                for name, state in self.states.items()
                if state.loading(now_s) and state.loading_told_by in hosts
            ]

    def silent_of(self, hosts: Collection[str]) -> list[str]:
        """Return the upstreams that are silent to this host or to some others."""
        oldest_s = self.now_s() - SILENCE_TOLD_S
        with self.lock:
            return [
                name
                for name, state in self.states.items()
                if state.silent
                or any(
                    told_s >= oldest_s and host in hosts
                    for host, told_s in state.silence_told_s.items()
                )
            ]

    def take_silent(self, host: str, names: Collection[str]) -> None:
        """Take in which upstreams are silent to another host."""
        now_s = self.now_s()
        with self.lock:
            for name, state in self.states.items():
                if name in names:
                    state.silence_told_s[host] = now_s
                else:
                    state.silence_told_s.pop(host, None)

    def trial_share(self) -> float:
        """Return the share of requests that may try an upstream which was silent.

        The hosts of a large fleet try for one another.
        """
        return TRIAL_SHARE * min(1.0, TRIAL_HOSTS / self.hosts)

    def take_loading(self, host: str, names: Sequence[str], now_s: float) -> None:
        """Take in which upstreams another host has load weights now."""
        with self.lock:
            for name, state in self.states.items():
                if name in names:
                    state.loading_until_s = now_s + LOADING_TOLD_S
                    state.loading_told_by = host
                elif state.loading_told_by == host:
                    state.loading_until_s = 0.0
                    state.loading_told_by = ""

    def take_loads(self, host: str, loads: list[OwnLoad]) -> None:
        """Take in what another host has under way."""
        now_s = self.now_s()
        told = {load.upstream for load in loads}
        with self.lock:
            for name in self.loaded_by.get(host, frozenset()) - told:
                if name in self.states:
                    self.states[name].remote.pop(host, None)
            self.loaded_by[host] = told
            for load in loads:
                state = self.states.get(load.upstream)
                if state is not None:
                    state.remote[host] = RemoteLoad(
                        load.running, load.prefill_tokens, load.tokens, now_s
                    )
