"""The memory of a host for responses that are received."""

import threading

from attrs import define, field

MAX_RESPONSE_MEMORY_BYTES = 32 * 1024 * 1024  # of all attempts of a host
SMALL_RESPONSE_BYTES = 256 * 1024


@define(eq=False)
class ResponseMemory:
    """Counts the bytes that the attempts of a host hold of unfinished responses.

    Small responses always fit, whatever the other attempts hold.
    """

    limit_bytes: int = MAX_RESPONSE_MEMORY_BYTES
    held_bytes: int = 0
    lock: threading.Lock = field(factory=threading.Lock)

    def resize(self, old_bytes: int, new_bytes: int) -> bool:
        """Change the size of one response; return whether it fits."""
        with self.lock:
            self.held_bytes += new_bytes - old_bytes
            fits = self.held_bytes <= self.limit_bytes
        return fits or new_bytes <= SMALL_RESPONSE_BYTES
