"""Retry budget: this host's share of the retries that all hosts may make together.

The design follows Google, "Site Reliability Engineering", 2016, ch. 21.
"""

import threading
from collections import deque

from attrs import define, field

SAFETY_FACTOR = 0.8  # hosts may briefly disagree on how many hosts there are


@define(eq=False)
class WindowUsage:
    """Times of the requests and retries within the window."""

    requests: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)

    def discard_before(self, cutoff_s: float) -> None:
        """Remove times before the cutoff."""
        for times in (self.requests, self.retries):
            while times and times[0] < cutoff_s:
                times.popleft()


@define(eq=False)
class RetryBudget:
    """Limits the retries per service within a sliding window.

    All hosts together may make ``ratio`` retries per request, plus ``slack``.
    """

    ratio: float
    slack: float
    window_s: float
    hosts: int = 1
    usage: dict[str, WindowUsage] = field(factory=dict)
    lock: threading.Lock = field(factory=threading.Lock)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request to a service."""
        with self.lock:
            usage = self.usage.setdefault(service, WindowUsage())
            usage.requests.append(now_s)
            usage.discard_before(now_s - self.window_s)

    def try_retry(self, service: str, now_s: float) -> bool:
        """Consume one retry if the budget allows it; return whether it does."""
        with self.lock:
            usage = self.usage.setdefault(service, WindowUsage())
            usage.discard_before(now_s - self.window_s)
            allowed = self.ratio * len(usage.requests) + self.slack / self.hosts
            if len(usage.retries) + 1 > SAFETY_FACTOR * allowed:
                return False
            usage.retries.append(now_s)
            return True
