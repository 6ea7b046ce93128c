"""A host's view of all upstreams."""

import functools
import hashlib
import math
import random
import threading
import time
from collections import deque
from typing import Callable, Collection, Iterable, Sequence

from attrs import define, field, frozen

from rosemaryyoke.catalog import Catalog, Upstream
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.messages import ResponseMetadata
from rosemaryyoke.fleet.cache_estimate import HashedPart
from rosemaryyoke.fleet.notices import (
    NoticeRegister,
    has_notice,
    incarnation_key,
    incarnation_of,
    is_same_incarnation,
    sample_departures,
)
from rosemaryyoke.fleet.rate_limits import REPORT_TOLERANCE_S, LimitReport
from rosemaryyoke.fleet.room import BRITTLE_TTL_S, BrittleReport
from rosemaryyoke.fleet.state import (
    PROBE_SHARE,
    REMOTE_LOAD_TTL_S,
    SILENCE_REPORT_TTL_S,
    ActiveRequest,
    RemoteLoad,
    UpstreamState,
)
from rosemaryyoke.fleet.stores import CacheStores
from rosemaryyoke.quarantine import Quarantine

KEY_BYTES = 4
KEY_CACHE_SIZE = 4_096  # upstream names; the planned fleet has 600 upstreams
LOADING_REPORT_TTL_S = 3.0  # large fleets send beacons once a second, and some are lost
MIN_REPORTED_RUNNING = 0.02  # mean number of running requests
PREFILLS_PER_BEACON = 12
MAX_UNSENT_PREFILLS = 64
MAX_REPORTED_LIMITS = 32  # per datagram
BRITTLE_UPDATE_S = 0.25  # between updates of all upstreams of a service
BRITTLE_REPORT_S = 3.0  # since this host, or another one, had such an answer
MAX_PROBING_HOSTS = 10  # with more hosts, the probe share per host is reduced
# Whose loads are kept: those of HostTable and of data centres. Reports name their host,
# and strangers may name any.
MAX_REPORTING_HOSTS = 1_100
REGISTRATION_LAG_S = 2.0  # registrations report new weights only at the next heartbeat


@functools.lru_cache(KEY_CACHE_SIZE)
def upstream_key(name: str) -> int:
    """Return a hash of an upstream's name, for messages with no room for names."""
    digest = hashlib.blake2b(name.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def service_key(service: str) -> int:
    """Return a hash of a service's name, for messages with no room for names."""
    return upstream_key(f"service {service}")


@define
class UpstreamLoad:
    """The mean load that one or more hosts place on an upstream.

    Hosts report it to each other.
    """

    upstream: str
    running: float
    prefill_tokens: int
    tokens: int


@frozen
class PromptPrefill:
    """A prefilled prompt, and whether the upstream's store now holds its KV."""

    upstream: str
    parts: tuple[HashedPart, ...]
    saved: bool = False


@define(eq=False)
class Fleet:
    """States of all upstreams by name; the lock guards every change.

    ``host`` is this host's name; ``sharing_hosts`` are the hosts among which limits are
    divided. ``unreachable_services`` are those that this host reaches no upstream of,
    ``brittle_services`` maps those with brittle upstreams to when an answer last said
    so.
    """

    catalog: Catalog
    stores: CacheStores = field(factory=CacheStores)
    notices: NoticeRegister = field(factory=NoticeRegister)
    quarantine: Quarantine = field(factory=Quarantine)
    unsent_prefills: deque[PromptPrefill] = field(
        factory=lambda: deque(maxlen=MAX_UNSENT_PREFILLS)
    )
    states: dict[str, UpstreamState] = field(factory=dict)
    names_by_key: dict[int, str] = field(factory=dict)
    hosts: int = 1
    host: str = ""
    sharing_hosts: tuple[str, ...] = ("",)
    unreachable_services: set[str] = field(factory=set)
    brittle_services: dict[str, float] = field(factory=dict)
    upstreams_by_host: dict[str, set[str]] = field(factory=dict)
    lock: threading.RLock = field(factory=threading.RLock)
    now_s: Callable[[], float] = time.monotonic

    def refresh(self) -> None:
        """Update the states and stores from the catalog."""
        configuration = self.catalog.configuration
        upstreams = self.catalog.upstreams
        services = configuration.services if configuration else {}
        with self.lock:
            self.stores.refresh(list(services.values()))
            for name in self.states.keys() - upstreams.keys():
                del self.states[name]
            self.notices.expire(upstreams, self.now_s())
            self.names_by_key = {upstream_key(name): name for name in upstreams}
            for upstream in upstreams.values():
                service = services.get(upstream.service)
                self._update_upstream(upstream, service.engine if service else None)

    def _update_upstream(self, upstream: Upstream, traits) -> None:
        state = self.states.get(upstream.name)
        if state is None or not is_same_incarnation(state.upstream, upstream):
            notices = self.notices.find(upstream)
            state = UpstreamState(upstream, traits, notices=notices)
            service_s = self.brittle_services.get(upstream.service, -math.inf)
            state.room.brittle_s = service_s
            self.states[upstream.name] = state
            self.divide(state)
            return
        if state.traits != traits:
            state.traits = traits
            state.__attrs_post_init__()
        state.upstream = upstream
        now_s = self.now_s()
        for model, version in upstream.weights.items():
            known = state.weights.get(model, 0)
            if version > known or now_s - state.weights_seen_s > REGISTRATION_LAG_S:
                seen_s = state.weights_seen_s
                state.update_weights(model, version, seen_s, "registration")

    def states_of_service(self, service: str) -> list[UpstreamState]:
        """Return the states of a service's upstreams."""
        return [
            state for state in self.states.values() if state.upstream.service == service
        ]

    def begin(
        self, state: UpstreamState, tokens: int, prefill_tokens: int
    ) -> ActiveRequest:
        """Record that a request is sent to an upstream."""
        active = ActiveRequest(tokens, prefill_tokens, self.now_s())
        with self.lock:
            state.begin(active)
        return active

    def prefilled(
        self, state: UpstreamState, active: ActiveRequest, prefill: PromptPrefill
    ) -> None:
        """Record that a prompt is prefilled, as the first answer event shows."""
        with self.lock:
            state.mark_responding()
            state.prefilled(active, self.now_s())
        self.record_prefill(prefill)
        if len(prefill.parts) > 1:
            self.unsent_prefills.append(prefill)

    def record_prefill(self, prefill: PromptPrefill) -> None:
        """Add a prefilled prompt to the cache and store estimates."""
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

    def record_served_weights(
        self, state: UpstreamState, model: str, version: int | None
    ) -> None:
        """Record the version that the response to a request names, if it is newer.

        An older one may have been sent before the weights were replaced.
        """
        with self.lock:
            if model and version is not None and version > state.weights.get(model, 0):
                state.update_weights(model, version, self.now_s(), "response")

    def record_remote_prefill(self, prefill: PromptPrefill) -> None:
        """Record a prefill that another host reports, and the time of the report."""
        with self.lock:
            self.record_prefill(prefill)
            state = self.states.get(prefill.upstream)
            if state is not None:
                state.prefill_reported_s = self.now_s()

    def next_unsent_prefills(self) -> tuple[PromptPrefill, ...]:
        """Remove and return the prefills to report in the next beacon.

        At most ``PREFILLS_PER_BEACON`` are returned.
        """
        prefills = []
        while self.unsent_prefills and len(prefills) < PREFILLS_PER_BEACON:
            prefills.append(self.unsent_prefills.popleft())
        return tuple(prefills)

    def end(self, state: UpstreamState, active: ActiveRequest) -> None:
        """Record that a request has ended."""
        with self.lock:
            state.end(active, self.now_s())

    def own_loads(self) -> list[UpstreamLoad]:
        """Return the mean load that this host places on each upstream."""
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
        """Return the total load that this host and ``hosts`` place on each upstream."""
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
        """Return the upstreams that load weights by order of ``hosts``."""
        now_s = self.now_s()
        with self.lock:
            return [
                name
                for name, state in self.states.items()
                if state.loading(now_s) and state.loading_reported_by in hosts
            ]

    def silent_upstreams(self, hosts: Collection[str]) -> list[str]:
        """Return the upstreams that this host or some of ``hosts`` find silent.

        If this host reaches none of a service, that says nothing about each of them.
        """
        oldest_s = self.now_s() - SILENCE_REPORT_TTL_S
        with self.lock:
            return [
                name
                for name, state in self.states.items()
                if (
                    state.silent
                    and state.upstream.service not in self.unreachable_services
                )
                or any(
                    reported_s >= oldest_s and host in hosts
                    for host, reported_s in state.silence_reported_s.items()
                )
            ]

    def update_silent(self, host: str, names: Collection[str]) -> None:
        """Replace the set of upstreams that another host reports as silent."""
        now_s = self.now_s()
        with self.lock:
            for name, state in self.states.items():
                if name in names:
                    state.silence_reported_s[host] = now_s
                else:
                    state.silence_reported_s.pop(host, None)

    def record_notices(
        self,
        state: UpstreamState,
        metadata: ResponseMetadata,
        sent_s: float = -math.inf,
    ) -> None:
        """Record what an upstream announces in the head of an answer.

        ``sent_s`` is when the request was sent. Its registration may have lapsed and
        returned since then.
        """
        now_s = self.now_s()
        self.record_brittleness(state, metadata.brittle, sent_s)
        if not has_notice(metadata) and state.notices.limit.limit_per_s is None:
            return
        with self.lock:
            current = self.states.get(state.upstream.name, state)
            if is_same_incarnation(current.upstream, state.upstream):
                state = current
            state.notices.record(state.upstream, metadata, now_s)
            self.record_limit(state, metadata, sent_s, now_s)
            self.notices.keep(state.upstream, state.notices, now_s)

    def record_brittleness(
        self, state: UpstreamState, brittle: bool, sent_s: float
    ) -> None:
        """Record whether an answer says that the upstreams of a service are brittle.

        It takes effect at all of them; each ends it by an answer that does not say so.
        """
        if not brittle:
            state.room.plain_s = max(state.room.plain_s, sent_s)
            return
        self.mark_brittle(state.upstream.service, self.now_s())

    def mark_brittle(
        self, service: str, observed_s: float, reported_by: str | None = None
    ) -> None:
        """Record when an answer last said that a service's upstreams are brittle."""
        known_s = self.brittle_services.get(service, -math.inf)
        if observed_s < known_s + BRITTLE_UPDATE_S:
            return
        with self.lock:
            self.brittle_services[service] = observed_s
            for state in self.states_of_service(service):
                state.room.brittle_s = observed_s
        if observed_s - known_s > BRITTLE_TTL_S:
            log_event("upstreams brittle", service=service, reported_by=reported_by)

    def brittle_reports(self) -> tuple[BrittleReport, ...]:
        """Return the services with brittle upstreams, to tell the other hosts."""
        now_s = self.now_s()
        with self.lock:
            return tuple(
                BrittleReport(service_key(service), observed_s)
                for service, observed_s in self.brittle_services.items()
                if now_s - observed_s < BRITTLE_REPORT_S
            )

    def record_brittle(self, host: str, reports: Sequence[BrittleReport]) -> None:
        """Record what another host knows of brittle upstreams."""
        if not reports:
            return
        with self.lock:
            services = {state.upstream.service for state in self.states.values()}
        names = {service_key(service): service for service in services}
        for report in reports:
            if report.service_key in names:
                service = names[report.service_key]
                self.mark_brittle(service, report.observed_s, host)

    def record_limit(
        self,
        state: UpstreamState,
        metadata: ResponseMetadata,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record the limit that an answer names, or its end if it names none.

        Answers may overtake each other, so that only a request that was sent after the
        limit was last named can end it.
        """
        limit = state.notices.limit
        if metadata.malformed_limit is not None:
            return
        if metadata.limit_per_s is None and not sent_s > limit.observed_s:
            return
        self.update_limit(state, metadata.limit_per_s, now_s)

    def update_limit(
        self,
        state: UpstreamState,
        limit_per_s: float | None,
        observed_s: float,
        reported_by: str | None = None,
    ) -> None:
        """Set an upstream's limit, and this host's share of it."""
        limit, name = state.notices.limit, state.upstream.name
        changed = limit.observe(limit_per_s, observed_s)
        limit.divide(name, self.host, self.sharing_hosts, self.now_s())
        if changed and limit_per_s is not None:
            log_event(
                "upstream limited",
                upstream=name,
                limit_per_s=limit_per_s,
                share_per_s=round(limit.share_per_s, 3),
                hosts=len(self.sharing_hosts),
                reported_by=reported_by,
            )
        elif changed:
            log_event("upstream limit ended", upstream=name, reported_by=reported_by)

    def update_hosts(self, host: str, others: Iterable[str]) -> None:
        """Divide the limits among this host and the others that may be alive."""
        with self.lock:
            self.host, self.sharing_hosts = host, tuple(sorted({host, *others}))
            for state in self.states.values():
                self.divide(state)

    def divide(self, state: UpstreamState) -> None:
        """Compute this host's shares of an upstream's limit and room."""
        name, hosts = state.upstream.name, self.sharing_hosts
        state.notices.limit.divide(name, self.host, hosts, self.now_s())
        state.room.divide(state.upstream.slots, name, self.host, hosts)

    def limited_upstreams(self) -> list[str]:
        """Return the upstreams that name a limit."""
        with self.lock:
            return [
                name
                for name, state in self.states.items()
                if state.notices.limit.limit_per_s is not None
            ]

    def limit_reports(self) -> tuple[LimitReport, ...]:
        """Return the limits to tell the other hosts, a random sample of many."""
        now_s = self.now_s()
        with self.lock:
            limits = [
                (name, state.notices.limit) for name, state in self.states.items()
            ]
            reports = [
                LimitReport(name, limit.limit_per_s, limit.observed_s)
                for name, limit in limits
                if limit.is_reported(now_s)
            ]
        return tuple(random.sample(reports, min(MAX_REPORTED_LIMITS, len(reports))))

    def record_limits(self, host: str, reports: Iterable[LimitReport]) -> None:
        """Record what another host knows of limits, if that is newer."""
        with self.lock:
            for report in reports:
                state = self.states.get(report.upstream)
                if state is None:
                    continue
                known_s = state.notices.limit.observed_s
                if report.observed_s > known_s + REPORT_TOLERANCE_S:
                    self.update_limit(
                        state, report.limit_per_s, report.observed_s, host
                    )
                    self.notices.keep(state.upstream, state.notices, self.now_s())

    def departures(self) -> tuple[int, ...]:
        """Return the keys of the incarnations that announced their leaving.

        Those that all hosts learn of from the store are left out.
        """
        with self.lock:
            return sample_departures(
                (state.upstream, state.notices) for state in self.states.values()
            )

    def record_departures(self, host: str, keys: Collection[int]) -> None:
        """Record the incarnations that leave, as another host reports."""
        now_s = self.now_s()
        with self.lock:
            new = set(keys) - self.notices.departures()
            if not new:
                return
            for state in self.states.values():
                if incarnation_key(incarnation_of(state.upstream)) in new:
                    state.notices.mark_leaving(state.upstream, host)
                    self.notices.keep(state.upstream, state.notices, now_s)

    def probe_share(self) -> float:
        """Return the share of requests that may probe a silent upstream.

        Hosts report recoveries to each other, so each host of a large fleet probes
        less.
        """
        return PROBE_SHARE * min(1.0, MAX_PROBING_HOSTS / self.hosts)

    def update_loading(self, host: str, names: Sequence[str], now_s: float) -> None:
        """Replace the set of upstreams that load weights by another host's order."""
        with self.lock:
            for name, state in self.states.items():
                if name in names:
                    state.loading_until_s = now_s + LOADING_REPORT_TTL_S
                    state.loading_reported_by = host
                elif state.loading_reported_by == host:
                    state.loading_until_s = 0.0
                    state.loading_reported_by = ""

    def _forget_host(self, host: str) -> None:
        """Drop the reports of a host; the lock is held."""
        del self.upstreams_by_host[host]
        for state in self.states.values():
            state.remote.pop(host, None)
            state.silence_reported_s.pop(host, None)

    def update_remote_loads(
        self,
        host: str,
        loads: list[UpstreamLoad],
        valid_s: float = REMOTE_LOAD_TTL_S,
    ) -> None:
        """Replace the loads that another host reports, which are valid for a time."""
        now_s = self.now_s()
        reported = {load.upstream for load in loads}
        with self.lock:
            for name in self.upstreams_by_host.pop(host, frozenset()) - reported:
                if name in self.states:
                    self.states[name].remote.pop(host, None)
            self.upstreams_by_host[host] = reported
            if len(self.upstreams_by_host) > MAX_REPORTING_HOSTS:
                self._forget_host(next(iter(self.upstreams_by_host)))
            for load in loads:
                state = self.states.get(load.upstream)
                if state is not None:
                    state.remote[host] = RemoteLoad(
                        load.running,
                        load.prefill_tokens,
                        load.tokens,
                        now_s,
                        valid_s,
                    )
