"""What the callers of a server may hold of its process together."""

from attrs import frozen

from rosemaryyoke.memory.plan import (
    BUDGET_SHARE,
    CONNECTION_ALLOWANCE_BYTES,
    MB,
)

# Of ``serve`` without callers: 55 to 62 MB measured.
PROCESS_BYTES = 62 * MB
# Per connection: a task's stack (72 KB), the allowance, and what the system may hold
# unread in a receive buffer, which it doubles for its own needs.
RECEIVE_BUFFER_BYTES = 16 * 1024
CONNECTION_BYTES = 72 * 1024 + CONNECTION_ALLOWANCE_BYTES + 2 * RECEIVE_BUFFER_BYTES
# Of what the process does not need; leaves a single body of 8 MB its place, with the
# copies that serving it takes, on machines of 120 MB.
CONNECTIONS_SHARE = 0.4
MIN_CONNECTIONS = 16
# Not reached by 640 connections with bodies of 1 MB each.
DEFAULT_BUDGET_BYTES = 2_048 * MB


@frozen
class ServerLimits:
    """Limits of all connections of a server together.

    ``receive_buffer_bytes`` limits what the system holds of a connection unread; 0
    leaves it to the system.
    """

    max_connections: int
    budget_bytes: int = DEFAULT_BUDGET_BYTES
    receive_buffer_bytes: int = 0


def derive_limits(max_connections: int, memory_mb: int | None) -> ServerLimits:
    """Return the limits that keep a process within the memory of its machine."""
    if memory_mb is None:
        return ServerLimits(max_connections)
    free_bytes = max(0, memory_mb * MB - PROCESS_BYTES)
    affordable = int(CONNECTIONS_SHARE * free_bytes) // CONNECTION_BYTES
    connections = min(max_connections, max(MIN_CONNECTIONS, affordable))
    left_bytes = max(0, free_bytes - connections * CONNECTION_BYTES)
    return ServerLimits(
        connections, int(BUDGET_SHARE * left_bytes), RECEIVE_BUFFER_BYTES
    )
