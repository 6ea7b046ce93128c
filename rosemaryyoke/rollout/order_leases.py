"""Leases on the orders to engines, one per model.

An engine accepts orders for any of its models, so a host must hold the leases of all of
them before it sends one. Leases are acquired in the order of their names, and a later
one is not renewed without the earlier ones: two hosts never wait for each other.
"""

from typing import Callable, Iterable

from attrs import define, field

from rosemaryyoke.objects import Lease


@define(eq=False)
class OrderLeases:
    """The leases of models that this host has asked for."""

    make_lease: Callable[[str], Lease]
    leases: dict[str, Lease] = field(factory=dict)

    def acquire(self, models: Iterable[str]) -> bool:
        """Acquire or renew the leases of models; return whether all are held.

        Leases after one that is not held are only observed, so that the terms of
        several earlier holders expire side by side.
        """
        all_held = True
        for model in sorted(models):
            lease = self.leases.get(model)
            if lease is None:
                lease = self.leases[model] = self.make_lease(model)
            if all_held:
                all_held = lease.acquire()
            else:
                lease.observe()
        return all_held

    def remaining_s(self, models: Iterable[str]) -> float:
        """Return for how long this host certainly holds the leases of all models."""
        known = [self.leases.get(model) for model in models]
        return min(
            (lease.remaining_s() if lease else 0.0 for lease in known), default=0.0
        )

    def fencing_token(self, models: Iterable[str]) -> int:
        """Return a token that is higher than any that an earlier holder could use.

        Versions of all leases come from one counter of the store.
        """
        return max(self.leases[model].fencing_token for model in models)
