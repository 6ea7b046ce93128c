"""Turns at work that keeps the interpreter busy, one connection at a time."""

import threading
from contextlib import contextmanager
from typing import Iterator

from attrs import define, field

from rosemaryyoke.memory import Reservation


@define(eq=False)
class Turn:
    """A connection that waits for its turn; ``decided`` is held until then."""

    decided: threading.Lock = field(factory=threading.Lock)
    granted: bool = False


@define(eq=False)
class TurnQueue:
    """Lets one connection at a time work, in the order of their requests.

    The interpreter runs one thread at a time and takes them in turn. If hundreds parse
    costly bodies at once, every other thread waits for all of them again and again.
    """

    busy: bool = False
    waiting: dict[Reservation, Turn] = field(factory=dict)
    lock: threading.Lock = field(factory=threading.Lock)

    @contextmanager
    def turn(self, owner: Reservation) -> Iterator[bool]:
        """Wait for a turn and keep it; yield false if evicted before."""
        granted = self._take(owner)
        try:
            yield granted
        finally:
            if granted:
                self._pass_on()

    def leave(self, owner: Reservation) -> None:
        """Let an evicted connection wait no longer."""
        with self.lock:
            turn = self.waiting.pop(owner, None)
        if turn is not None:
            turn.decided.release()

    def _take(self, owner: Reservation) -> bool:
        with self.lock:
            if owner.evicted:
                return False
            if not self.busy:
                self.busy = True
                return True
            turn = self.waiting[owner] = Turn()
            turn.decided.acquire()
        turn.decided.acquire()
        return turn.granted

    def _pass_on(self) -> None:
        with self.lock:
            if not self.waiting:
                self.busy = False
                return
            turn = self.waiting.pop(next(iter(self.waiting)))
            turn.granted = True
        turn.decided.release()
