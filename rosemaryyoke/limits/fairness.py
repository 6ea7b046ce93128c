"""Which accounts ask for less than their fair share of prefill on this host."""

from attrs import define, field

from rosemaryyoke.limits.decay import DecayedSum

HALF_LIFE_S = 10.0
SMALL_SHARE = 1.0
FORGOTTEN_S = 0.001
SWEEP_EVERY = 1_024


def make_use() -> DecayedSum:
    """Return prefill seconds that nothing was added to yet."""
    return DecayedSum(HALF_LIFE_S)


@define
class FairShares:
    """Compare what each account asks for with an equal part of what is admitted.

    What an account asks for counts whether it was admitted or not; else a large account
    that is held to its share would look small and then large in turn.
    """

    demands: dict[str, DecayedSum] = field(factory=dict)
    admitted: DecayedSum = field(factory=make_use)
    asked: int = 0

    def ask(self, account: str, prefill_s: float, now_s: float) -> None:
        """Count prefill that an account asks for."""
        self.demands.setdefault(account, make_use()).add(prefill_s, now_s)
        self.asked += 1
        if self.asked % SWEEP_EVERY == 0:
            self._forget_idle(now_s)

    def admit(self, prefill_s: float, now_s: float) -> None:
        """Count prefill that is admitted."""
        self.admitted.add(prefill_s, now_s)

    def is_small(self, account: str, now_s: float) -> bool:
        """Tell whether an account asks for well under its fair share."""
        demand = self.demands.get(account)
        if demand is None:
            return True
        share_s = self.admitted.current(now_s) / len(self.demands)
        return demand.current(now_s) <= SMALL_SHARE * share_s

    def _forget_idle(self, now_s: float) -> None:
        idle = [
            account
            for account, use in self.demands.items()
            if use.current(now_s) < FORGOTTEN_S
        ]
        for account in idle:
            del self.demands[account]
