"""How urgent the requests of a configuration are, against each other.

Answers the load of two kinds of requests that compete for the same engines in a burst:
chat turns of a few hundred tokens that are worthless when late, and long prompts that
may wait.
"""

from attrs import define, field

from rosemaryyoke.catalog import ClientAccount, Configuration, ExchangeRoute

QUEUE_WAIT_OBJECTIVES = 0.8  # longer queues fill engine memory and evict cache entries
PRIORITY_WEIGHT = 0.7
# Share of the queue of a more urgent kind that the next kind may fill, so that
# requests which may wait leave room for those that may not.
LESS_URGENT_QUEUE_SHARE = 0.75
LOWEST_RANK = 9  # engines take priorities from 0, the most urgent, to 9

PriorityPair = tuple[int, int]


def own_queue_wait_s(route: ExchangeRoute) -> float:
    """Return the longest queue that a route's latency objective and priority bear."""
    return (
        QUEUE_WAIT_OBJECTIVES
        * route.objective_s
        / (1 + PRIORITY_WEIGHT * route.priority)
    )


def queue_wait_limits_s(configuration: Configuration) -> dict[str, float]:
    """Return the longest queue wait that requests of each route may join, by name.

    Routes of the same kind compete if they have a service in common. Requests of the
    less urgent one are rejected at shorter queues, whatever its objective is.
    """
    limits: dict[str, float] = {}
    groups: dict[tuple[str, str], list[ExchangeRoute]] = {}
    for route in sorted(configuration.routes, key=lambda item: item.priority):
        limit_s = own_queue_wait_s(route)
        for target in route.targets:
            competing = groups.setdefault((route.kind, target.service), [])
            for other in competing:
                steps = route.priority - other.priority
                if steps:
                    share = LESS_URGENT_QUEUE_SHARE**steps
                    limit_s = min(limit_s, share * limits[other.name])
            competing.append(route)
        limits[route.name] = limit_s
    return limits


def priority_pair(account: ClientAccount | None, route: ExchangeRoute) -> PriorityPair:
    """Return the priorities of a request, the one that takes precedence first.

    An account without a priority of its own has that of the route.
    """
    if account is None or account.priority is None:
        return route.priority, route.priority
    return account.priority, route.priority


def priority_ranks(configuration: Configuration) -> dict[PriorityPair, int]:
    """Return the rank of each pair of priorities, from 0 to ``LOWEST_RANK``.

    Among requests of accounts with equal priority, those of the more urgent route come
    first. With more pairs than ranks, neighbouring pairs share a rank.
    """
    routes = {item.priority: item for item in configuration.routes}.values()
    accounts = {item.priority: item for item in configuration.accounts}.values()
    pairs = sorted(
        {
            priority_pair(account, route)
            for account in (None, *accounts)
            for route in routes
        }
    )
    shared = max(1.0, len(pairs) / (LOWEST_RANK + 1))
    return {pair: int(number / shared) for number, pair in enumerate(pairs)}


@define(eq=False)
class Urgency:
    """Queue limits and ranks of the configuration in force, computed once for each."""

    configuration: Configuration | None = None
    limits_s: dict[str, float] = field(factory=dict)
    ranks: dict[PriorityPair, int] = field(factory=dict)

    def max_queue_wait_s(
        self, configuration: Configuration, route: ExchangeRoute
    ) -> float:
        """Return the longest queue wait that a request of a route may join."""
        return self.of(configuration).limits_s[route.name]

    def rank(
        self,
        configuration: Configuration,
        account: ClientAccount | None,
        route: ExchangeRoute,
    ) -> int:
        """Return the rank of a request among all that engines are sent."""
        return self.of(configuration).ranks[priority_pair(account, route)]

    def of(self, configuration: Configuration) -> "Urgency":
        """Return the limits and ranks of a configuration."""
        if configuration is self.configuration:
            return self
        computed = Urgency(
            configuration,
            queue_wait_limits_s(configuration),
            priority_ranks(configuration),
        )
        # Requests that began under an older configuration may compute theirs again.
        newest = self.configuration
        if newest is None or configuration.version > newest.version:
            self.limits_s, self.ranks = computed.limits_s, computed.ranks
            self.configuration = configuration
        return computed
