"""The bytes that a process holds for the requests and responses of its clients."""

import threading
import time
from collections import Counter
from enum import StrEnum
from typing import Callable

from attrs import define, field

from rosemaryyoke.memory.eviction import choose_connection, choose_holder
from rosemaryyoke.memory.plan import (
    CONNECTION_ALLOWANCE_BYTES,
    DEFAULT_MEMORY_MB,
    plan_memory,
)

# Reservations grow in steps, so that a body of 4 MB takes the lock 64 times.
STEP_BYTES = 64 * 1024
# Time for the tasks of evicted requests to free their memory.
EVICTION_WAIT_S = 0.5
# A budget that has refused requests for this long refuses large ones at their head.
PRESSURE_S = 1.0
# After the last refusal for lack of memory, large requests are taken again.
PRESSURE_END_S = 0.5
# Requests of this size are taken under pressure, too.
SMALL_REQUEST_BYTES = 64 * 1024
RETRY_AFTER_S = 1.0  # for requests refused for lack of memory


class Phase(StrEnum):
    """What the holder of a reservation waits for."""

    IDLE = "idle"  # the next request
    HEAD = "head"  # the rest of a head
    BODY = "body"  # the rest of a body
    UPSTREAM = "upstream"  # the response to a complete request; never evicted
    WRITING = "writing"  # the client to read a response


@define(eq=False)
class Reservation:
    """The memory held for one connection.

    ``needed_bytes`` is what the connection holds, ``granted_bytes`` what is reserved
    for it beyond its allowance. ``received_bytes`` counts since ``phase_began_s``;
    ``is_costly`` says that these bytes take very much processor time.
    ``evict`` wakes the connection's task, which then closes the connection.
    """

    budget: "MemoryBudget"
    evict: Callable[[], None] = lambda: None
    needed_bytes: int = 0
    granted_bytes: int = 0
    phase: Phase = Phase.IDLE
    phase_began_s: float = field(factory=time.monotonic)
    progress_s: float = field(factory=time.monotonic)
    received_bytes: int = 0
    is_costly: bool = False
    evicted: bool = False

    def begin_phase(self, phase: Phase, now_s: float) -> None:
        """Record what the connection waits for from now on."""
        self.phase = phase
        self.phase_began_s = self.progress_s = now_s
        self.received_bytes = 0
        self.is_costly = False

    def protect(self, now_s: float) -> bool:
        """Begin to wait for the upstream; return false if evicted before."""
        with self.budget.freed:
            if self.evicted:
                return False
            self.begin_phase(Phase.UPSTREAM, now_s)
            return True

    def record_progress(self, size: int, now_s: float) -> None:
        """Record that bytes were received or sent."""
        self.received_bytes += size
        self.progress_s = now_s

    def add(self, size: int) -> bool:
        """Hold more bytes, or fewer if negative; return whether they fit."""
        return self.resize(self.needed_bytes + size)

    def resize(self, needed_bytes: int) -> bool:
        """Hold an amount of bytes; return whether it fits.

        If it does not, the caller frees what it holds or ends the connection.
        """
        self.needed_bytes = needed_bytes
        beyond = needed_bytes - self.budget.allowance_bytes
        if beyond <= 0 and not self.granted_bytes:
            return not self.evicted
        if self.granted_bytes - STEP_BYTES < beyond <= self.granted_bytes:
            return not self.evicted
        return self.budget.grant(self, max(0, beyond))

    def close(self) -> None:
        """Free everything."""
        self.needed_bytes = 0
        self.budget.remove(self)


@define(eq=False)
class MemoryBudget:
    """Limits the memory of all reservations together.

    ``limit_bytes`` is for what exceeds the allowance of each connection.
    """

    limit_bytes: int = field(
        factory=lambda: plan_memory(DEFAULT_MEMORY_MB, 0, 0, 0).budget_bytes
    )
    allowance_bytes: int = CONNECTION_ALLOWANCE_BYTES
    reserved_bytes: int = 0
    leaving_bytes: int = 0  # of evicted reservations that are not freed yet
    holders: set[Reservation] = field(factory=set)
    refusals: Counter[str] = field(factory=Counter)
    evictions: Counter[str] = field(factory=Counter)
    pressed_since_s: float | None = None
    pressed_until_s: float = 0.0
    freed: threading.Condition = field(factory=threading.Condition)

    def reserve(self, evict: Callable[[], None] = lambda: None) -> Reservation:
        """Return a reservation that holds nothing yet."""
        return Reservation(self, evict)

    def grant(self, holder: Reservation, beyond: int) -> bool:
        """Reserve an amount beyond the allowance, evicting others if need be."""
        wanted = -(-beyond // STEP_BYTES) * STEP_BYTES
        end_s = time.monotonic() + EVICTION_WAIT_S
        while True:
            now_s = time.monotonic()
            with self.freed:
                if self.try_grant(holder, wanted):
                    return not holder.evicted
                victim = self.make_room(holder, wanted, now_s)
                if holder.evicted or victim is holder or now_s >= end_s:
                    self.record_refusal("memory", now_s)
                    return False
                if victim is None:
                    self.freed.wait(end_s - now_s)
            if victim is not None:
                victim.evict()

    def try_grant(self, holder: Reservation, wanted: int) -> bool:
        """Reserve an amount if it is free; the lock is held."""
        more = wanted - holder.granted_bytes
        if more > 0 and self.reserved_bytes + more > self.limit_bytes:
            return False
        self.reserved_bytes += more
        holder.granted_bytes = wanted
        if holder.evicted:
            self.leaving_bytes += more
        if wanted:
            self.holders.add(holder)
        else:
            self.holders.discard(holder)
        if more < 0:
            self.freed.notify_all()
        return True

    def make_room(
        self, holder: Reservation, wanted: int, now_s: float
    ) -> Reservation | None:
        """Evict one holder if needed; the lock is held.

        Return it, ``holder`` itself if nothing else is left to evict, or ``None`` if
        enough will be free once the evicted ones have ended.
        """
        excess = self.reserved_bytes - self.leaving_bytes - self.limit_bytes
        if excess + wanted - holder.granted_bytes <= 0:
            return None
        victim = choose_holder(self.holders | {holder}, now_s)
        if victim is None or victim is holder:
            return holder
        victim.evicted = True
        self.leaving_bytes += victim.granted_bytes
        self.evictions[victim.phase] += 1
        self.freed.notify_all()  # it may wait for memory itself
        return victim

    def evict_for_connection(
        self, holders: list[Reservation], now_s: float, idle_timeout_s: float
    ) -> Reservation | None:
        """Evict the holder whose connection is to be closed for a new one, if any."""
        with self.freed:
            victim = choose_connection(holders, now_s, idle_timeout_s)
            if victim is None:
                return None
            victim.evicted = True
            self.leaving_bytes += victim.granted_bytes
            self.evictions[f"connection_{victim.phase}"] += 1
        return victim

    def remove(self, holder: Reservation) -> None:
        """Free what a holder has reserved."""
        if not holder.granted_bytes and not holder.evicted:
            return
        with self.freed:
            self.reserved_bytes -= holder.granted_bytes
            if holder.evicted:
                self.leaving_bytes -= holder.granted_bytes
            holder.granted_bytes = 0
            self.holders.discard(holder)
            self.freed.notify_all()

    def record_refusal(self, reason: str, now_s: float) -> None:
        """Count a refusal, and note since when memory has been short."""
        self.refusals[reason] += 1
        if self.pressed_since_s is None or now_s > self.pressed_until_s:
            self.pressed_since_s = now_s
        self.pressed_until_s = now_s + PRESSURE_END_S

    def takes(self, size: int, now_s: float) -> bool:
        """Return whether a request that announces a size may begin to send it.

        Under lasting pressure, large requests are refused before they are read.
        """
        if size <= SMALL_REQUEST_BYTES:
            return True
        if size > self.limit_bytes:
            return False
        pressed = self.pressed_since_s is not None and now_s <= self.pressed_until_s
        if not pressed or now_s - self.pressed_since_s < PRESSURE_S:
            return True
        return self.reserved_bytes + size <= self.limit_bytes
