"""Token bucket."""

from attrs import define

BURST_S = 2.0


@define
class TokenBucket:
    """Fill at a rate up to what ``BURST_S`` seconds give, one at least."""

    rate_per_s: float
    level: float | None = None
    refilled_at_s: float = 0.0

    @property
    def capacity(self) -> float:
        """Return the most that the bucket holds."""
        return max(1.0, self.rate_per_s * BURST_S)

    def refill(self, now_s: float) -> None:
        """Add what the time since the last call gives."""
        if self.level is None:
            self.level = self.capacity
        passed_s = max(0.0, now_s - self.refilled_at_s)
        self.level = min(self.capacity, self.level + passed_s * self.rate_per_s)
        self.refilled_at_s = now_s

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the seconds until the bucket holds an amount; 0 where it does.

        More than the capacity is admitted from a full bucket and leaves a debt.
        """
        self.refill(now_s)
        missing = min(amount, self.capacity) - self.level
        return max(0.0, missing / self.rate_per_s)

    def is_idle(self, now_s: float, after_s: float) -> bool:
        """Tell whether the bucket is full, or was never used, after a while."""
        if self.level is None:
            return True
        if now_s - self.refilled_at_s < after_s:
            return False
        self.refill(now_s)
        return self.level >= self.capacity

    def consume(self, amount: float) -> None:
        """Take an amount; the level may fall below nothing."""
        if self.level is not None:
            self.level -= amount
