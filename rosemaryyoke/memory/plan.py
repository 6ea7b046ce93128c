"""Divide a machine's memory among the process, its connections and requests."""

from attrs import frozen

MB = 1_000_000
KIB = 1024
# The largest machine in use; with it no limit below is reached by ordinary traffic.
DEFAULT_MEMORY_MB = 552.0
PROCESS_BYTES = 48 * MB  # a host without load was measured at 37 to 45 MB
# Of a connection: the thread that serves it was measured at 70 KB.
THREAD_BYTES = 72 * KIB
# Small requests fit in this amount, which each connection always has.
CONNECTION_ALLOWANCE_BYTES = 16 * KIB
# Bytes in socket buffers: most connections are idle, and theirs are empty.
SOCKET_BYTES = 16 * KIB
CONNECTION_BYTES = THREAD_BYTES + CONNECTION_ALLOWANCE_BYTES + SOCKET_BYTES
CONNECTIONS_SHARE = 0.6  # at most, of what the process does not need itself
# Of the rest; the remainder covers copies in progress and fragmentation of the heap.
BUDGET_SHARE = 0.75
MIN_CONNECTIONS = 32
MIN_BUDGET_BYTES = 1 * MB
# Of all connections: each auxiliary port, and the port for other hosts.
AUXILIARY_PART = 32
MIN_AUXILIARY_CONNECTIONS = 8
PEERS_PART = 5
AUXILIARY_PORTS = 3  # readiness, lookups and metrics


@frozen
class MemoryPlan:
    """How many connections each server may have, and the bytes for all requests.

    The counts are upper limits; servers that need fewer connections have fewer.
    """

    callers: int
    peers: int
    auxiliary: int
    budget_bytes: int


def plan_memory(
    memory_mb: float, callers: int, peers: int, auxiliary: int
) -> MemoryPlan:
    """Return the plan for a machine, given the connections that servers want.

    Process, connections and budget stay together below the machine's memory.
    """
    free_bytes = max(0, int(memory_mb * MB) - PROCESS_BYTES)
    wanted = callers + peers + AUXILIARY_PORTS * auxiliary
    affordable = int(CONNECTIONS_SHARE * free_bytes) // CONNECTION_BYTES
    total = max(MIN_CONNECTIONS, affordable)
    if total < wanted:
        auxiliary = min(
            auxiliary, max(MIN_AUXILIARY_CONNECTIONS, total // AUXILIARY_PART)
        )
        peers = min(peers, max(MIN_AUXILIARY_CONNECTIONS, total // PEERS_PART))
        left = total - peers - AUXILIARY_PORTS * auxiliary
        callers = min(callers, max(MIN_AUXILIARY_CONNECTIONS, left))
        wanted = callers + peers + AUXILIARY_PORTS * auxiliary
    left_bytes = free_bytes - wanted * CONNECTION_BYTES
    budget_bytes = max(MIN_BUDGET_BYTES, int(BUDGET_SHARE * left_bytes))
    return MemoryPlan(callers, peers, auxiliary, budget_bytes)
