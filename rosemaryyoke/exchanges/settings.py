"""Per-host settings of a host that routes exchanges."""

from attrs import frozen

from rosemaryyoke.hosts.pacer import DEFAULT_LINK_MBPS
from rosemaryyoke.http1 import Address

DEFAULT_CONNECTIONS = 600
DEFAULT_METRICS_PORT = 9_464  # the usual port of Prometheus exporters

# Ordinary callers read on within milliseconds; the buffers of a connection fill first.
DEFAULT_WRITE_STALL_S = 5.0


@frozen
class RoutingSettings:
    """Addresses, location and agreed operating limits.

    ``weights_bound_s`` is how long a request may start on weights after newer ones were
    announced. ``retry_ratio`` and ``retry_slack`` limit the retries of all
    hosts together in ``retry_window_s``. ``grace_s`` limits the time of a shutdown.
    ``drain_s`` is how long an upstream serves on after it announced that it leaves.
    ``apply_s`` is the time within which a changed configuration must be in force.
    ``quota_overage`` and ``quota_slack`` are what an account may have beyond its quota
    in any ``quota_window_s``, as a ratio and in the unit of the quota.
    ``link_mbps`` is the rate of the host's network link, and ``memory_mb`` the memory
    of its machine, if it is known. ``write_stall_s`` is how long a caller may leave a
    response unread.
    """

    name: str
    data_centre: str
    region: str
    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    store: Address
    seeds: tuple[Address, ...] = ()
    metrics_port: int = DEFAULT_METRICS_PORT
    grace_s: float = 8.0
    drain_s: float = 2.0
    apply_s: float = 2.0
    link_mbps: float = DEFAULT_LINK_MBPS
    lease_s: float = 3.0
    weights_bound_s: float = 15.0
    retry_ratio: float = 0.2
    retry_slack: float = 10.0
    retry_window_s: float = 10.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 110_000.0
    answer_lifetime_max_s: float = 5.0
    max_connections: int = DEFAULT_CONNECTIONS
    memory_mb: float | None = None
    write_stall_s: float = DEFAULT_WRITE_STALL_S
