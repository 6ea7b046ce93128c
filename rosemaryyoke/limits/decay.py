"""Sums with exponential decay."""

import math

from attrs import define


@define
class DecayedSum:
    """A sum whose value halves with each half-life."""

    half_life_s: float
    value: float = 0.0
    updated_at_s: float = 0.0

    def current(self, now_s: float) -> float:
        """Return the decayed sum at the given time."""
        return self.value * 0.5 ** (
            max(0.0, now_s - self.updated_at_s) / self.half_life_s
        )

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount to the decayed sum."""
        self.value = self.current(now_s) + amount
        self.updated_at_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the recent rate, in amounts per second."""
        return self.current(now_s) * math.log(2) / self.half_life_s
