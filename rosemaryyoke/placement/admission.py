"""Admission control by predicted time to first token, with fairness between accounts.

Requests of accounts below their fair share are urgent: engines serve them first, and
they are rejected only if the predicted wait exceeds the route's target even so. Other
requests queue behind them and are rejected at a shorter wait, so that overload caused
by a large account does not affect small ones.
"""

from attrs import define, frozen

from rosemaryyoke.limits.fairness import FairShareTracker
from rosemaryyoke.placement.fleet import Choice

LARGE_ACCOUNT_WAIT_FRACTION = 0.5
URGENT_PRIORITY_OFFSET = 1
PRIORITY_LEVELS_PER_ROUTE = 2
MIN_WAIT_S = 0.05
SMOOTHING_FACTOR = 0.02
MAX_CORRECTION_FACTOR = 8.0


@frozen
class QueueClass:
    """Queueing class of a request: urgent or normal."""

    urgent: bool

    def priority(self, route_priority: int) -> int:
        """Return the priority to send to the engine."""
        return route_priority * PRIORITY_LEVELS_PER_ROUTE + (
            URGENT_PRIORITY_OFFSET if self.urgent else 0
        )

    def max_wait_s(self, ttft_s: float) -> float:
        """Return the longest predicted wait at which a request is admitted."""
        return ttft_s if self.urgent else ttft_s * LARGE_ACCOUNT_WAIT_FRACTION


def classify_account(
    shares: FairShareTracker, account: str, now_s: float
) -> QueueClass:
    """Return the queueing class of an account's next request."""
    return QueueClass(shares.is_small(account, now_s))


@define
class WaitCorrection:
    """Ratio of observed to predicted waits, as exponential moving averages.

    Predictions can be too low because a host does not know the requests of other hosts,
    nor the urgent requests that will overtake a queued one.
    """

    predicted_s: float = MIN_WAIT_S
    observed_s: float = MIN_WAIT_S

    @property
    def factor(self) -> float:
        """Return the factor to apply to a predicted wait; at least 1."""
        return min(MAX_CORRECTION_FACTOR, max(1.0, self.observed_s / self.predicted_s))

    def observe(self, predicted_s: float, observed_s: float) -> None:
        """Update the averages with the predicted and the observed wait of a request."""
        keep = 1.0 - SMOOTHING_FACTOR
        self.predicted_s = keep * self.predicted_s + SMOOTHING_FACTOR * max(
            predicted_s, MIN_WAIT_S
        )
        self.observed_s = keep * self.observed_s + SMOOTHING_FACTOR * max(
            observed_s, MIN_WAIT_S
        )


@define
class AdmissionController:
    """Admit or reject the requests of one host."""

    urgent: WaitCorrection
    normal: WaitCorrection

    def correction_for(self, queue_class: QueueClass) -> WaitCorrection:
        """Return the wait correction for a queueing class."""
        return self.urgent if queue_class.urgent else self.normal

    def expected_wait_s(self, queue_class: QueueClass, choice: Choice) -> float:
        """Return the predicted wait for a choice, after correction."""
        return (choice.ttft_s - choice.prefill_s) * self.correction_for(
            queue_class
        ).factor

    def admits(self, queue_class: QueueClass, choice: Choice, ttft_s: float) -> bool:
        """Return whether the expected wait is within the bound for the class."""
        return self.expected_wait_s(queue_class, choice) <= queue_class.max_wait_s(
            ttft_s
        )

    def observe(self, queue_class: QueueClass, choice: Choice, ttft_s: float) -> None:
        """Update the wait correction with an observed time to first token."""
        predicted_s = choice.ttft_s - choice.prefill_s
        self.correction_for(queue_class).observe(predicted_s, ttft_s - choice.prefill_s)


def make_admission_controller() -> AdmissionController:
    """Return an admission controller without observations."""
    return AdmissionController(WaitCorrection(), WaitCorrection())
