"""Which clients lose their memory or connection first when either is short."""

import math
from typing import Iterable, Protocol, TypeVar

LITTLE_PROGRESS_BYTES_PER_S = 16 * 1024  # slower clients than any ordinary one
PROGRESS_GRACE_S = 1.0  # before the rate of a client tells anything
STALLED_S = 1.0  # no ordinary client pauses for longer within a request
EVICTABLE_PHASES = frozenset({"head", "body"})
# Of the idle timeout: for so long, well-behaved clients may use a connection again.
KEPT_IDLE_SHARE = 0.8


class Client(Protocol):
    """What the choice looks at: see ``Reservation``."""

    phase: str
    phase_began_s: float
    progress_s: float
    received_bytes: int
    granted_bytes: int
    is_costly: bool
    evicted: bool


ClientType = TypeVar("ClientType", bound=Client)


def makes_little_progress(client: Client, now_s: float) -> bool:
    """Return whether a client stalls, or sends or reads very slowly.

    So does one whose body is costly to parse: its bytes bring hardly any content.
    """
    if client.is_costly:
        return True
    if now_s - client.progress_s >= STALLED_S:
        return True
    age_s = now_s - client.phase_began_s
    if age_s < PROGRESS_GRACE_S:
        return False
    return client.received_bytes < LITTLE_PROGRESS_BYTES_PER_S * age_s


def choose_holder(clients: Iterable[ClientType], now_s: float) -> ClientType | None:
    """Return the client to evict for its memory, or ``None``.

    It is the one that holds the most among those making little progress, else among
    all whose request is incomplete. Complete requests are never evicted, but clients
    that stall while a response is written to them are.
    """
    best, best_rank = None, (False, -math.inf)
    for client in clients:
        if client.evicted:
            continue
        is_slow = makes_little_progress(client, now_s)
        is_unread = client.phase == "writing" and is_slow
        if client.phase not in EVICTABLE_PHASES and not is_unread:
            continue
        rank = (is_slow, client.granted_bytes)
        if best is None or rank > best_rank:
            best, best_rank = client, rank
    return best


def choose_connection(
    clients: Iterable[ClientType], now_s: float, idle_timeout_s: float
) -> ClientType | None:
    """Return the client whose connection to close for a new one, or ``None``.

    First come clients that stall within a request or response, longest without
    progress first; then the longest idle. Clients that are idle for less than
    ``KEPT_IDLE_SHARE`` of the timeout are closed only if nothing else is left.
    """
    best, best_rank = None, (-1, -math.inf)
    for client in clients:
        if client.evicted or client.phase == "upstream":
            continue
        quiet_s = now_s - client.progress_s
        if client.phase == "idle":
            kept = quiet_s < KEPT_IDLE_SHARE * idle_timeout_s
            rank = (0 if kept else 1, quiet_s)
        elif makes_little_progress(client, now_s):
            rank = (2, quiet_s)
        else:
            continue
        if rank > best_rank:
            best, best_rank = client, rank
    return best
