"""Timeout of an attempt while other upstreams can still be tried."""

from rosemaryyoke.catalog import STREAM
from rosemaryyoke.fleet import UpstreamState

OBJECTIVE_FACTOR = 2.0  # multiple of the route's latency objective
REMAINING_TIME_SHARE = (
    0.45  # of the caller's remaining time, so that another attempt fits
)
MAX_STREAM_TIMEOUT_S = 1.5  # callers abandon a stream after 2 s without an event
RECENT_ACTIVITY_S = 0.5  # an upstream that responded this recently is slow, not down
RECENT_ACTIVITY_FACTOR = 1.6
NO_TIMEOUT_S = 1e9


def attempt_timeout_s(exchange, state: UpstreamState, now_s: float) -> float:
    """Return the timeout for the first byte or event of an attempt, in seconds."""
    route = exchange.route
    if not route.repeatable or exchange.run_count + 1 >= route.max_attempts:
        return NO_TIMEOUT_S
    timeout_s = OBJECTIVE_FACTOR * route.objective_s
    if route.kind == STREAM:
        timeout_s = min(timeout_s, MAX_STREAM_TIMEOUT_S)
    if now_s - state.last_activity_s() < RECENT_ACTIVITY_S:
        timeout_s *= RECENT_ACTIVITY_FACTOR
    return min(timeout_s, REMAINING_TIME_SHARE * (exchange.response_deadline_s - now_s))
