"""Which accounts ask for less than their fair share of prefill on this host."""

from attrs import define, field

from rosemaryyoke.limits.decay import DecayedSum

HALF_LIFE_S = 10.0
SMALL_ACCOUNT_FACTOR = 1.0
NEGLIGIBLE_DEMAND_S = 0.001
CLEANUP_INTERVAL = 1_024


def make_usage() -> DecayedSum:
    """Return prefill seconds that nothing was added to yet."""
    return DecayedSum(HALF_LIFE_S)


@define
class FairShareTracker:
    """Compare what each account asks for with an equal part of what is admitted.

    What an account asks for counts whether it was admitted or not; else a large account
    that is held to its share would look small and then large in turn.
    """

    demands: dict[str, DecayedSum] = field(factory=dict)
    admitted: DecayedSum = field(factory=make_usage)
    demand_count: int = 0

    def record_demand(self, account: str, prefill_s: float, now_s: float) -> None:
        """Count prefill that an account asks for."""
        self.demands.setdefault(account, make_usage()).add(prefill_s, now_s)
        self.demand_count += 1
        if self.demand_count % CLEANUP_INTERVAL == 0:
            self._remove_idle(now_s)

    def record_admission(self, prefill_s: float, now_s: float) -> None:
        """Count prefill that is admitted."""
        self.admitted.add(prefill_s, now_s)

    def is_small(self, account: str, now_s: float) -> bool:
        """Tell whether an account asks for well under its fair share."""
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
