"""Wait for signals on the main thread."""

import select
import signal
import socket

READ_BYTES = 256


class SignalWaiter:
    """Wakes the main thread whichever thread the system interrupts.

    A handler runs on the main thread only. Where the system interrupts another thread,
    a main thread that waits for a lock sleeps on; one that reads a socket wakes.
    """

    def __init__(self, *numbers: signal.Signals):
        self.reader, self.writer = socket.socketpair()
        self.reader.setblocking(False)
        self.writer.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, lambda *_: None)

    def wait(self, timeout_s: float | None = None) -> list[int]:
        """Return the numbers of signals that came, oldest first; none at a timeout."""
        ready, _, _ = select.select([self.reader], [], [], timeout_s)
        return list(self.reader.recv(READ_BYTES)) if ready else []

    def close(self) -> None:
        """Take no more signals; their handlers stay and do nothing."""
        signal.set_wakeup_fd(-1)
        self.reader.close()
        self.writer.close()
