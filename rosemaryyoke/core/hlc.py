"""Hybrid logical clock.

Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

import threading
import time

from attrs import frozen

MICROSECONDS_PER_SECOND = 1_000_000


@frozen(order=True)
class Timestamp:
    """Wall time in microseconds and a counter that orders equal times."""

    wall_us: int
    counter: int = 0


class HybridClock:
    """Give timestamps that rise and follow every timestamp seen."""

    def __init__(self, wall_clock=time.time):
        self.wall_clock = wall_clock
        self.lock = threading.Lock()
        self.last = Timestamp(0)

    def now(self) -> Timestamp:
        """Return a timestamp after all given or seen before."""
        return self.observe(Timestamp(0))

    def observe(self, received: Timestamp) -> Timestamp:
        """Take in another process's timestamp and return one after it."""
        wall_us = int(self.wall_clock() * MICROSECONDS_PER_SECOND)
        with self.lock:
            latest = max(self.last, received)
            if wall_us > latest.wall_us:
                self.last = Timestamp(wall_us)
            else:
                self.last = Timestamp(latest.wall_us, latest.counter + 1)
            return self.last
