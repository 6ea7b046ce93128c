"""Enforcement of client account limits on this host."""

import threading
import time

from attrs import define, frozen
from result import Err, Ok, Result

from rosemaryyoke.core import Kernel
from rosemaryyoke.limits.bucket import TokenBucket
from rosemaryyoke.rules.model import Limit

CONCURRENCY_RETRY_S = 0.25
MAX_TRACKED_ACCOUNTS = 4_096
IDLE_S = 60.0


@frozen
class LimitExceeded:
    """Error: a request exceeds a limit, with the time after which to retry."""

    message: str
    retry_after_s: float


@define(eq=False)
class AccountUsage:
    """Usage of one client account on this host."""

    requests: TokenBucket
    tokens: TokenBucket
    running: int = 0

    def is_idle(self, now_s: float) -> bool:
        """Return whether the account had no recent request and its buckets are full."""
        buckets = (self.requests, self.tokens)
        return all(bucket.is_idle(now_s, IDLE_S) for bucket in buckets)


class AccountLimiter:
    """Enforce request rate, token rate and concurrency limits per account.

    A limit applies across all hosts. This host enforces a share of it, in proportion to
    its part of the demand at the account's home hosts.
    """

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.lock = threading.Lock()
        self.usages: dict[str, AccountUsage] = {}

    def start(self) -> None:
        """Look up the services that limits depend on."""
        self.shares = self.kernel.get("shares")

    def stop(self) -> None:
        """Do nothing; there is no state to release."""

    def admit(
        self, limit: Limit, account: str, tokens: int
    ) -> Result[None, LimitExceeded]:
        """Admit a request, or return which limit it exceeds and when to retry."""
        now_s = time.monotonic()
        share = self.shares.record_request(account, now_s)
        return self.admit_share(limit, account, tokens, share, now_s)

    def admit_share(
        self, limit: Limit, account: str, tokens: int, share: float, now_s: float
    ) -> Result[None, LimitExceeded]:
        """Admit a request against a given share of an account's limit."""
        with self.lock:
            usage = self._get_usage(limit, account, share)
            if limit.concurrency and usage.running >= max(1, limit.concurrency * share):
                message = "too many requests run at once"
                return Err(LimitExceeded(message, CONCURRENCY_RETRY_S))
            wait_s = 0.0
            if limit.requests_per_s:
                wait_s = usage.requests.wait_s(1, now_s)
            if limit.tokens_per_s:
                wait_s = max(wait_s, usage.tokens.wait_s(tokens, now_s))
            if wait_s > 0:
                return Err(LimitExceeded("the rate limit is reached", wait_s))
            usage.requests.consume(1)
            usage.tokens.consume(tokens)
            usage.running += 1
            return Ok(None)

    def running(self, account: str) -> int:
        """Return the number of running requests of an account on this host."""
        with self.lock:
            usage = self.usages.get(account)
            return usage.running if usage else 0

    def release(self, account: str) -> None:
        """Record that a request of an account has ended."""
        with self.lock:
            usage = self.usages.get(account)
            if usage is not None:
                usage.running -= 1

    def _get_usage(self, limit: Limit, account: str, share: float) -> AccountUsage:
        usage = self.usages.get(account)
        if usage is None:
            if len(self.usages) >= MAX_TRACKED_ACCOUNTS:
                self._remove_idle()
            usage = AccountUsage(TokenBucket(0.0), TokenBucket(0.0))
            self.usages[account] = usage
        usage.requests.rate_per_s = limit.requests_per_s * share
        usage.tokens.rate_per_s = limit.tokens_per_s * share
        return usage

    def _remove_idle(self) -> None:
        """Remove accounts with no running requests and full buckets."""
        now_s = time.monotonic()
        idle = [
            account
            for account, usage in self.usages.items()
            if not usage.running and usage.is_idle(now_s)
        ]
        for account in idle:
            del self.usages[account]
