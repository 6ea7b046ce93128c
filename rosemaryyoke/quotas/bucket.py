"""What one account was granted lately, against its quota."""

import math
import random
from collections import deque

from attrs import define, field, frozen

from rosemaryyoke.catalog import Quota

# A request that costs no more is admitted by any room, however small, so that large
# prompts don't wait while small ones compete.
OVERDRAFT_OF_SLACK = 0.1
OVERDRAFT_OF_WINDOW = 0.025
# What is left of a window covers requests that reach their upstreams later than others,
# and so fall into the same window: a share of it, and a few large requests.
USED_SHARE = 0.975
RESERVED_OF_SLACK = 0.25
# A shorter window is kept to, as well, so that an account that asks for much more than
# it may have is not served for a moment and then refused for the rest of the window.
SHORT_WINDOWS = 4
# What an earlier granting host may have granted in the last window, in equal parts.
UNKNOWN_GRANTS = 32
# Clients come back after at most a third of the time that they have left.
MAX_WAIT_S = 3.0
MIN_WAIT_S = 0.02


@frozen
class QuotaBounds:
    """What accounts may have beyond their quota in any window."""

    window_s: float = 8.0
    overage: float = 0.1
    slack: float = 110_000.0

    def allowed(self, quota: Quota, window_s: float | None = None) -> float:
        """Return the highest cost that may be admitted in a window."""
        window_s = self.window_s if window_s is None else window_s
        nominal = quota.rate_per_s * window_s + quota.burst
        return nominal * (1 + self.overage) + self.slack

    def usable(self, quota: Quota, window_s: float) -> float:
        """Return what may be granted in a window."""
        allowed = self.allowed(quota, window_s)
        return min(USED_SHARE * allowed, allowed - RESERVED_OF_SLACK * self.slack)

    def overdraft(self, quota: Quota) -> float:
        """Return the cost of a request that any room admits."""
        return min(
            self.slack * OVERDRAFT_OF_SLACK, self.allowed(quota) * OVERDRAFT_OF_WINDOW
        )


@define
class WindowSum:
    """The cost of the grants of a sliding window."""

    window_s: float
    total: float = 0.0
    grants: deque[list[float]] = field(factory=deque)

    def add(self, cost: float, at_s: float) -> None:
        """Add a grant; times must not go back."""
        self.total += cost
        self.grants.append([at_s, cost])

    def add_sorted(self, cost: float, at_s: float) -> None:
        """Add a grant that may be older than the newest one."""
        self.total += cost
        position = len(self.grants)
        while position and self.grants[position - 1][0] > at_s:
            position -= 1
        self.grants.insert(position, [at_s, cost])

    def expire(self, now_s: float) -> None:
        """Remove the grants that have left the window."""
        while self.grants and self.grants[0][0] <= now_s - self.window_s:
            self.total -= self.grants.popleft()[1]
        if not self.grants:
            self.total = 0.0

    def remove(self, cost: float) -> None:
        """Remove a cost from the newest grants, which did not run."""
        cost = min(cost, self.total)
        self.total -= cost
        for grant in reversed(self.grants):
            part = min(cost, grant[1])
            grant[1] -= part
            cost -= part
            if cost <= 0:
                return

    def wait_s(self, excess: float, now_s: float) -> float:
        """Return the time until grants of a cost have left the window."""
        for at_s, cost in self.grants:
            if excess <= 0:
                break
            excess -= cost
            until_s = at_s + self.window_s
            if excess <= 0:
                return max(0.0, until_s - now_s)
        return 0.0 if excess <= 0 else self.window_s


@define
class QuotaBucket:
    """What an account was granted lately, and what it may still have.

    The cost of the grants of each sliding window is kept to what the window allows. Any
    room admits a request of usual size, so that large ones don't wait while small ones
    take every token. ``horizon_s`` is when all requests that were denied so far could
    have been admitted. ``version`` is that of the configuration that set the quota.
    ``share`` is the part of the quota that other hosts have lent to the granting host.
    """

    quota: Quota
    bounds: QuotaBounds
    version: int
    since_s: float
    used_s: float
    horizon_s: float = 0.0
    share: float = 1.0
    now_s: float = -math.inf
    windows: tuple[WindowSum, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Count the most that may have been granted elsewhere in the last window."""
        window_s = self.bounds.window_s
        self.windows = (WindowSum(window_s), WindowSum(window_s / SHORT_WINDOWS))
        for window in self.windows:
            part = self.limit(window) / UNKNOWN_GRANTS
            for number in range(UNKNOWN_GRANTS):
                age_s = window.window_s * (1 - (number + 1) / UNKNOWN_GRANTS)
                window.add(part, self.since_s - age_s)

    def limit(self, window: WindowSum, share: float | None = None) -> float:
        """Return the cost up to which a window has room."""
        share = self.share if share is None else share
        usable = self.bounds.usable(self.quota, window.window_s)
        return (usable - self.bounds.overdraft(self.quota)) * share

    @property
    def rate_per_s(self) -> float:
        """Return the rate of grants that the window bears for long."""
        return self.limit(self.windows[0]) / self.bounds.window_s

    @property
    def level(self) -> float:
        """Return the room that is left, negative if there is none."""
        return min(self.limit(window) - window.total for window in self.windows)

    def set_share(self, share: float, now_s: float) -> None:
        """Change the part of the quota that this bucket has.

        What the others used of a part that is lent again is not known, so that it is
        taken for used up.
        """
        if share > self.share:
            self.expire(now_s)
            for window in self.windows:
                gained = self.limit(window, share) - self.limit(window)
                part = gained / UNKNOWN_GRANTS
                for number in range(UNKNOWN_GRANTS):
                    age_s = window.window_s * (1 - (number + 1) / UNKNOWN_GRANTS)
                    window.add_sorted(part, self.now_s - age_s)
        self.share = share

    def expire(self, now_s: float) -> None:
        """Forget the grants that have left their windows."""
        self.now_s = max(self.now_s, now_s)
        for window in self.windows:
            window.expire(self.now_s)

    def change(self, quota: Quota, version: int, now_s: float) -> None:
        """Apply a quota unless it is from an older configuration."""
        if version > self.version:
            self.expire(now_s)
            self.quota, self.version = quota, version

    def missing(self, cost: float) -> float:
        """Return what the room lacks to admit a cost; not positive if it suffices."""
        return (
            max(cost - self.bounds.overdraft(self.quota) * self.share, 0.0) - self.level
        )

    def take(self, cost: float, now_s: float) -> bool:
        """Grant a cost if there is room; return whether it was granted."""
        self.expire(now_s)
        self.used_s = now_s
        if self.level <= 0 or self.missing(cost) > 0:
            return False
        for window in self.windows:
            window.add(cost, self.now_s)
        return True

    def give_back(self, cost: float, now_s: float) -> None:
        """Make room for what was granted and not used."""
        self.expire(now_s)
        for window in self.windows:
            window.remove(cost)

    def ready_wait_s(self, cost: float, now_s: float) -> float:
        """Return the time until there is room for a cost, if nothing else comes."""
        needed = max(cost - self.bounds.overdraft(self.quota) * self.share, 0.0)
        waits_s = [
            window.wait_s(needed - (self.limit(window) - window.total), now_s)
            for window in self.windows
        ]
        return max(MIN_WAIT_S, *waits_s)

    def backlog_wait_s(self, cost: float, now_s: float) -> float:
        """Return after how long a denied request should come back.

        Denied requests are sent back one after the other, at the rate of the quota.
        Beyond ``MAX_WAIT_S`` they are spread at random.
        """
        ready_s = now_s + self.ready_wait_s(cost, now_s)
        self.horizon_s = max(self.horizon_s, ready_s)
        wait_s = self.horizon_s - now_s
        self.horizon_s += cost / self.rate_per_s
        if wait_s <= MAX_WAIT_S:
            return wait_s
        self.horizon_s = now_s + MAX_WAIT_S
        return max(ready_s - now_s, MAX_WAIT_S * random.uniform(0.5, 1.0))

    def is_idle(self, now_s: float, after_s: float) -> bool:
        """Return whether the bucket holds no grants and was not used for some time."""
        if now_s - self.used_s < after_s:
            return False
        self.expire(now_s)
        return all(not window.grants for window in self.windows)
