"""Retry budget: retries are a bounded share of recent requests.

Source of the idea: Google, "Site Reliability Engineering", 2016, ch. 21.
"""

import threading

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Earn a part of a retry with each request."""

    def __init__(self, share: float = RETRY_SHARE, saved: float = MAX_SAVED_RETRIES):
        self.share = share
        self.max_saved = saved
        self.saved = saved
        self.lock = threading.Lock()

    def earn(self) -> None:
        """Count a first attempt."""
        with self.lock:
            self.saved = min(self.max_saved, self.saved + self.share)

    def spend(self) -> bool:
        """Take one retry, or tell that none is left."""
        with self.lock:
            if self.saved < 1.0:
                return False
            self.saved -= 1.0
            return True
