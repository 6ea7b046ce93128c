"""Serve requests that other hosts forward."""

import threading
import time
from typing import Callable

from attrs import define, field

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.forwarding.envelope import (
    ERROR_HEADER,
    FORWARDED_HEADER,
    Envelope,
    MalformedEnvelope,
    without_envelope,
)
from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.http1 import RequestMessage
from rosemaryyoke.http1.messages import find_header

BUSY_RETRY_AFTER_S = 0.3
CONFIGURATION_WAIT_S = 0.3
POLL_INTERVAL_S = 0.02

HandleForwarded = Callable[[RequestMessage, CallerConnection, Envelope], None]


def is_forwarded(message: RequestMessage) -> bool:
    """Return whether a request to the hosts' port was forwarded by a host."""
    return find_header(message.headers, FORWARDED_HEADER.lower()) is not None


@define(eq=False)
class ForwardedRequests:
    """Accepts the requests that other hosts forward, up to a limit.

    While this host is ``leaving``, it refuses new ones.
    """

    table: HostTable
    catalog: Catalog
    handle_request: HandleForwarded
    limit: int
    leaving: bool = False
    under_way: int = 0
    lock: threading.Lock = field(factory=threading.Lock)

    def handle(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Serve one request as if its caller had sent it here.

        Errors of this host are marked, since the other one may try elsewhere.
        """
        caller.error_header = ERROR_HEADER
        try:
            value = find_header(message.headers, FORWARDED_HEADER.lower())
            envelope = Envelope.parse(value)
        except MalformedEnvelope as error:
            caller.send_error(400, "malformed_envelope", str(error))
            return
        if caller.peer not in self.table.known_ips():
            caller.send_error(503, "unknown_host", "no host has this address")
            return
        if self.leaving:
            caller.send_error(503, "leaving", "this host is leaving")
            return
        if not self.knows_configuration(envelope):
            text = "this host knows an older configuration only"
            caller.send_error(503, "stale_configuration", text, BUSY_RETRY_AFTER_S)
            return
        message.headers = without_envelope(message.headers)
        if not self.begin():
            text = "this host forwards too many requests"
            caller.send_error(503, "busy", text, BUSY_RETRY_AFTER_S)
            return
        try:
            self.handle_request(message, caller, envelope)
        finally:
            self.end()

    def needs_body(self, message: RequestMessage, caller: CallerConnection) -> bool:
        """Return whether a known host forwards the request, as its head tells."""
        return is_forwarded(message) and caller.peer in self.table.known_ips()

    def wait_idle(self, deadline_s: float) -> bool:
        """Wait until no request is under way; return whether that is so."""
        while self.under_way and time.monotonic() < deadline_s:
            time.sleep(POLL_INTERVAL_S)
        return self.under_way == 0

    def knows_configuration(self, envelope: Envelope) -> bool:
        """Return whether this host knows what the request was accepted under.

        Hosts apply a configuration within moments of each other.
        """
        deadline_s = time.monotonic() + CONFIGURATION_WAIT_S
        while not is_applied(self.catalog, envelope.configuration):
            if time.monotonic() >= deadline_s:
                return False
            time.sleep(POLL_INTERVAL_S)
        return True

    def begin(self) -> bool:
        """Count a request, unless the limit is reached; return whether it was."""
        with self.lock:
            if self.under_way >= self.limit:
                return False
            self.under_way += 1
            return True

    def end(self) -> None:
        """Count the end of a request."""
        with self.lock:
            self.under_way -= 1


def is_applied(catalog: Catalog, version: int) -> bool:
    """Return whether a configuration or a later one is applied."""
    configuration = catalog.configuration
    return configuration is not None and configuration.version >= version


def log_received(request: str, envelope: Envelope) -> None:
    """Log a request that another host forwarded."""
    log_event(
        "forwarded request received",
        request=request,
        host=envelope.host,
        runs=envelope.runs,
        origin=None if envelope.origin is None else f"{envelope.origin:016x}",
    )
