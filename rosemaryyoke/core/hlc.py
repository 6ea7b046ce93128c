"""Hybrid logical clock.

Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

import threading
import time

from attrs import frozen

MICROSECONDS_PER_SECOND = 1_000_000


@frozen(order=True)
class Timestamp:
    """Wall-clock time in microseconds with a counter that breaks ties."""

    wall_us: int
    counter: int = 0


class HybridClock:
    """Issue increasing timestamps, each later than every timestamp received."""

    def __init__(self, wall_clock=time.time):
        self.wall_clock = wall_clock
        self.lock = threading.Lock()
        self.last = Timestamp(0)

    def now(self) -> Timestamp:
        """Return a timestamp later than all issued or received so far."""
        return self.observe(Timestamp(0))

    def observe(self, received: Timestamp) -> Timestamp:
        """Merge a timestamp from another process and return a later one."""
        wall_us = int(self.wall_clock() * MICROSECONDS_PER_SECOND)
        with self.lock:
            latest = max(self.last, received)
            if wall_us > latest.wall_us:
                self.last = Timestamp(wall_us)
            else:
                self.last = Timestamp(latest.wall_us, latest.counter + 1)
            return self.last
