"""Metrics of one process, safe to use from many threads."""

import threading

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

TIME_BUCKETS_S = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0]


class Metrics:
    """Create metrics by name on first use and render them."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.lock = threading.Lock()
        self.collectors: dict[str, Counter | Gauge | Histogram] = {}

    def start(self) -> None:
        """Do nothing; metrics need no thread."""

    def stop(self) -> None:
        """Do nothing; the values stay readable."""

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        with self.lock:
            self._collector(name, Counter).add(labels, amount)

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        with self.lock:
            self._collector(name, Gauge).set(labels, value)

    def observe(self, name: str, value_s: float, **labels: str) -> None:
        """Add an observation in seconds to a histogram."""
        with self.lock:
            self._collector(name, Histogram).observe(labels, value_s)

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter or gauge, 0 where there is none."""
        with self.lock:
            collector = self.collectors.get(name)
            if collector is None:
                return 0
            try:
                return collector.get(labels)
            except KeyError:
                return 0

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        with self.lock:
            return text.TextFormatter().marshall(self.registry)

    def _collector(self, name: str, kind: type) -> Counter | Gauge | Histogram:
        if name not in self.collectors:
            arguments = {"registry": self.registry}
            if kind is Histogram:
                arguments["buckets"] = TIME_BUCKETS_S
            help_text = name.replace("_", " ")
            self.collectors[name] = kind(f"rosemaryyoke_{name}", help_text, **arguments)
        return self.collectors[name]
