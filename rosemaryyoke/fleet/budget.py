"""Retry budget: this host's share of the repeats that all hosts may make together.

Source of the idea: Google, "Site Reliability Engineering", 2016, ch. 21.
"""

import threading
from collections import deque

from attrs import define, field

SAFETY_FACTOR = (
    0.8  # of the share; hosts may disagree for a moment on how many they are
)


@define(eq=False)
class WindowUsage:
    """Times of requests and of repeats within the window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)

    def discard_before(self, cutoff_s: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.retries):
            while times and times[0] < cutoff_s:
                times.popleft()


@define(eq=False)
class RetryBudget:
    """Bounds repeats by service over a sliding window."""

    ratio: float
    slack: float
    window_s: float
    hosts: int = 1
    usage: dict[str, WindowUsage] = field(factory=dict)
    lock: threading.Lock = field(factory=threading.Lock)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request for a service."""
        with self.lock:
            usage = self.usage.setdefault(service, WindowUsage())
            usage.requests.append(now_s)
            usage.discard_before(now_s - self.window_s)

    def try_retry(self, service: str, now_s: float) -> bool:
        """Take one repeat, or tell that none is left."""
        with self.lock:
            usage = self.usage.setdefault(service, WindowUsage())
            usage.discard_before(now_s - self.window_s)
            allowed = self.ratio * len(usage.requests) + self.slack / self.hosts
            if len(usage.retries) + 1 > SAFETY_FACTOR * allowed:
                return False
            usage.retries.append(now_s)
            return True
