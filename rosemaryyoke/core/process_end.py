"""The end of this process, for the tasks that run calls."""

import math
import threading
import time
from typing import Callable


class ProcessEnd:
    """When this process ends the calls that still run, and whether it has begun to.

    Until the end is planned, ``ends_at_s`` is infinite; it is a time of the monotonic
    clock.
    """

    def __init__(self) -> None:
        self.ends_at_s = math.inf
        self.callbacks: list[Callable[[], None]] = []
        self.begun = threading.Event()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call a function when the process begins to end."""
        self.callbacks.append(callback)

    def allows(self, duration_s: float) -> bool:
        """Return whether a call that may last so long would end before the process."""
        return time.monotonic() + duration_s <= self.ends_at_s

    def has_begun(self) -> bool:
        """Return whether calls are to end now, each with an answer."""
        return self.begun.is_set()

    def begin(self) -> None:
        """Let all running calls end."""
        self.begun.set()
        for callback in self.callbacks:
            callback()
