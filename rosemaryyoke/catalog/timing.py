"""How often hosts read the store and each other, so that changes apply in time."""

from attrs import frozen

# Shares of the time within which a change must be in force. A change reaches a host
# over a call to the store and one poll, or two where relays are between them.
CALL_PERIOD_SHARE = 0.4
WATCH_SHARE = 0.2
PAUSE_SHARE = 0.2
POLL_SHARE = 0.5
MIN_POLL_SHARE = 0.3
MAX_AGE_SHARE = 0.6
AGEING_SHARE = 0.5
TTL_SHARE = 0.95
READING_TTL_SHARE = 0.85
MAX_CHANGE_BOUND_S = 2.0  # a larger bound would only delay changes


@frozen
class ViewTiming:
    """Periods in seconds of the calls that keep a host's view of the store current.

    Calls to the store begin ``call_period_s`` apart if nothing changes: each waits for
    ``watch_s`` and is followed by a pause of at most ``pause_s``. Polls between hosts
    end after ``poll_s``, or after ``min_poll_s`` if the view was confirmed meanwhile,
    or even sooner if the view of the polling host is older than ``ageing_s``. A view
    that is older than ``max_age_s`` is refreshed elsewhere, and one that is older than
    ``ttl_s`` is not current. A host whose last read of the store succeeded
    ``reading_ttl_s`` ago no longer counts as reading it.
    """

    call_period_s: float
    watch_s: float
    pause_s: float
    poll_s: float
    min_poll_s: float
    ageing_s: float
    max_age_s: float
    ttl_s: float
    reading_ttl_s: float

    @classmethod
    def for_bound(cls, change_bound_s: float) -> "ViewTiming":
        """Return the periods for changes that must be in force within a time."""
        bound_s = min(change_bound_s, MAX_CHANGE_BOUND_S)
        return cls(
            CALL_PERIOD_SHARE * bound_s,
            WATCH_SHARE * bound_s,
            PAUSE_SHARE * bound_s,
            POLL_SHARE * bound_s,
            MIN_POLL_SHARE * bound_s,
            AGEING_SHARE * bound_s,
            MAX_AGE_SHARE * bound_s,
            TTL_SHARE * bound_s,
            READING_TTL_SHARE * bound_s,
        )


DEFAULT_TIMING = ViewTiming.for_bound(MAX_CHANGE_BOUND_S)
