"""A retry budget, which bounds retries to a share of recent requests.

Based on: Google, "Site Reliability Engineering", 2016, ch. 21.
"""

import threading

RETRY_SHARE = 0.1
MAX_RETRY_BALANCE = 10.0


class RetryBudget:
    """A token bucket of retries, refilled by a fraction of a retry per request."""

    def __init__(
        self, share: float = RETRY_SHARE, max_balance: float = MAX_RETRY_BALANCE
    ):
        self.share = share
        self.max_balance = max_balance
        self.balance = max_balance
        self.lock = threading.Lock()

    def deposit(self) -> None:
        """Add the share of a retry for a first attempt, up to the maximum."""
        with self.lock:
            self.balance = min(self.max_balance, self.balance + self.share)

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if less than one is left."""
        with self.lock:
            if self.balance < 1.0:
                return False
            self.balance -= 1.0
            return True
