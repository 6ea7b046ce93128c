"""Limits the rate of datagrams, so that they leave room on a slow link."""

import threading
import time
from typing import Callable

from attrs import define, field

LINK_SHARE = 0.25  # of the link; the rest is for callers and upstreams
BURST_BYTES = 16_384  # a quarter of the burst that a link of 5 Mbit/s accepted
BITS_PER_MBIT = 1_000_000
DEFAULT_LINK_MBPS = 20.0


@define(eq=False)
class Pacer:
    """A token bucket, in bytes, that all senders of a host share."""

    link_mbps: float = DEFAULT_LINK_MBPS
    credit_bytes: float = BURST_BYTES
    updated_s: float = field(factory=time.monotonic)
    lock: threading.Lock = field(factory=threading.Lock)
    now_s: Callable[[], float] = time.monotonic

    @property
    def bytes_per_s(self) -> float:
        """Return the rate that datagrams may use."""
        return LINK_SHARE * self.link_mbps * BITS_PER_MBIT / 8

    def reserve(self, size: int) -> float:
        """Take credit for some bytes; return how long to wait before sending them."""
        with self.lock:
            now_s = self.now_s()
            refill = (now_s - self.updated_s) * self.bytes_per_s
            self.credit_bytes = min(BURST_BYTES, self.credit_bytes + refill) - size
            self.updated_s = now_s
            return max(0.0, -self.credit_bytes / self.bytes_per_s)
