"""A proxy on one link, which delays, resets, silences or cuts it one way."""

import socket
import struct
import threading
import time

from attrs import define, field

from rosemaryyoke.http1 import Address
from rosemaryyoke.http1.sockets import READ_BYTES, close, listen

BACKLOG = 256
CONNECT_TIMEOUT_S = 1.0
LOOK_S = 0.01
FORWARD = "forward"
BACK = "back"
BOTH = frozenset({FORWARD, BACK})
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@define(eq=False)
class Link:
    """Forwards connections to a target, unless a fault is set.

    ``silent`` names the directions whose bytes wait until the fault ends, ``refusing``
    resets each new connection at once, and ``delay_s`` holds every piece back.
    """

    target: Address
    address: Address
    delay_s: float = 0.0
    silent: frozenset[str] = frozenset()
    refusing: bool = False
    disturbed_s: float = 0.0
    stopped: bool = False
    open: set[socket.socket] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)
    listener: socket.socket | None = None

    def start(self) -> None:
        """Listen, and accept on a thread of its own."""
        self.listener = listen(self.address, BACKLOG)
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self) -> None:
        """Listen no more, and end every connection."""
        self.stopped = True
        close(self.listener)
        self.reset()

    def heal(self) -> None:
        """End every fault; what waited goes on its way."""
        self.delay_s, self.silent, self.refusing = 0.0, frozenset(), False
        self.disturbed_s = time.monotonic()

    def reset(self) -> None:
        """Reset the connections that are open."""
        self.disturbed_s = time.monotonic()
        with self.lock:
            connections = list(self.open)
            self.open.clear()
        for connection in connections:
            end_with_reset(connection)

    @property
    def sound(self) -> bool:
        """Tell whether no fault is set."""
        return not (self.delay_s or self.silent or self.refusing)

    def accept(self) -> None:
        """Accept until the listener is closed."""
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.join, args=(near,), daemon=True).start()

    def join(self, near: socket.socket) -> None:
        """Connect a caller with the target, and copy both ways."""
        if self.refusing:
            end_with_reset(near)
            return
        try:
            place = (self.target.ip, self.target.port)
            far = socket.create_connection(place, CONNECT_TIMEOUT_S)
        except OSError:
            end_with_reset(near)
            return
        far.settimeout(None)
        with self.lock:
            self.open |= {near, far}
        back = threading.Thread(target=self.copy, args=(far, near, BACK), daemon=True)
        back.start()
        self.copy(near, far, FORWARD)
        back.join()
        with self.lock:
            self.open -= {near, far}
        close(near)
        close(far)

    def copy(self, source: socket.socket, sink: socket.socket, way: str) -> None:
        """Copy bytes until the source ends; a reset on one side resets the other."""
        try:
            sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                data = source.recv(READ_BYTES)
                self.hold_back(way)
                if not data:
                    if source in self.open:
                        sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            end_with_reset(source)
            end_with_reset(sink)

    def hold_back(self, way: str) -> None:
        """Wait as the faults that are set have it."""
        if self.delay_s:
            time.sleep(self.delay_s)
        while way in self.silent and not self.stopped:
            time.sleep(LOOK_S)


def end_with_reset(connection: socket.socket) -> None:
    """End a connection so that its other end sees a reset, if it is still open."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()
