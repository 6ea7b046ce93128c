"""Timer service for periodic and delayed calls."""

import heapq
import itertools
import threading
import time
from concurrent.futures import Executor
from typing import Callable

from absl import logging
from attrs import define, field


@define(eq=False)
class Subscription:
    """A periodic or one-time call."""

    callback: Callable[[], None]
    period_s: float
    cancelled: bool = False
    call_lock: threading.Lock = field(factory=threading.Lock)

    def cancel(self) -> None:
        """Prevent further calls."""
        self.cancelled = True

    def call(self) -> None:
        """Run the callback unless its previous call is still running."""
        if self.cancelled or not self.call_lock.acquire(blocking=False):
            return
        try:
            self.callback()
        except Exception:
            logging.exception("timer callback failed")
        finally:
            self.call_lock.release()


@define(order=True)
class _ScheduledCall:
    time_s: float
    sequence: int
    subscription: Subscription = field(order=False)


class TimerService:
    """Run callbacks on an executor at their scheduled times."""

    def __init__(self, executor: Executor):
        self.executor = executor
        self.scheduled: list[_ScheduledCall] = []
        self.sequence_numbers = itertools.count()
        self.condition = threading.Condition()
        self.stopping = False
        self.thread = threading.Thread(target=self.run, name="timer", daemon=True)

    def start(self) -> None:
        """Start the scheduling thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the scheduling thread; pending calls are dropped."""
        with self.condition:
            self.stopping = True
            self.condition.notify()

    def every(self, period_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back every ``period_s`` seconds; skip a call while one still runs."""
        return self._subscribe(period_s, Subscription(callback, period_s))

    def after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call back once, ``delay_s`` seconds from now."""
        return self._subscribe(delay_s, Subscription(callback, 0.0))

    def _subscribe(self, delay_s: float, subscription: Subscription) -> Subscription:
        call = _ScheduledCall(
            time.monotonic() + delay_s, next(self.sequence_numbers), subscription
        )
        with self.condition:
            heapq.heappush(self.scheduled, call)
            self.condition.notify()
        return subscription

    def run(self) -> None:
        """Submit each call to the executor when it is due, until stopped."""
        while True:
            subscription = self._wait_for_due()
            if subscription is None:
                return
            try:
                self.executor.submit(subscription.call)
            except RuntimeError:
                return

    def _wait_for_due(self) -> Subscription | None:
        with self.condition:
            while not self.stopping:
                now = time.monotonic()
                if self.scheduled and self.scheduled[0].time_s <= now:
                    return self._pop_due(now)
                wait_s = self.scheduled[0].time_s - now if self.scheduled else None
                self.condition.wait(wait_s)
        return None

    def _pop_due(self, now: float) -> Subscription:
        call = heapq.heappop(self.scheduled)
        subscription = call.subscription
        if subscription.period_s and not subscription.cancelled:
            call.time_s = max(now, call.time_s + subscription.period_s)
            heapq.heappush(self.scheduled, call)
        return subscription
