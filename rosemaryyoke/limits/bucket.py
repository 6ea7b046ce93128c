"""Token bucket rate limiter."""

from attrs import define

BURST_S = 2.0


@define
class TokenBucket:
    """A bucket that refills at a rate, with a capacity of ``BURST_S`` seconds of it.

    The capacity is at least 1, so that a low rate still admits single requests.
    """

    rate_per_s: float
    level: float | None = None
    refilled_at_s: float = 0.0

    @property
    def capacity(self) -> float:
        """Return the capacity of the bucket."""
        return max(1.0, self.rate_per_s * BURST_S)

    def refill(self, now_s: float) -> None:
        """Refill the bucket for the time since the last call."""
        if self.level is None:
            self.level = self.capacity
        passed_s = max(0.0, now_s - self.refilled_at_s)
        self.level = min(self.capacity, self.level + passed_s * self.rate_per_s)
        self.refilled_at_s = now_s

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the seconds until an amount is available; 0 if it is now.

        An amount above the capacity is admitted by a full bucket, whose level then
        becomes negative.
        """
        self.refill(now_s)
        missing = min(amount, self.capacity) - self.level
        return max(0.0, missing / self.rate_per_s)

    def is_idle(self, now_s: float, after_s: float) -> bool:
        """Return whether the bucket is full and was not used for ``after_s`` seconds.

        A bucket that was never used is idle.
        """
        if self.level is None:
            return True
        if now_s - self.refilled_at_s < after_s:
            return False
        self.refill(now_s)
        return self.level >= self.capacity

    def consume(self, amount: float) -> None:
        """Remove an amount; the level may become negative."""
        if self.level is not None:
            self.level -= amount
