"""A retry budget, which bounds retries to a share of recent requests.

Based on: Google, "Site Reliability Engineering", 2016, ch. 21.
"""

import threading

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A token bucket of retries, refilled by a fraction of a retry per request."""

    def __init__(self, share: float = RETRY_SHARE, saved: float = MAX_SAVED_RETRIES):
        self.share = share
        self.max_saved = saved
        self.saved = saved
        self.lock = threading.Lock()

    def earn(self) -> None:
        """Add the share of a retry for a first attempt, up to the maximum."""
        with self.lock:
            self.saved = min(self.max_saved, self.saved + self.share)

    def spend(self) -> bool:
        """Withdraw one retry; return False if less than one is left."""
        with self.lock:
            if self.saved < 1.0:
                return False
            self.saved -= 1.0
            return True
