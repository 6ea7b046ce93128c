"""Thread-safe metrics of one process."""

import importlib
import threading
from types import ModuleType
from typing import Any

HISTOGRAM_BUCKETS_S = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0]
HELP_TEXTS = {
    "answer_seconds": "Time to the end of an upstream's answer, by kind of route.",
    "attempts_failed_total": "Attempts that gave no answer.",
    "client_evictions_total": "Connections closed for others, by what they waited for.",
    "client_refusals_total": "Requests and connections refused for lack of memory.",
    "connections_opened_total": "Connections opened to upstreams.",
    "crash_reports_total": "Attempts that an engine's crash ended as it answered.",
    "crash_reports_received_total": "Such attempts as other hosts reported them.",
    "first_event_seconds": "Time to the first event of a streamed answer.",
    "hosts_live": "Hosts that are heard, this one included.",
    "memory_limit_bytes": "Memory that requests and responses may hold together.",
    "memory_reserved_bytes": "Memory that is reserved for requests and responses.",
    "parts_quarantined": "Bans of requests and prompt parts that crash engines.",
    "quota_datagrams_ignored_total": "Datagrams on quotas from unknown addresses.",
    "quota_denied_total": "Requests refused because their account is over its quota.",
    "quota_granted_total": "Requests that the quota of their account admitted.",
    "quota_returned_total": "Grants returned because the request did not run.",
    "quota_roles_held": "Groups of accounts whose quotas this host grants.",
    "quota_unavailable_total": "Requests refused for lack of a host that grants.",
    "quota_wait_seconds": "Time that requests waited for another host's grant.",
    "refusals_total": "Answers of this host's own, by code.",
    "requests_ended_total": "Requests that ended, by cause.",
    "requests_under_way": "Requests that this host is answering.",
    "store_answers": "Whether this host's view of the store is current, 1 or 0.",
    "store_role": "Whether this host has a role in reading the store, 1 or 0, by role.",
    "upstreams_limited": "Upstreams that name a limit of requests.",
    "upstreams_usable": "Upstreams that may get new work.",
    "view_age_seconds": "Age of the store's newest answer that the view rests on.",
    "view_reads_store": "Whether this host reads the store itself, 1 or 0.",
}


def load_metrics_library() -> ModuleType:
    """Import the metrics library on first use; its asyncio import slows a restart."""
    return importlib.import_module("aioprometheus")


class Metrics:
    """Metrics that are created by name on first use."""

    def __init__(self) -> None:
        self.registry: Any = None
        self.lock = threading.Lock()
        self.collectors: dict[str, Any] = {}

    def start(self) -> None:
        """Do nothing; metrics have no background thread."""

    def stop(self) -> None:
        """Do nothing; the values remain readable."""

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter."""
        with self.lock:
            self._collector(name, "Counter").add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        with self.lock:
            self._collector(name, "Gauge").set(labels, value)

    def observe(self, name: str, value_s: float, **labels: str) -> None:
        """Record a duration in seconds in a histogram."""
        with self.lock:
            self._collector(name, "Histogram").observe(labels, value_s)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge, or 0 if it has none."""
        with self.lock:
            collector = self.collectors.get(name)
            if collector is None:
                return 0
            try:
                return collector.get(labels)
            except KeyError:
                return 0

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self.lock:
            formats = importlib.import_module("aioprometheus.formats.text")
            return formats.TextFormatter().marshall(self._registry())

    def _registry(self) -> Any:
        if self.registry is None:
            self.registry = load_metrics_library().Registry()
        return self.registry

    def _collector(self, name: str, kind: str) -> Any:
        if name not in self.collectors:
            arguments = {"registry": self._registry()}
            if kind == "Histogram":
                arguments["buckets"] = HISTOGRAM_BUCKETS_S
            help_text = HELP_TEXTS.get(name, name.replace("_", " "))
            collector_class = getattr(load_metrics_library(), kind)
            self.collectors[name] = collector_class(
                f"rosemaryyoke_{name}", help_text, **arguments
            )
        return self.collectors[name]
