"""Service calls with retries and at-most-once execution."""

from rosemaryyoke.calls.retry import RetryBudget

__all__ = ["RetryBudget"]
