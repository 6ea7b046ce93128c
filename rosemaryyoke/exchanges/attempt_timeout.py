"""How long an attempt may stay without an answer while others could be asked."""

from rosemaryyoke.catalog import STREAM
from rosemaryyoke.fleet import UpstreamState

OBJECTIVE_FACTOR = 2.0  # multiples of the route's objective
REMAINING_TIME_SHARE = 0.45  # of the caller's time, so that another attempt fits in
MAX_STREAM_TIMEOUT_S = (
    1.5  # callers abandon a stream after two seconds without an event
)
RECENT_ACTIVITY_S = 0.5  # an upstream that answered others so lately is slow, not dead
RECENT_ACTIVITY_FACTOR = 1.6
NO_TIMEOUT_S = 1e9


def attempt_timeout_s(exchange, state: UpstreamState, now_s: float) -> float:
    """Return the seconds that an attempt may take to its first byte or event."""
    route = exchange.route
    if not route.repeatable or exchange.run_count + 1 >= route.max_attempts:
        return NO_TIMEOUT_S
    timeout_s = OBJECTIVE_FACTOR * route.objective_s
    if route.kind == STREAM:
        timeout_s = min(timeout_s, MAX_STREAM_TIMEOUT_S)
    if now_s - state.last_sign_s() < RECENT_ACTIVITY_S:
        timeout_s *= RECENT_ACTIVITY_FACTOR
    return min(timeout_s, REMAINING_TIME_SHARE * (exchange.response_deadline_s - now_s))
