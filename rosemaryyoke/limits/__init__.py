"""Limits of client accounts."""

from rosemaryyoke.limits.bucket import TokenBucket
from rosemaryyoke.limits.service import Limits, OverLimit

__all__ = ["Limits", "OverLimit", "TokenBucket"]
