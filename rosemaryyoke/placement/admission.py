"""Admission by predicted time to first token, with fair shares between accounts.

A small account's request is urgent: engines serve it first, and it is refused only
where even that would be too late. The others wait behind it and are refused earlier, so
that the excess of a large account does not reach the small ones.
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
    """How a request stands in the queues."""

    urgent: bool

    def priority(self, route_priority: int) -> int:
        """Return the priority that engines are given."""
        return route_priority * PRIORITY_LEVELS_PER_ROUTE + (
            URGENT_PRIORITY_OFFSET if self.urgent else 0
        )

    def max_wait_s(self, ttft_s: float) -> float:
        """Return the longest wait that a request is admitted to."""
        return ttft_s if self.urgent else ttft_s * LARGE_ACCOUNT_WAIT_FRACTION


def classify_account(
    shares: FairShareTracker, account: str, now_s: float
) -> QueueClass:
    """Return how an account's next request stands."""
    return QueueClass(shares.is_small(account, now_s))


@define
class WaitCorrection:
    """How much longer requests wait than was predicted, from recent answers.

    A host does not know what other hosts send, nor which urgent requests will pass one
    that waits.
    """

    predicted_s: float = MIN_WAIT_S
    observed_s: float = MIN_WAIT_S

    @property
    def factor(self) -> float:
        """Return what to multiply a predicted wait by; 1 at least."""
        return min(MAX_CORRECTION_FACTOR, max(1.0, self.observed_s / self.predicted_s))

    def observe(self, predicted_s: float, observed_s: float) -> None:
        """Take in the wait that was predicted for a request and the one it had."""
        keep = 1.0 - SMOOTHING_FACTOR
        self.predicted_s = keep * self.predicted_s + SMOOTHING_FACTOR * max(
            predicted_s, MIN_WAIT_S
        )
        self.observed_s = keep * self.observed_s + SMOOTHING_FACTOR * max(
            observed_s, MIN_WAIT_S
        )


@define
class AdmissionController:
    """Admit or refuse the requests of one host."""

    urgent: WaitCorrection
    normal: WaitCorrection

    def correction_for(self, queue_class: QueueClass) -> WaitCorrection:
        """Return the correction for requests of a standing."""
        return self.urgent if queue_class.urgent else self.normal

    def expected_wait_s(self, queue_class: QueueClass, choice: Choice) -> float:
        """Return the wait to expect at a choice."""
        return (choice.ttft_s - choice.prefill_s) * self.correction_for(
            queue_class
        ).factor

    def admits(self, queue_class: QueueClass, choice: Choice, ttft_s: float) -> bool:
        """Tell whether the wait is within what the request is admitted to."""
        return self.expected_wait_s(queue_class, choice) <= queue_class.max_wait_s(
            ttft_s
        )

    def observe(self, queue_class: QueueClass, choice: Choice, ttft_s: float) -> None:
        """Take in the time to first token that a request had."""
        predicted_s = choice.ttft_s - choice.prefill_s
        self.correction_for(queue_class).observe(predicted_s, ttft_s - choice.prefill_s)


def make_admission_controller() -> AdmissionController:
    """Return an admission that has learned nothing yet."""
    return AdmissionController(WaitCorrection(), WaitCorrection())
