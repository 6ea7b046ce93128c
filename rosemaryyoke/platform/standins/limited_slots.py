"""Slots of an upstream without a queue that crashes on too many rejections."""

import threading
import time
from collections import deque
from typing import Callable

from attrs import define, field

REFUSAL_PERIOD_S = 1.0


@define(eq=False)
class LimitedSlots:
    """Limits the concurrent requests and counts the rejected ones.

    ``on_fall`` is called when more than ``tolerance`` requests were refused within a
    second; the refusals are then forgotten.
    """

    slots: int
    tolerance: int
    on_fall: Callable[[], None] = lambda: None
    active: int = 0
    refused_s: deque[float] = field(factory=deque)
    lock: threading.Lock = field(factory=threading.Lock)
    now_s: Callable[[], float] = time.monotonic

    def acquire(self) -> bool:
        """Take a slot; return whether there was one."""
        with self.lock:
            if self.active < self.slots:
                self.active += 1
                return True
            fell = self._refuse(self.now_s())
        if fell:
            self.on_fall()
        return False

    def release(self) -> None:
        """Free a slot."""
        with self.lock:
            self.active -= 1

    def _refuse(self, now_s: float) -> bool:
        self.refused_s.append(now_s)
        while self.refused_s[0] < now_s - REFUSAL_PERIOD_S:
            self.refused_s.popleft()
        fell = len(self.refused_s) > self.tolerance
        if fell:
            self.refused_s.clear()
        return fell
