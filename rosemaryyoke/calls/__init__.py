"""Attempts, retries, and calls that run at most once."""

from rosemaryyoke.calls.retry import RetryBudget

__all__ = ["RetryBudget"]
