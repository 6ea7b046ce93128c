"""How long an attempt may stay without an answer while others could be asked."""

from rosemaryyoke.catalog import STREAM
from rosemaryyoke.fleet import UpstreamState

OBJECTIVES = 2.0  # multiples of the route's objective
LEFT_SHARE = 0.45  # of the caller's time, so that another attempt fits in
STREAM_MOST_S = 1.5  # callers abandon a stream after two seconds without an event
LIVELY_S = 0.5  # an upstream that answered others so lately is slow, not dead
LIVELY_FACTOR = 1.6
NEVER_S = 1e9


def patience_s(exchange, state: UpstreamState, now_s: float) -> float:
    """Return the seconds that an attempt may take to its first byte or event."""
    route = exchange.route
    if not route.repeatable or exchange.runs + 1 >= route.max_attempts:
        return NEVER_S
    patience = OBJECTIVES * route.objective_s
    if route.kind == STREAM:
        patience = min(patience, STREAM_MOST_S)
    if now_s - state.last_activity_s() < LIVELY_S:
        patience *= LIVELY_FACTOR
    return min(patience, LEFT_SHARE * (exchange.until_s - now_s))
