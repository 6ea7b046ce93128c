"""Admission by predicted time to first token, with fair shares between accounts.

A small account's request is urgent: engines serve it first, and it is refused only
where even that would be too late. The others wait behind it and are refused earlier, so
that the excess of a large account does not reach the small ones.
"""

from attrs import define, frozen

from rosemaryyoke.limits.fairness import FairShares
from rosemaryyoke.placement.fleet import Choice

LARGE_ACCOUNT_WAIT = 0.5
URGENT_STEP = 1
PRIORITY_STEPS = 2
SMALLEST_WAIT_S = 0.05
LEARNING_SHARE = 0.02
MAX_FACTOR = 8.0


@frozen
class Standing:
    """How a request stands in the queues."""

    urgent: bool

    def priority(self, route_priority: int) -> int:
        """Return the priority that engines are given."""
        return route_priority * PRIORITY_STEPS + (URGENT_STEP if self.urgent else 0)

    def wait_bound_s(self, ttft_s: float) -> float:
        """Return the longest wait that a request is admitted to."""
        return ttft_s if self.urgent else ttft_s * LARGE_ACCOUNT_WAIT


def stand(shares: FairShares, account: str, now_s: float) -> Standing:
    """Return how an account's next request stands."""
    return Standing(shares.is_small(account, now_s))


@define
class WaitCorrection:
    """How much longer requests wait than was predicted, from recent answers.

    A host does not know what other hosts send, nor which urgent requests will pass one
    that waits.
    """

    predicted_s: float = SMALLEST_WAIT_S
    waited_s: float = SMALLEST_WAIT_S

    @property
    def factor(self) -> float:
        """Return what to multiply a predicted wait by; 1 at least."""
        return min(MAX_FACTOR, max(1.0, self.waited_s / self.predicted_s))

    def learn(self, predicted_s: float, waited_s: float) -> None:
        """Take in the wait that was predicted for a request and the one it had."""
        keep = 1.0 - LEARNING_SHARE
        self.predicted_s = keep * self.predicted_s + LEARNING_SHARE * max(
            predicted_s, SMALLEST_WAIT_S
        )
        self.waited_s = keep * self.waited_s + LEARNING_SHARE * max(
            waited_s, SMALLEST_WAIT_S
        )


@define
class Admission:
    """Admit or refuse the requests of one host."""

    urgent: WaitCorrection
    others: WaitCorrection

    def correction(self, standing: Standing) -> WaitCorrection:
        """Return the correction for requests of a standing."""
        return self.urgent if standing.urgent else self.others

    def wait_s(self, standing: Standing, choice: Choice) -> float:
        """Return the wait to expect at a choice."""
        return (choice.ttft_s - choice.prefill_s) * self.correction(standing).factor

    def admits(self, standing: Standing, choice: Choice, ttft_s: float) -> bool:
        """Tell whether the wait is within what the request is admitted to."""
        return self.wait_s(standing, choice) <= standing.wait_bound_s(ttft_s)

    def learn(self, standing: Standing, choice: Choice, ttft_s: float) -> None:
        """Take in the time to first token that a request had."""
        predicted_s = choice.ttft_s - choice.prefill_s
        self.correction(standing).learn(predicted_s, ttft_s - choice.prefill_s)


def make_admission() -> Admission:
    """Return an admission that has learned nothing yet."""
    return Admission(WaitCorrection(), WaitCorrection())
