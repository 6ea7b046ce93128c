"""Log lines of refusals and evictions, bounded in volume."""

import threading
import time

from attrs import define, field

from rosemaryyoke.core.logs import log_event

# The lines of a flood must not displace those of ordinary requests (400 a second).
MAX_LINES_PER_S = 5


@define(eq=False)
class RefusalLog:
    """Logs a few events a second, and how many were left out before each."""

    second: int = -1
    lines: int = 0
    left_out: int = 0
    lock: threading.Lock = field(factory=threading.Lock)

    def record(self, event: str, **fields: object) -> None:
        """Log an event, or count that it was left out."""
        left_out = self.admit(time.monotonic())
        if left_out is not None:
            log_event(event, **fields, left_out=left_out)

    def admit(self, now_s: float) -> int | None:
        """Return how many lines were left out before this one, or None to leave it."""
        with self.lock:
            if int(now_s) != self.second:
                self.second, self.lines = int(now_s), 0
            if self.lines >= MAX_LINES_PER_S:
                self.left_out += 1
                return None
            self.lines += 1
            left_out, self.left_out = self.left_out, 0
            return left_out
