"""Bans of prompt parts: how long they last, and how they end."""

import random

from attrs import define

BAN_S = 30.0
BAN_GROWTH = 6.0  # per renewal
MAX_BAN_S = 6 * 3_600.0
# Hosts end a ban at different times, so that one request tries the part first.
END_JITTER = (1.0, 1.5)
PROBE_TIMEOUT_S = 30.0
MAX_LEVEL = 255
# A crash this long after the ban began comes from a request that tried the part again.
RENEWAL_AGE_S = 10.0


@define(eq=False)
class Ban:
    """A set of parts; prompts that contain all of them are not sent to engines.

    ``level`` counts how often the ban was renewed. All times are in seconds by the
    clock of this host. After ``until_s`` one request at a time may try the parts.
    """

    keys: frozenset[int]
    began_s: float
    level: int = 0
    until_s: float = 0.0
    probe_until_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.until_s = self.began_s + ban_duration_s(self.level) * random.uniform(
            *END_JITTER
        )

    def admits_probe(self, now_s: float) -> bool:
        """Return whether a request may try the parts again, and count it if so."""
        if now_s < self.until_s or now_s < self.probe_until_s:
            return False
        self.probe_until_s = now_s + PROBE_TIMEOUT_S
        return True

    def left_s(self, now_s: float) -> float:
        """Return the time until a request may try the parts again."""
        return max(0.0, self.until_s - now_s, self.probe_until_s - now_s)

    def renewed(self, now_s: float) -> "Ban":
        """Return the longer ban after a request that tried the parts crashed."""
        return Ban(self.keys, now_s, min(MAX_LEVEL, self.level + 1))


def ban_duration_s(level: int) -> float:
    """Return the shortest duration of a ban that was renewed ``level`` times."""
    exponent = min(level, 16)
    return min(MAX_BAN_S, BAN_S * BAN_GROWTH**exponent)
