"""Until when a host that shuts down accepts requests."""

import math

from attrs import frozen


@frozen
class StopSchedule:
    """Times of a shutdown, in seconds of the monotonic clock.

    All requests are accepted until ``long_until_s``; then, until ``serves_until_s``,
    only those that must end by ``ends_at_s``, when the host ends what is left. Each
    request is compared with these times, since the thread that shuts the host down may
    be late.
    """

    long_until_s: float = math.inf
    serves_until_s: float = math.inf
    ends_at_s: float = math.inf

    def accepts(self, now_s: float, deadline_s: float) -> bool:
        """Return whether a request that may last until a deadline is accepted."""
        if now_s >= self.serves_until_s:
            return False
        return now_s < self.long_until_s or deadline_s <= self.ends_at_s
