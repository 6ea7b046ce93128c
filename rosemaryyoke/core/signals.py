"""Waiting for signals on the main thread."""

import select
import signal
import socket

READ_BYTES = 256


class SignalWaiter:
    """Wakes the main thread on a signal, whichever thread the signal is delivered to.

    Python runs signal handlers on the main thread only. If the signal is delivered to
    another thread, a main thread that waits for a lock is not woken; one that reads
    from a socket is, since the wakeup file descriptor is written to.
    """

    def __init__(self, *numbers: signal.Signals):
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

    def wait(self, timeout_s: float | None = None) -> list[int]:
        """Return the received signals, oldest first, or [] after a timeout."""
        ready, _, _ = select.select([self.reader], [], [], timeout_s)
        return list(self.reader.recv(READ_BYTES)) if ready else []

    def close(self) -> None:
        """Stop receiving signals; the no-op handlers stay installed."""
        signal.set_wakeup_fd(-1)
        self.reader.close()
        self.writer.close()
