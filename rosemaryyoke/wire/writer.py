"""Write a streamed response without blocking the thread that produces the data."""

import select
import socket
import threading
import time
from concurrent.futures import Future

from rosemaryyoke.memory import MemoryBudget, Phase, Reservation
from rosemaryyoke.wire.intake import send_all, try_add

MAX_PENDING_BYTES = 1024 * 1024


class StreamWriter:
    """Sends chunks immediately while the caller accepts them.

    Data that a slow caller does not accept is buffered, up to ``MAX_PENDING_BYTES``.
    The connection's task sends it while it waits for the end of the stream. Buffered
    data counts as the connection's memory; a slow caller gets none from others.
    """

    def __init__(
        self, connection: socket.socket, reservation: Reservation | None = None
    ):
        self.connection = connection
        self.reservation = reservation or MemoryBudget().reserve()
        self.condition = threading.Condition()
        self.pending = bytearray()
        self.draining = False
        self.disconnected = False

    def write(self, data: bytes) -> None:
        """Send or buffer a chunk.

        Raises ``ConnectionError`` if the caller disconnected or the buffer is full.
        """
        frame = b"%x\r\n%b\r\n" % (len(data), data)
        with self.condition:
            if self.disconnected:
                raise ConnectionError("caller disconnected")
            if not self.draining:
                frame = self._send_nonblocking(frame)
                if not frame:
                    return
            if len(self.pending) + len(frame) > MAX_PENDING_BYTES:
                raise ConnectionError("caller is too slow; its write buffer is full")
            if not try_add(self.reservation, len(frame)):
                raise ConnectionError("caller is too slow; no memory is left for it")
            self.pending += frame
            if not self.draining:
                self.reservation.begin_phase(Phase.WRITING, time.monotonic())
            self.draining = True
            self.condition.notify()

    def _send_nonblocking(self, frame: bytes) -> bytes:
        try:
            # On a socket with a time limit, ``send`` waits whatever its flags say.
            if not self._is_writable():
                return frame
            sent = self.connection.send(frame, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return frame
        except OSError as error:
            self.disconnected = True
            raise ConnectionError(str(error)) from error
        return frame[sent:]

    def _is_writable(self) -> bool:
        poller = select.poll()
        poller.register(self.connection, select.POLLOUT)
        return bool(poller.poll(0))

    def wait(self, future: Future):
        """Return a future's result; meanwhile send buffered data."""
        future.add_done_callback(self._notify)
        while True:
            with self.condition:
                while not self.pending and not future.done():
                    self.condition.wait()
                data, self.pending = bytes(self.pending), bytearray()
                if not data:
                    self.draining = False
                    self.reservation.begin_phase(Phase.UPSTREAM, time.monotonic())
            if not data:
                return future.result()
            self._send_all(data)
            with self.condition:
                self.reservation.add(-len(data))

    def drain(self) -> None:
        """Send all buffered data."""
        done: Future = Future()
        done.set_result(None)
        self.wait(done)

    def _send_all(self, data: bytes) -> None:
        try:
            send_all(self.connection, self.reservation, data)
        except OSError:
            with self.condition:
                self.disconnected = True

    def _notify(self, future: Future) -> None:
        with self.condition:
            self.condition.notify()
