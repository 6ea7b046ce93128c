"""Bans of prompt parts and requests: how long they last, and how they end."""

import random

from attrs import define

BAN_S = 30.0
BAN_GROWTH = 6.0  # per renewal
MAX_BAN_S = 6 * 3_600.0
# Hosts end a ban at different times, so that one request tries the part first.
END_JITTER = (1.0, 1.5)
HOSTS_PER_JITTER = 10
PROBE_TIMEOUT_S = 30.0
MAX_LEVEL = 255
# Requests that are tried this often in vain are refused for as long as they come.
MAX_REQUEST_PROBES = 3
# A crash this long after the ban began comes from a request that tried the part again.
RENEWAL_AGE_S = 10.0


@define(eq=False)
class Ban:
    """A set of parts; prompts that contain all of them are not sent to engines.

    The fingerprint of a request stands for a part that no other request has.
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

    def spread_end(self, hosts: int) -> None:
        """Draw the end again, over a time that grows with the number of hosts."""
        low, high = END_JITTER
        spread = (high - low) * max(1.0, hosts / HOSTS_PER_JITTER)
        duration_s = ban_duration_s(self.level)
        self.until_s = self.began_s + duration_s * random.uniform(low, low + spread)

    def may_probe(self, now_s: float) -> bool:
        """Return whether a request may try the parts again."""
        return now_s >= max(self.until_s, self.probe_until_s)

    def begin_probe(self, now_s: float) -> None:
        """Let no further request try the parts until the outcome of one is known."""
        self.probe_until_s = now_s + PROBE_TIMEOUT_S

    def left_s(self, now_s: float) -> float:
        """Return the time until a request may try the parts again."""
        return max(0.0, self.until_s - now_s, self.probe_until_s - now_s)

    def is_due_for_refresh(self, now_s: float) -> bool:
        """Return whether no try is left, half of the ban is over and it has not ended.

        Only bans of requests are refreshed.
        """
        if self.level < MAX_REQUEST_PROBES or self.may_probe(now_s):
            return False
        return now_s - self.began_s >= ban_duration_s(self.level) / 2

    def refreshed(self, now_s: float) -> "Ban":
        """Return the ban of a request that still comes after all tries."""
        return Ban(self.keys, now_s, self.level)

    def refreshes(self, known: "Ban") -> bool:
        """Return whether this ban replaces one that was known before it."""
        age_s = self.began_s - known.began_s
        is_spent = self.level == known.level >= MAX_REQUEST_PROBES
        return is_spent and age_s >= ban_duration_s(self.level) / 2

    def renewed(self, now_s: float) -> "Ban":
        """Return the longer ban after a request that tried the parts crashed."""
        return Ban(self.keys, now_s, min(MAX_LEVEL, self.level + 1))


def ban_duration_s(level: int) -> float:
    """Return the shortest duration of a ban that was renewed ``level`` times."""
    exponent = min(level, 16)
    return min(MAX_BAN_S, BAN_S * BAN_GROWTH**exponent)
