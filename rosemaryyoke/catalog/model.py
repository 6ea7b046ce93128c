"""Data model of the configuration and of upstream registrations."""

from attrs import field, frozen

from rosemaryyoke.http1 import Address

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"


@frozen
class Target:
    """A destination service of a route and its relative weight."""

    service: str
    weight: float = 1.0


@frozen
class ExchangeRoute:
    """Targets, timeouts and retry rules for a host name and path prefix.

    ``timeout_s`` limits the time to the complete answer. ``objective_s`` is the latency
    target: the time to the answer or, for streams, to the first event. Priority 0 is
    the highest.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    priority: int = 5
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request of this route may be executed more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


@frozen
class EngineTraits:
    """Properties shared by all engines of a service; sizes in tokens and bytes."""

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...] = ()


@frozen
class ServiceTraits:
    """A declared service.

    ``store`` is the address of a KV cache store with a capacity of ``store_tokens``.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineTraits | None = None
    store: Address | None = None
    store_tokens: int = 0


@frozen
class Quota:
    """What all hosts together may admit of an account: a rate and a burst.

    Both are in tokens or, unless ``in_tokens``, in requests. ``uncounted_tokens`` is
    the cost of a request that does not tell its size.
    """

    rate_per_s: float
    burst: float
    in_tokens: bool = False
    uncounted_tokens: float = 0.0

    def cost(self, counted_tokens: int | None) -> float:
        """Return the cost of a request, whose size is ``None`` if it tells none."""
        if not self.in_tokens:
            return 1.0
        tokens = self.uncounted_tokens if counted_tokens is None else counted_tokens
        return max(1.0, float(tokens))


@frozen
class ClientAccount:
    """The account billed for requests. Isolated accounts share no cache entries."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    quota: Quota | None = None


@frozen
class ConnectionLimits:
    """Size limits and timeouts of client connections."""

    head_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@frozen
class Configuration:
    """One version of the operators' configuration; versions only increase."""

    version: int
    routes: tuple[ExchangeRoute, ...]
    services: dict[str, ServiceTraits]
    accounts: tuple[ClientAccount, ...] = ()
    limits: ConnectionLimits = ConnectionLimits()
    routes_by_host: dict[str, list[ExchangeRoute]] = field(init=False)
    accounts_by_key: dict[str, ClientAccount] = field(init=False)

    @routes_by_host.default
    def _routes_by_host(self) -> dict[str, list[ExchangeRoute]]:
        """Index routes by host name, longest path prefix first."""
        found: dict[str, list[ExchangeRoute]] = {}
        for route in self.routes:
            found.setdefault(route.host, []).append(route)
        for routes in found.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return found

    @accounts_by_key.default
    def _accounts_by_key(self) -> dict[str, ClientAccount]:
        return {key: item for item in self.accounts for key in item.keys}

    def find_route(self, host: str, path: str) -> ExchangeRoute | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def stores(self) -> list[ServiceTraits]:
        """Return the services that are KV cache stores."""
        return [item for item in self.services.values() if item.store is not None]


@frozen
class Upstream:
    """A registered upstream.

    ``weights`` maps each model to the version that the upstream serves. ``born_ms`` is
    the Unix time of its start in milliseconds, or 0 if it is unknown. ``written_era``
    is the newest era of the store in which the upstream is known to have written its
    registration. ``software`` is the version of its program, not of the weights.
    """

    name: str
    service: str
    address: Address
    data_centre: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    weights: dict[str, int] = field(factory=dict)
    born_ms: int = 0
    written_era: int = 0
    software: str = ""


@frozen
class WantedWeights:
    """The newest weights version that operators declared for a model."""

    model: str
    version: int
