"""Assemble the services of a host and run them."""

import signal
import time
from collections import Counter

from absl import logging

from rosemaryyoke.calls.claims import Claims
from rosemaryyoke.calls.services import ServiceCalls
from rosemaryyoke.core import (
    EventRecorder,
    Kernel,
    Metrics,
    PoolService,
    ProcessEnd,
    SignalWaiter,
    TimerService,
    set_stack_size,
)
from rosemaryyoke.core.allocator import limit_heap_growth
from rosemaryyoke.entry.app import HttpApi
from rosemaryyoke.limits import AccountLimiter
from rosemaryyoke.limits.shares import LimitShares
from rosemaryyoke.membership import Members
from rosemaryyoke.objects.adapters import platform_adapters
from rosemaryyoke.peers import Peers
from rosemaryyoke.placement.service import PlacementService
from rosemaryyoke.quarantine.service import QuarantineService
from rosemaryyoke.settings import Settings
from rosemaryyoke.spread import RevisionExchange, Revisions
from rosemaryyoke.streams import Relay
from rosemaryyoke.upstreams import UpstreamDirectory
from rosemaryyoke.upstreams.orders import RolloutController
from rosemaryyoke.wire import HttpServer, derive_limits

PROPAGATION_MARGIN_S = 2.0
END_TIMEOUT_S = 2.0  # calls to services notice the end within one second


class HttpApiServer:
    """The HTTP server as a kernel service."""

    def __init__(self, kernel: Kernel, settings: Settings):
        self.kernel = kernel
        app = kernel.get("entry").application()
        limits = derive_limits(settings.max_connections, settings.memory_mb)
        if limits.max_connections < settings.max_connections:
            logging.warning(
                "memory_mb=%d allows %d of %d connections",
                settings.memory_mb,
                limits.max_connections,
                settings.max_connections,
            )
        self.server = HttpServer(settings.address, settings.http_port, app, limits)

    def record_metrics(self, metrics: Metrics) -> None:
        """Set the metrics of what callers and strangers hold."""
        budget, peers = self.server.budget, self.kernel.get("peers").server
        metrics.set("memory_reserved_bytes", budget.reserved_bytes)
        metrics.set("memory_limit_bytes", budget.limit_bytes)
        refusals = Counter(budget.refusals) + peers.refusals
        for reason, count in refusals.items():
            metrics.set("client_refusals_total", count, reason=reason)
        evictions = Counter(budget.evictions) + peers.evictions
        for phase, count in evictions.items():
            metrics.set("client_evictions_total", count, phase=phase)

    def start(self) -> None:
        """Start the connection deadlines and accept connections."""
        self.server.schedule_deadline_checks(self.kernel.get("timer"))
        self.server.start()

    def stop(self) -> None:
        """Shut down without waiting: the grace period for running calls is over."""
        self.server.wait_idle(0.0)


class Host:
    """An entry host process."""

    def __init__(self, settings: Settings):
        set_stack_size()
        if settings.memory_mb is not None:
            limit_heap_growth()
        self.settings = settings
        self.end = ProcessEnd()
        self.kernel = build_kernel(settings, self.end)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        signals = SignalWaiter(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        self.kernel.start()
        logging.info("host %s is serving", self.settings.name)
        while set(signals.wait()) <= {signal.SIGHUP}:
            logging.warning("SIGHUP is ignored: settings are read at a start only")
        self.shut_down()

    def shut_down(self) -> None:
        """Leave the member list and shut down once no caller can still be sent here.

        The host serves until every entry-hosts answer that lists it has expired, plus a
        margin for the departure to reach the other hosts. Calls that outlast the grace
        period which follows are answered as failed.
        """
        logging.info("host %s is leaving", self.settings.name)
        self.kernel.get("recorder").record("host.leaving")
        self.kernel.get("members").leave()
        listed_s = self.settings.answer_lifetime_s + PROPAGATION_MARGIN_S
        self.end.ends_at_s = time.monotonic() + listed_s + self.settings.stop_grace_s
        time.sleep(listed_s)
        server = self.kernel.get("server").server
        server.stop_accepting()
        if not server.wait_idle(self.settings.stop_grace_s):
            logging.warning(
                "grace period expired; aborting %d running calls",
                server.active_connections,
            )
            self.end.begin()
            server.wait_idle(END_TIMEOUT_S)
        self.kernel.stop()
        logging.info("host %s stopped", self.settings.name)


def build_kernel(settings: Settings, end: ProcessEnd) -> Kernel:
    """Return a kernel with the services of a host, in start order."""
    api = platform_adapters.get(settings.platform_adapter)(settings.platform)
    kernel = Kernel()
    pool = PoolService()
    kernel.add("recorder", EventRecorder(settings.name))
    kernel.add("metrics", Metrics())
    kernel.add("pool", pool)
    kernel.add("timer", TimerService(pool.executor))
    kernel.add("peers", Peers(kernel, settings))
    kernel.add("revisions", Revisions(kernel, api))
    kernel.add("exchange", RevisionExchange(kernel))
    kernel.add("members", Members(kernel, settings, api))
    kernel.add("quarantine", QuarantineService(kernel))
    kernel.add("directory", UpstreamDirectory(kernel))
    kernel.add("orders", RolloutController(kernel, api))
    kernel.add("placement", PlacementService(kernel))
    kernel.add("shares", LimitShares(kernel))
    kernel.add("limits", AccountLimiter(kernel))
    kernel.add("claims", Claims(kernel, api))
    kernel.add("relay", Relay(kernel, settings.shared_key, end))
    kernel.add("service_calls", ServiceCalls(kernel, end))
    kernel.add("entry", HttpApi(kernel, settings))
    kernel.add("server", HttpApiServer(kernel, settings))
    return kernel
