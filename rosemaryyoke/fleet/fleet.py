"""All upstreams as a host sees them."""

import functools
import hashlib
import threading
import time
from collections import deque
from typing import Callable, Collection, Sequence

from attrs import define, field, frozen

from rosemaryyoke.catalog import Catalog, Upstream
from rosemaryyoke.fleet.cache_estimate import HashedPart
from rosemaryyoke.fleet.state import (
    PROBE_SHARE,
    SILENCE_REPORT_TTL_S,
    ActiveRequest,
    RemoteLoad,
    UpstreamState,
)
from rosemaryyoke.fleet.stores import CacheStores

KEY_BYTES = 4
KEY_CACHE_SIZE = 4_096  # of upstreams; the plan has 600
LOADING_REPORT_TTL_S = 3.0  # beacons of a large fleet come each second, some are lost
MIN_REPORTED_RUNNING = 0.02  # requests under way
PREFILLS_PER_BEACON = 12  # in one beacon
MAX_UNSENT_PREFILLS = 64
MAX_PROBING_HOSTS = 10  # of a fleet in which each host tries by itself
REGISTRATION_LAG_S = 2.0  # registrations show new weights at the next heartbeat


@functools.lru_cache(KEY_CACHE_SIZE)
def upstream_key(name: str) -> int:
    """Return a number that stands for an upstream where its name takes much room."""
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


@define
class UpstreamLoad:
    """What this host has under way at an upstream on average, for other hosts."""

    upstream: str
    running: float
    prefill_tokens: int
    tokens: int


@frozen
class PromptPrefill:
    """A prompt that an upstream has read, and whether its store has it now."""

    upstream: str
    parts: tuple[HashedPart, ...]
    saved: bool = False


@define(eq=False)
class Fleet:
    """Upstreams by name; every change is made under the lock."""

    catalog: Catalog
    stores: CacheStores = field(factory=CacheStores)
    unsent_prefills: deque[PromptPrefill] = field(
        factory=lambda: deque(maxlen=MAX_UNSENT_PREFILLS)
    )
    states: dict[str, UpstreamState] = field(factory=dict)
    names_by_key: dict[int, str] = field(factory=dict)
    hosts: int = 1
    upstreams_by_host: dict[str, set[str]] = field(factory=dict)
    lock: threading.RLock = field(factory=threading.RLock)
    now_s: Callable[[], float] = time.monotonic

    def refresh(self) -> None:
        """Take in the catalog's upstreams."""
        configuration = self.catalog.configuration
        upstreams = self.catalog.upstreams
        services = configuration.services if configuration else {}
        with self.lock:
            self.stores.refresh(list(services.values()))
            for name in self.states.keys() - upstreams.keys():
                del self.states[name]
            self.names_by_key = {upstream_key(name): name for name in upstreams}
            for upstream in upstreams.values():
                service = services.get(upstream.service)
                self._update_upstream(upstream, service.engine if service else None)

    def _update_upstream(self, upstream: Upstream, traits) -> None:
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
            if version > known or now_s - state.weights_seen_s > REGISTRATION_LAG_S:
                state.update_weights(model, version, state.weights_seen_s)

    def states_of_service(self, service: str) -> list[UpstreamState]:
        """Return the states of a service's upstreams."""
        return [
            state for state in self.states.values() if state.upstream.service == service
        ]

    def begin(
        self, state: UpstreamState, tokens: int, prefill_tokens: int
    ) -> ActiveRequest:
        """Note that a request is sent to an upstream."""
        active = ActiveRequest(tokens, prefill_tokens, self.now_s())
        with self.lock:
            state.begin(active)
        return active

    def prefilled(
        self, state: UpstreamState, active: ActiveRequest, prefill: PromptPrefill
    ) -> None:
        """Note that a request's prompt is read: its first event came."""
        with self.lock:
            state.mark_responding()
            state.prefilled(active, self.now_s())
        self.record_prefill(prefill)
        if len(prefill.parts) > 1:
            self.unsent_prefills.append(prefill)

    def record_prefill(self, prefill: PromptPrefill) -> None:
        """Take in that an upstream has read a prompt."""
        with self.lock:
            state = self.states.get(prefill.upstream)
            if state is not None:
                state.cache_estimate.add(prefill.parts)
            store = (
                self.stores.store_for_prompt(prefill.parts[:-1])
                if prefill.saved
                else None
            )
            if store is not None:
                store.add(prefill.parts[:-1], self.now_s())

    def record_remote_prefill(self, prefill: PromptPrefill) -> None:
        """Take in what another host tells: an upstream has read a prompt."""
        with self.lock:
            self.record_prefill(prefill)
            state = self.states.get(prefill.upstream)
            if state is not None:
                state.prefill_reported_s = self.now_s()

    def next_unsent_prefills(self) -> tuple[PromptPrefill, ...]:
        """Return the reads that other hosts were not told of yet, a bounded number."""
        prefills = []
        while self.unsent_prefills and len(prefills) < PREFILLS_PER_BEACON:
            prefills.append(self.unsent_prefills.popleft())
        return tuple(prefills)

    def end(self, state: UpstreamState, active: ActiveRequest) -> None:
        """Note that a request is no longer under way."""
        with self.lock:
            state.end(active, self.now_s())

    def own_loads(self) -> list[UpstreamLoad]:
        """Return what this host has under way at each upstream."""
        now_s = self.now_s()
        with self.lock:
            for state in self.states.values():
                state.mean_load.update(state.under_way, now_s)
            return [
                UpstreamLoad(
                    name,
                    state.mean_load.running,
                    int(state.mean_load.prefill_tokens),
                    int(state.mean_load.tokens),
                )
                for name, state in self.states.items()
                if state.mean_load.running > MIN_REPORTED_RUNNING
            ]

    def combined_loads(self, hosts: Collection[str]) -> list[UpstreamLoad]:
        """Return what this host and some others have under way at each upstream."""
        loads = []
        own = {load.upstream: load for load in self.own_loads()}
        with self.lock:
            for name, state in self.states.items():
                reported = [
                    item for host, item in state.remote.items() if host in hosts
                ]
                reported += [own[name]] if name in own else []
                if reported:
                    loads.append(
                        UpstreamLoad(
                            name,
                            sum(item.running for item in reported),
                            sum(item.prefill_tokens for item in reported),
                            sum(item.tokens for item in reported),
                        )
                    )
        return loads

    def loading_upstreams(self, hosts: Collection[str]) -> list[str]:
        """Return the upstreams that some other hosts have load weights."""
        now_s = self.now_s()
        with self.lock:
            return [
                name
                for name, state in self.states.items()
                if state.loading(now_s) and state.loading_reported_by in hosts
            ]

    def silent_upstreams(self, hosts: Collection[str]) -> list[str]:
        """Return the upstreams that are silent to this host or to some others."""
        oldest_s = self.now_s() - SILENCE_REPORT_TTL_S
        with self.lock:
            return [
                name
                for name, state in self.states.items()
                if state.silent
                or any(
                    reported_s >= oldest_s and host in hosts
                    for host, reported_s in state.silence_reported_s.items()
                )
            ]

    def update_silent(self, host: str, names: Collection[str]) -> None:
        """Take in which upstreams are silent to another host."""
        now_s = self.now_s()
        with self.lock:
            for name, state in self.states.items():
                if name in names:
                    state.silence_reported_s[host] = now_s
                else:
                    state.silence_reported_s.pop(host, None)

    def probe_share(self) -> float:
        """Return the share of requests that may try an upstream which was silent.

        The hosts of a large fleet try for one another.
        """
        return PROBE_SHARE * min(1.0, MAX_PROBING_HOSTS / self.hosts)

    def update_loading(self, host: str, names: Sequence[str], now_s: float) -> None:
        """Take in which upstreams another host has load weights now."""
        with self.lock:
            for name, state in self.states.items():
                if name in names:
                    state.loading_until_s = now_s + LOADING_REPORT_TTL_S
                    state.loading_reported_by = host
                elif state.loading_reported_by == host:
                    state.loading_until_s = 0.0
                    state.loading_reported_by = ""

    def update_remote_loads(self, host: str, loads: list[UpstreamLoad]) -> None:
        """Take in what another host has under way."""
        now_s = self.now_s()
        reported = {load.upstream for load in loads}
        with self.lock:
            for name in self.upstreams_by_host.get(host, frozenset()) - reported:
                if name in self.states:
                    self.states[name].remote.pop(host, None)
            self.upstreams_by_host[host] = reported
            for load in loads:
                state = self.states.get(load.upstream)
                if state is not None:
                    state.remote[host] = RemoteLoad(
                        load.running, load.prefill_tokens, load.tokens, now_s
                    )
