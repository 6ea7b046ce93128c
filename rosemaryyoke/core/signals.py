"""Waiting for signals on the main thread."""

import math
import select
import signal
import socket
import time

READ_BYTES = 256
CHECK_PERIOD_S = 0.1  # by which a signal may seem to have been sent too early


class SignalWaiter:
    """Wakes the main thread on a signal, whichever thread the signal is delivered to.

    Python runs signal handlers on the main thread only. If the signal is delivered to
    another thread, a main thread that waits for a lock is not woken; one that reads
    from a socket is, since the wakeup file descriptor is written to.
    ``quiet_until_s`` is the last time, of the monotonic clock, at which there was no
    signal. Signals that are sent to a suspended process arrive when it is resumed.
    """

    def __init__(self, *numbers: signal.Signals):
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)
        self.quiet_until_s = time.monotonic()
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

    def wait(self, timeout_s: float | None = None) -> list[int]:
        """Return the received signals, oldest first, or [] after a timeout."""
        end_s = math.inf if timeout_s is None else time.monotonic() + timeout_s
        while True:
            now_s = time.monotonic()
            wait_s = max(0.0, min(CHECK_PERIOD_S, end_s - now_s))
            ready, _, _ = select.select([self.reader], [], [], wait_s)
            if ready:
                return list(self.reader.recv(READ_BYTES))
            self.quiet_until_s = now_s + wait_s
            if self.quiet_until_s >= end_s:
                return []

    def close(self) -> None:
        """Stop receiving signals; the no-op handlers stay installed."""
        signal.set_wakeup_fd(-1)
        self.reader.close()
        self.writer.close()
