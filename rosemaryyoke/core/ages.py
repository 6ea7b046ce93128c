"""Ages of events in messages between hosts, whose clocks differ."""

MS_PER_S = 1_000
MAX_AGE_MS = 2**32 - 1


def age_ms(at_s: float, now_s: float) -> int:
    """Return how long ago something was, in milliseconds, as encoded."""
    return min(MAX_AGE_MS, max(0, round((now_s - at_s) * MS_PER_S)))


def time_of_age(age: int, now_s: float) -> float:
    """Return when something was that is ``age`` milliseconds old."""
    return now_s - age / MS_PER_S
