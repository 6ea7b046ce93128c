"""Retry budget: this host's share of the repeats that all hosts may make together.

Source of the idea: Google, "Site Reliability Engineering", 2016, ch. 21.
"""

import threading
from collections import deque

from attrs import define, field

SAFETY = 0.8  # of the share; hosts may disagree for a moment on how many they are


@define(eq=False)
class Usage:
    """Times of requests and of repeats within the window."""

    requests: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)

    def forget(self, before_s: float) -> None:
        """Drop what is older than the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] < before_s:
                times.popleft()


@define(eq=False)
class RetryBudget:
    """Bounds repeats by service over a sliding window."""

    ratio: float
    slack: float
    window_s: float
    hosts: int = 1
    usage: dict[str, Usage] = field(factory=dict)
    lock: threading.Lock = field(factory=threading.Lock)

    def earn(self, service: str, now_s: float) -> None:
        """Count a request for a service."""
        with self.lock:
            usage = self.usage.setdefault(service, Usage())
            usage.requests.append(now_s)
            usage.forget(now_s - self.window_s)

    def spend(self, service: str, now_s: float) -> bool:
        """Take one repeat, or tell that none is left."""
        with self.lock:
            usage = self.usage.setdefault(service, Usage())
            usage.forget(now_s - self.window_s)
            allowed = self.ratio * len(usage.requests) + self.slack / self.hosts
            if len(usage.repeats) + 1 > SAFETY * allowed:
                return False
            usage.repeats.append(now_s)
            return True
