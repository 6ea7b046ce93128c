"""Rate and concurrency limits of client accounts."""

from rosemaryyoke.limits.bucket import TokenBucket
from rosemaryyoke.limits.service import AccountLimiter, LimitExceeded

__all__ = ["AccountLimiter", "LimitExceeded", "TokenBucket"]
