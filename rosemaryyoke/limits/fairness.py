"""Detection of accounts below their fair share of this host's prefill time."""

from attrs import define, field

from rosemaryyoke.limits.decay import DecayedSum

HALF_LIFE_S = 10.0
SMALL_ACCOUNT_FACTOR = 1.0
NEGLIGIBLE_DEMAND_S = 0.001
CLEANUP_INTERVAL = 1_024


def make_usage() -> DecayedSum:
    """Return an empty decayed sum of prefill seconds."""
    return DecayedSum(HALF_LIFE_S)


@define
class FairShareTracker:
    """Compare each account's demand with an equal share of the admitted prefill.

    Demand includes rejected requests. Otherwise a large account that is limited to its
    share would alternate between being classified as small and as large.
    """

    demands: dict[str, DecayedSum] = field(factory=dict)
    admitted: DecayedSum = field(factory=make_usage)
    demand_count: int = 0

    def record_demand(self, account: str, prefill_s: float, now_s: float) -> None:
        """Add requested prefill to an account's demand, whether admitted or not."""
        self.demands.setdefault(account, make_usage()).add(prefill_s, now_s)
        self.demand_count += 1
        if self.demand_count % CLEANUP_INTERVAL == 0:
            self._remove_idle(now_s)

    def record_admission(self, prefill_s: float, now_s: float) -> None:
        """Add admitted prefill to the total."""
        self.admitted.add(prefill_s, now_s)

    def is_small(self, account: str, now_s: float) -> bool:
        """Return whether an account's demand is at most its fair share."""
        demand = self.demands.get(account)
        if demand is None:
            return True
        share_s = self.admitted.current(now_s) / len(self.demands)
        return demand.current(now_s) <= SMALL_ACCOUNT_FACTOR * share_s

    def _remove_idle(self, now_s: float) -> None:
        idle = [
            account
            for account, usage in self.demands.items()
            if usage.current(now_s) < NEGLIGIBLE_DEMAND_S
        ]
        for account in idle:
            del self.demands[account]
