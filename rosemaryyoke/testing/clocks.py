"""A clock that tests move on, in place of the module ``time``."""

from attrs import define


@define
class ManualClock:
    """A monotonic clock and a time of day that stand still between moves."""

    now_s: float = 1_000.0

    def monotonic(self):
        """Return the time."""
        return self.now_s

    def time_ns(self):
        """Return the time in nanoseconds."""
        return int(self.now_s * 1e9)
