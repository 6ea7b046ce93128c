"""Assemble the services of a routing host and run them."""

import signal
import time
from typing import Callable

from absl import logging
from attrs import define, evolve, field
from result import Err, Result

from rosemaryyoke.catalog import Catalog, CatalogSource, Follower
from rosemaryyoke.catalog.timing import ViewTiming
from rosemaryyoke.core import (
    Kernel,
    Metrics,
    PoolService,
    Service,
    SignalWaiter,
    TimerService,
    set_stack_size,
)
from rosemaryyoke.core.allocator import limit_heap_growth
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.connections import ConnectionPool
from rosemaryyoke.exchanges.directory import (
    Directory,
    DirectoryCodec,
    metrics_handler,
)
from rosemaryyoke.exchanges.forward import Forwarder
from rosemaryyoke.exchanges.messages import HeaderCodec
from rosemaryyoke.exchanges.server import (
    ConnectionServer,
    RequestLimits,
    store_no_body,
)
from rosemaryyoke.exchanges.settings import RoutingSettings
from rosemaryyoke.exchanges.stop_schedule import StopSchedule
from rosemaryyoke.exchanges.turns import TurnQueue
from rosemaryyoke.fleet import Fleet, PromptPrefill, RetryBudget
from rosemaryyoke.forwarding.envelope import MAX_ENVELOPE_BYTES
from rosemaryyoke.forwarding.hosts import ForwardingHosts
from rosemaryyoke.forwarding.reachability import Reachability
from rosemaryyoke.forwarding.receiver import ForwardedRequests, is_forwarded
from rosemaryyoke.hosts import Beacon, BeaconService, HostTable
from rosemaryyoke.hosts.ban_register import BanRegister
from rosemaryyoke.hosts.origin_exchange import OriginExchange
from rosemaryyoke.hosts.pacer import Pacer
from rosemaryyoke.hosts.registration import Registration
from rosemaryyoke.hosts.relay import CATALOG_PATH, CatalogRelay, answer_catalog_poll
from rosemaryyoke.hosts.transfer import StateTransfer, answer_state
from rosemaryyoke.hosts.version_check import VersionCheck
from rosemaryyoke.hosts.version_register import VersionRegister
from rosemaryyoke.hosts.view_guard import StoreReader, ViewGuard
from rosemaryyoke.hosts.view_report import ViewReport
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.http1 import Address, MessageLimits
from rosemaryyoke.memory import MemoryBudget, plan_memory
from rosemaryyoke.memory.plan import DEFAULT_MEMORY_MB
from rosemaryyoke.objects import ObjectApi, ReportingObjectApi
from rosemaryyoke.objects.eras import EraRecord
from rosemaryyoke.placement.rendezvous import rank
from rosemaryyoke.quotas import QuotaBounds
from rosemaryyoke.quotas.service import QuotaService
from rosemaryyoke.rollout import EngineClient
from rosemaryyoke.rollout.rollout import TICK_INTERVAL_S, Rollout

LOOKUP_LIFETIME_S = 1.0
STALE_LOOKUP_LIFETIMES = 3  # some callers keep a lookup for this many lifetimes
STOP_SERVING_SHARE = (
    0.42  # of the grace period; later requests could not finish within it
)
# Requests that come later may still run when the host ends, so they must be short.
ACCEPT_LONG_REQUESTS_S = 2.9
EXIT_MARGIN_S = 0.3
CLOSE_TIMEOUT_S = 0.15  # to tell callers that it ends; within the margin
AUXILIARY_MAX_CONNECTIONS = 64
# Of the connections for callers; each is one more task with its buffers.
FORWARDED_SHARE = 0.5
# The initial size on Linux, which counts it twice; it would grow to several megabytes.
SOCKET_BUFFER_BYTES = 64 * 1024
# Of the memory for all requests, for unfinished responses.
RESPONSES_SHARE = 0.5
REACHABILITY_PERIOD_S = 0.25
REGISTERS_PERIOD_S = 0.5
TRANSFER_PERIOD_S = 0.25
VIEW_REPORT_PERIOD_S = 0.25
POOL_SWEEP_PERIOD_S = 1.0
ORIGINS_PERIOD_S = 0.2
GAUGES_PERIOD_S = 2.0
CATALOG_TARGET = CATALOG_PATH.encode()
INITIAL_WEIGHTS_GRACE_S = (
    4.0  # for engines to load weights already announced when a host starts
)
ORDER_CANDIDATES = 2  # one takes over if the other fails


@define(eq=False)
class PlatformAdapter:
    """Platform-specific parts: the store, header codecs and engine calls."""

    api: ObjectApi
    source: CatalogSource
    codec: HeaderCodec
    directory: DirectoryCodec
    engines: EngineClient
    eras: EraRecord = field(factory=EraRecord)


@define(eq=False)
class OptionalService:
    """A service whose failure to start does not stop the host."""

    name: str
    service: Service

    def start(self) -> None:
        """Start the service, or log why it is disabled."""
        try:
            self.service.start()
        except OSError as error:
            logging.error("optional service %s is disabled: %s", self.name, error)

    def stop(self) -> None:
        """Stop the service."""
        self.service.stop()


class RoutingHost:
    """One host that routes exchanges."""

    def __init__(
        self,
        settings: RoutingSettings,
        adapter: PlatformAdapter,
        load_settings: Callable[[], Result[RoutingSettings, str]] | None = None,
    ):
        set_stack_size()
        limit_heap_growth()
        self.load_settings = load_settings
        self.settings = settings
        self.adapter = adapter
        self.boot = time.time_ns()
        self.leaving = False
        self.kernel = Kernel()
        self.create_services()

    def create_services(self) -> None:
        """Create the services and register them in start order."""
        settings, adapter, add = self.settings, self.adapter, self.kernel.add
        self.metrics = Metrics()
        self.plan_memory()
        timing = ViewTiming.for_bound(min(settings.drain_s, settings.apply_s))
        self.catalog = Catalog(eras=adapter.eras, timing=timing)
        self.fleet = Fleet(self.catalog)
        self.catalog.subscribe(self.fleet.refresh)
        self.catalog.subscribe(self.close_removed_upstreams)
        self.table = HostTable(settings.peers, settings.name, settings.data_centre)
        self.table.add_candidates(settings.seeds, time.monotonic())
        self.roles = WatcherRoles(
            settings.name, settings.data_centre, self.table, timing=timing
        )
        api = ReportingObjectApi(adapter.api, self.record_store_call)
        self.budget = RetryBudget(
            settings.retry_ratio, settings.retry_slack, settings.retry_window_s
        )
        self.connections = ConnectionPool()
        self.beacons = BeaconService(
            self.table,
            self.fleet,
            self.make_beacon,
            Pacer(settings.link_mbps),
            eras=adapter.eras,
        )
        self.reachability = Reachability(
            self.fleet, self.connections, self.beacons.send_now
        )
        self.origins = OriginExchange(self.table, self.beacons, self.catalog)
        self.catalog.subscribe(self.origins.update_versions)
        self.quotas = QuotaService(
            settings.name,
            self.table,
            self.beacons,
            self.catalog,
            self.metrics,
            QuotaBounds(
                settings.quota_window_s, settings.quota_overage, settings.quota_slack
            ),
            has_seeds=any(seed != settings.peers for seed in settings.seeds),
        )
        self.version_register = VersionRegister(
            api,
            adapter.source.feed,
            self.roles,
            self.origins.served,
            adapter.eras,
            self.catalog.is_fresh,
            self.record_store_call,
        )
        pool = PoolService()
        self.timer = TimerService(pool.executor)
        self.rollout = Rollout(
            f"{settings.name}-{self.boot:x}",
            settings.lease_s,
            api,
            adapter.engines,
            self.catalog,
            self.fleet,
            pool.executor,
            self.order_rank,
            self.beacons.send_now,
        )
        self.version_check = VersionCheck(
            adapter.source,
            self.catalog,
            lambda: self.roles.reaches_store(time.monotonic()),
            self.record_store_call,
            self.origins.add_versions,
        )
        self.origins.read_past = self.version_register.ensure_read
        self.origins.read_versions = self.version_check.read
        self.follower = self.make_follower()
        self.transfer = StateTransfer(
            adapter.source, self.catalog, self.roles, self.follower.replace_upstreams
        )
        self.relay = CatalogRelay(self.roles, self.catalog, self.transfer)
        self.view_guard = ViewGuard(
            self.catalog,
            self.roles,
            self.transfer,
            StoreReader(self.follower, self.roles, self.beacons.announce),
            self.beacons.announce,
        )
        self.view_report = ViewReport(self.catalog, self.roles, self.metrics)
        self.registration = Registration(
            api,
            adapter.source.feed,
            self.roles,
            settings.name,
            settings.peers,
            adapter.eras,
        )
        self.ban_register = BanRegister(
            api,
            adapter.source.feed,
            self.roles,
            self.fleet.quarantine,
            adapter.eras,
        )
        add("metrics", self.metrics)
        add("pool", pool)
        add("timer", self.timer)
        add("follower", self.follower)
        add("beacons", self.beacons)
        add("view_guard", self.view_guard)
        add("quotas", self.quotas)
        add("peers", self.peers_server())
        add("readiness", self.readiness_server())
        add("directory", self.directory_server())
        add("callers", self.callers_server())
        if settings.metrics_port:
            add("metrics_server", OptionalService("metrics", self.metrics_server()))

    def plan_memory(self) -> None:
        """Divide the memory of the machine among connections and requests."""
        settings = self.settings
        self.forwarded_limit = int(FORWARDED_SHARE * settings.max_connections)
        wanted = (
            settings.max_connections,
            self.forwarded_limit + AUXILIARY_MAX_CONNECTIONS,
            AUXILIARY_MAX_CONNECTIONS,
        )
        # Without a known memory, connections stay as they are set.
        memory_mb = settings.memory_mb or DEFAULT_MEMORY_MB
        self.plan = plan_memory(memory_mb, *wanted)
        if settings.memory_mb is None:
            self.plan = evolve(
                self.plan, callers=wanted[0], peers=wanted[1], auxiliary=wanted[2]
            )
        self.forwarded_limit = min(self.forwarded_limit, self.plan.peers)
        known = settings.memory_mb is not None
        self.socket_buffer_bytes = SOCKET_BUFFER_BYTES if known else 0
        self.memory = MemoryBudget(self.plan.budget_bytes)
        self.costly_turns = TurnQueue()

    def make_follower(self) -> Follower:
        """Return the tasks that follow the store or a watcher."""
        age_s = max(0.0, self.settings.weights_bound_s - INITIAL_WEIGHTS_GRACE_S)
        source = self.adapter.source
        follower = Follower(source, self.catalog, age_s, self.catalog.timing)
        upstreams = follower.upstream_follower
        upstreams.poll_peer = self.poll_watcher
        upstreams.on_call = self.record_store_read
        upstreams.may_call = self.may_read_store
        upstreams.is_orphan = self.is_orphan
        return follower

    def run(self) -> None:
        """Serve until SIGTERM, then stop gracefully."""
        signals = SignalWaiter(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        self.start()
        while set(signals.wait()) <= {signal.SIGHUP}:
            self.reload_settings()
        self.shut_down(signals.quiet_until_s)

    def start(self) -> None:
        """Start the services and the periodic jobs."""
        self.kernel.start()
        for period_s, job in self.periodic_jobs():
            self.timer.every(period_s, job)
        log_event("host started", host=self.settings.name, boot=self.boot)

    def periodic_jobs(self) -> tuple[tuple[float, Callable[[], None]], ...]:
        """Return the jobs of the timer, each with its period in seconds."""
        return (
            (TICK_INTERVAL_S, self.rollout.tick),
            (TRANSFER_PERIOD_S, self.transfer.fetch),
            (VIEW_REPORT_PERIOD_S, self.view_report.tick),
            (REGISTERS_PERIOD_S, self.registration.tick),
            (REGISTERS_PERIOD_S, self.ban_register.tick),
            (POOL_SWEEP_PERIOD_S, self.connections.close_expired),
            (POOL_SWEEP_PERIOD_S, self.update_host_count),
            (GAUGES_PERIOD_S, self.update_gauges),
            (REGISTERS_PERIOD_S, self.follower.remove_expired),
            (ORIGINS_PERIOD_S, self.origins.tick),
            (ORIGINS_PERIOD_S, self.version_register.tick),
            (REACHABILITY_PERIOD_S, self.reachability.tick),
        )

    def reload_settings(self) -> None:
        """Reload the settings; only the addresses of other hosts may change."""
        if self.load_settings is None:
            return
        settings = self.load_settings()
        if isinstance(settings, Err):
            logging.error("settings not reloaded: %s", settings.err_value)
            return
        self.table.add_candidates(settings.ok_value.seeds, time.monotonic())
        log_event("settings reloaded")

    def shut_down(self, signalled_s: float | None = None) -> None:
        """Announce the shutdown, serve callers with stale lookups, then stop.

        ``signalled_s`` is when SIGTERM may have been sent, by default now. The grace
        period begins then, though this process may have been suspended since.
        """
        started_s = time.monotonic() if signalled_s is None else signalled_s
        log_event("host shutting down", host=self.settings.name)
        self.leaving = True
        self.rollout.stopping = True
        # Unlike callers with a stale lookup, other hosts know where else to go.
        self.forwarded.leaving = True
        self.beacons.send_now()
        callers = self.kernel.get("callers")
        callers.disable_keep_alive()
        stop = self.forwarder.stop = plan_stop(started_s, self.settings.grace_s)
        callers.reject_new_requests(stop.serves_until_s)
        time.sleep(max(0.0, stop.serves_until_s - time.monotonic()))
        callers.close_idle()
        self.quotas.leave()
        idle = self.wait_idle(stop.ends_at_s)
        closed_s = time.monotonic() + CLOSE_TIMEOUT_S
        if not idle:
            logging.warning(
                "requests aborted at shutdown count=%d",
                callers.requests_in_progress + self.forwarded.under_way,
            )
            self.forwarder.end_running()
            if not self.wait_idle(closed_s):
                self.forwarder.log_unfinished()
        callers.stop()
        callers.wait_closed(closed_s)
        log_event("host stopped", host=self.settings.name)

    def wait_idle(self, deadline_s: float) -> bool:
        """Wait until no request is in progress; return whether that is so."""
        servers = (self.kernel.get("callers"), self.forwarded)
        return all([server.wait_idle(deadline_s) for server in servers])

    def is_ready(self) -> bool:
        """Return whether this host accepts requests from callers."""
        return self.catalog.is_loaded() and not self.leaving

    def make_beacon(
        self, sequence: int, reads: tuple[PromptPrefill, ...] = ()
    ) -> Beacon:
        """Return the beacon that this host sends to the others."""
        settings = self.settings
        configuration = self.catalog.configuration
        return Beacon(
            settings.name,
            self.boot,
            sequence,
            settings.callers,
            settings.peers,
            settings.data_centre,
            self.is_ready(),
            self.leaving,
            self.roles.reaches_store(time.monotonic()),
            configuration.version if configuration else 0,
            tuple(self.fleet.own_loads()),
            self.table.sample_addresses(time.monotonic()),
            self.rollout.loading(),
            reads,
            tuple(self.fleet.silent_upstreams(())),
            self.fleet.departures(),
            self.catalog.eras.current,
            self.fleet.quarantine.reported_bans(),
            self.fleet.limit_reports(),
            self.fleet.brittle_reports(),
            unreachable=self.reachability.unreachable_keys(),
            cut_off=self.reachability.is_cut_off(),
            reads_store=self.roles.reads_store(time.monotonic()),
            view_as_of_s=self.catalog.as_of_s(),
        )

    def addresses_for(self, data_centre: str) -> list[Address]:
        """Return the callers' addresses for a data centre."""
        now_s = time.monotonic()
        return self.table.client_addresses(data_centre, self.make_beacon(0), now_s)

    def order_rank(self, model: str) -> int | None:
        """Return this host's rank among those that may order a model's engines."""
        now_s = time.monotonic()
        reachable = self.roles.reaches_store(now_s) and self.catalog.is_fresh()
        if self.leaving or not reachable or self.reachability.is_cut_off():
            return None
        live = self.table.live_peers(now_s)
        names = [
            peer.beacon.host
            for peer in live
            if peer.beacon.ready
            and peer.beacon.store_reachable
            and not peer.beacon.cut_off
        ]
        key = f"orders/{model}".encode()
        ranked = rank(key, [*names, self.settings.name], ORDER_CANDIDATES)
        own = self.settings.name
        return ranked.index(own) if own in ranked else None

    def update_host_count(self) -> None:
        """Divide the retry budget and the upstreams' limits among the hosts."""
        self.budget.hosts = 1 + self.table.log_changes(time.monotonic())
        self.fleet.hosts = self.budget.hosts
        self.fleet.quarantine.hosts = self.budget.hosts
        self.fleet.update_hosts(self.settings.name, self.table.known_hosts())

    def poll_watcher(self) -> bool:
        """Poll another host for changes, unless this one reads the store."""
        return self.relay.poll()

    def is_orphan(self) -> bool:
        """Return whether this host reads the store only for lack of a watcher."""
        now_s = time.monotonic()
        return not (self.roles.is_watcher(now_s) or self.roles.is_prober(now_s))

    def may_read_store(self, is_watch: bool) -> bool:
        """Return whether to call the store though no other host can be polled.

        A host with a view is kept current by the guard of its view.
        """
        if not self.is_orphan() or not self.catalog.is_loaded():
            return True
        if is_watch:
            self.follower.upstream_follower.stop_reading()
        return False

    def record_store_read(self, success: bool) -> None:
        """Record whether the store answered a read of the upstreams."""
        self.roles.record_store_read(success, time.monotonic())

    def record_store_call(self, success: bool) -> None:
        """Record whether the store answered a call of this host."""
        self.roles.record_store_call(success, time.monotonic())

    def update_gauges(self) -> None:
        """Set the gauges of this host's state."""
        now_s = time.monotonic()
        with self.fleet.lock:
            states = list(self.fleet.states.values())
            usable = sum(state.accepts_requests(now_s) for state in states)
        gauges = {
            "hosts_live": self.budget.hosts,
            "requests_under_way": self.kernel.get("callers").requests_in_progress,
            "store_answers": int(self.catalog.is_fresh()),
            "upstreams_usable": usable,
            "connections_opened_total": self.connections.opened,
            "services_unreachable": len(self.reachability.unreachable),
            "upstreams_limited": len(self.fleet.limited_upstreams()),
            "parts_quarantined": len(self.fleet.quarantine.bans),
            "quota_roles_held": self.quotas.roles_held(),
            "crash_reports_total": self.fleet.quarantine.own_reports,
            "crash_reports_received_total": self.fleet.quarantine.received_reports,
        }
        for name, value in gauges.items():
            self.metrics.set(name, value)
        self.metrics.set("memory_reserved_bytes", self.memory.reserved_bytes)
        self.metrics.set("memory_limit_bytes", self.memory.limit_bytes)
        for reason, count in list(self.memory.refusals.items()):
            self.metrics.set("client_refusals_total", count, reason=reason)
        for phase, count in list(self.memory.evictions.items()):
            self.metrics.set("client_evictions_total", count, phase=phase)

    def close_removed_upstreams(self) -> None:
        """Close idle connections to removed upstreams."""
        known = self.connections.idle.keys() | self.connections.round_trips_s.keys()
        gone = known - self.catalog.upstreams.keys()
        if gone:
            self.connections.forget(set(gone))

    def request_limits(self) -> RequestLimits:
        """Return the request limits of the active configuration."""
        configuration = self.catalog.configuration
        if configuration is None:
            return RequestLimits()
        limits = configuration.limits
        return RequestLimits(
            MessageLimits(limits.head_bytes, limits.body_bytes),
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def callers_server(self) -> ConnectionServer:
        """Return the server of callers' requests."""
        self.forwarder = Forwarder(
            self.settings.data_centre,
            self.catalog,
            self.fleet,
            self.adapter.codec,
            self.connections,
            self.budget,
            self.metrics,
            self.settings.weights_bound_s,
            self.adapter.engines,
            self.origins,
            self.reachability,
            ForwardingHosts(self.table),
            self.quotas,
        )
        response_bytes = int(RESPONSES_SHARE * self.plan.budget_bytes)
        responses = self.forwarder.memory
        responses.limit_bytes = min(responses.limit_bytes, response_bytes)
        return ConnectionServer(
            self.settings.callers,
            self.forwarder.handle,
            self.plan.callers,
            limits=self.request_limits,
            rejection_handler=self.forwarder.reject_leaving,
            needs_body=self.forwarder.needs_body,
            budget=self.memory,
            costly_turns=self.costly_turns,
            write_stall_s=self.settings.write_stall_s,
            socket_buffer_bytes=self.socket_buffer_bytes,
        )

    def directory(self) -> Directory:
        """Return the handlers of lookups and readiness."""
        lifetime_s = min(LOOKUP_LIFETIME_S, self.settings.answer_lifetime_max_s)
        return Directory(
            self.adapter.directory, self.addresses_for, self.is_ready, lifetime_s
        )

    def directory_server(self) -> ConnectionServer:
        """Return the server of callers' lookups."""
        handler = self.directory().handle_query
        return self.auxiliary_server(self.settings.directory, handler, "directory")

    def readiness_server(self) -> ConnectionServer:
        """Return the server of readiness checks."""
        handler = self.directory().handle_readiness
        return self.auxiliary_server(self.settings.readiness, handler, "readiness")

    def peers_server(self) -> ConnectionServer:
        """Return the server of queries from other hosts, and what they forward."""
        self.forwarded = ForwardedRequests(
            self.table, self.catalog, self.handle_forwarded, self.forwarded_limit
        )

        def handler(message, caller) -> None:
            if is_forwarded(message):
                self.forwarded.handle(message, caller)
            elif message.target.startswith(CATALOG_TARGET):
                answer_catalog_poll(self.catalog, message, caller)
            else:
                answer_state(self.catalog, message, caller)

        return ConnectionServer(
            self.settings.peers,
            handler,
            self.plan.peers,
            "peers",
            limits=self.forwarded_limits,
            needs_body=self.forwarded.needs_body,
            budget=self.memory,
            costly_turns=self.costly_turns,
            write_stall_s=self.settings.write_stall_s,
            socket_buffer_bytes=self.socket_buffer_bytes,
        )

    def forwarded_limits(self) -> RequestLimits:
        """Return the limits of forwarded requests, which have an envelope."""
        limits = self.request_limits()
        message = limits.message
        return evolve(
            limits,
            message=evolve(message, head_bytes=message.head_bytes + MAX_ENVELOPE_BYTES),
        )

    def handle_forwarded(self, message, caller, envelope) -> None:
        """Handle a request that another host has forwarded."""
        self.forwarder.handle(message, caller, envelope)

    def metrics_server(self) -> ConnectionServer:
        """Return the server of the metrics."""
        address = Address(self.settings.callers.ip, self.settings.metrics_port)
        handler = metrics_handler(self.metrics.render)
        return self.auxiliary_server(address, handler, "metrics")

    def auxiliary_server(
        self, address: Address, handler, name: str
    ) -> ConnectionServer:
        """Return a small server with its own connection limit."""
        return ConnectionServer(
            address,
            handler,
            self.plan.auxiliary,
            name,
            needs_body=store_no_body,
            budget=self.memory,
            costly_turns=self.costly_turns,
            write_stall_s=self.settings.write_stall_s,
            socket_buffer_bytes=self.socket_buffer_bytes,
        )


def plan_stop(started_s: float, grace_s: float) -> StopSchedule:
    """Return until when a host serves that began to shut down at a time."""
    stale_s = STALE_LOOKUP_LIFETIMES * LOOKUP_LIFETIME_S + EXIT_MARGIN_S
    serving_s = min(stale_s, STOP_SERVING_SHARE * grace_s)
    return StopSchedule(
        started_s + min(ACCEPT_LONG_REQUESTS_S, serving_s),
        started_s + serving_s,
        started_s + grace_s - EXIT_MARGIN_S,
    )
