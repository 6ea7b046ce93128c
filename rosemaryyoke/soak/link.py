"""A fault-injecting TCP proxy: delays, resets, refusals and one-way blocking."""

import socket
import struct
import threading
import time

from attrs import define, field

from rosemaryyoke.http1 import Address
from rosemaryyoke.http1.sockets import READ_BYTES, close, listen

BACKLOG = 256
CONNECT_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.01
FORWARD = "forward"
BACKWARD = "back"
BOTH = frozenset({FORWARD, BACKWARD})
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


@define(eq=False)
class Link:
    """A proxy that forwards connections to a target and applies the faults set on it.

    ``blocked`` holds the directions whose bytes are held until the fault ends,
    ``refusing`` resets each new connection immediately, and ``delay_s`` is added to
    every chunk that is forwarded.
    """

    target: Address
    address: Address
    delay_s: float = 0.0
    blocked: frozenset[str] = frozenset()
    refusing: bool = False
    fault_changed_s: float = 0.0
    stopped: bool = False
    open: set[socket.socket] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)
    listener: socket.socket | None = None

    def start(self) -> None:
        """Listen, and accept connections on a separate thread."""
        self.listener = listen(self.address, BACKLOG)
        threading.Thread(target=self.accept, daemon=True).start()

    def stop(self) -> None:
        """Close the listener and reset every connection."""
        self.stopped = True
        close(self.listener)
        self.reset()

    def heal(self) -> None:
        """Clear every fault; bytes that were held are then forwarded."""
        self.delay_s, self.blocked, self.refusing = 0.0, frozenset(), False
        self.fault_changed_s = time.monotonic()

    def reset(self) -> None:
        """Reset all open connections."""
        self.fault_changed_s = time.monotonic()
        with self.lock:
            connections = list(self.open)
            self.open.clear()
        for connection in connections:
            close_with_reset(connection)

    @property
    def is_healthy(self) -> bool:
        """Return whether no fault is set."""
        return not (self.delay_s or self.blocked or self.refusing)

    def accept(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.relay, args=(client,), daemon=True).start()

    def relay(self, client: socket.socket) -> None:
        """Connect to the target for a client and copy in both directions."""
        if self.refusing:
            close_with_reset(client)
            return
        try:
            target_address = (self.target.ip, self.target.port)
            server = socket.create_connection(target_address, CONNECT_TIMEOUT_S)
        except OSError:
            close_with_reset(client)
            return
        server.settimeout(None)
        with self.lock:
            self.open |= {client, server}
        backward_thread = threading.Thread(
            target=self.copy, args=(server, client, BACKWARD), daemon=True
        )
        backward_thread.start()
        self.copy(client, server, FORWARD)
        backward_thread.join()
        with self.lock:
            self.open -= {client, server}
        close(client)
        close(server)

    def copy(self, source: socket.socket, sink: socket.socket, direction: str) -> None:
        """Copy bytes until end of stream; a reset on one side resets the other."""
        try:
            sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                data = source.recv(READ_BYTES)
                self.apply_delay(direction)
                if not data:
                    if source in self.open:
                        sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            close_with_reset(source)
            close_with_reset(sink)

    def apply_delay(self, direction: str) -> None:
        """Sleep for the configured delay, and while the direction is blocked."""
        if self.delay_s:
            time.sleep(self.delay_s)
        while direction in self.blocked and not self.stopped:
            time.sleep(POLL_INTERVAL_S)


def close_with_reset(connection: socket.socket) -> None:
    """Close a connection so that its peer receives a reset, if it is still open."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass
    connection.close()
