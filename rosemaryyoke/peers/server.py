"""TCP server for peers, with one thread per connection."""

import errno
import socket
import threading
import time
from collections import Counter
from typing import Callable

from absl import logging

from rosemaryyoke.core import EventRecorder, Registry, make_pool
from rosemaryyoke.peers.channel import Channel
from rosemaryyoke.peers.codec import Message
from rosemaryyoke.peers.errors import PeerError

MAX_CONNECTIONS = 128
# A host proves its key within milliseconds; a connection that has not after this time
# loses its slot if another host needs one.
HANDSHAKE_GRACE_S = 0.5
LOG_PERIOD_S = 5
ACCEPT_RETRY_S = 0.05
# A lack of descriptors or memory lasts for a while; others mean a closed listener.
RETRIED_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
IDLE_TIMEOUT_S = 6.0
SEND_TIMEOUT_S = 1.0


def shut_down(connection: socket.socket) -> None:
    """Unblock the task that reads a connection."""
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class PeerServer:
    """Dispatches messages of peers to handlers.

    ``handlers`` maps a message kind to its handler, which may return an answer.
    """

    def __init__(self, address: str, port: int, key: bytes, recorder: EventRecorder):
        self.key = key
        self.recorder = recorder
        self.handlers: Registry[Callable] = Registry("peer message")
        # The tasks of evicted connections end while those that replace them begin.
        self.pool = make_pool("peer", 2 * MAX_CONNECTIONS)
        self.channels: set[Channel] = set()
        # Connections that have not proved the key, by the time of their acceptance.
        self.unproved: dict[socket.socket, float] = {}
        self.evicted: set[socket.socket] = set()  # that gave up their slots
        self.refusals: Counter[str] = Counter()
        self.evictions: Counter[str] = Counter()
        self.lock = threading.Lock()
        self.open_connections = 0
        self.rejected_connections = 0
        self.stopping = False
        self.listener = socket.create_server((address, port), backlog=256)
        self.thread = threading.Thread(
            target=self.accept_connections, name="peers", daemon=True
        )

    def start(self) -> None:
        """Start the thread that accepts connections."""
        self.thread.start()

    def stop(self) -> None:
        """Close the listener and all connections."""
        self.stopping = True
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            channels = list(self.channels)
        for channel in channels:
            channel.close()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def accept_connections(self) -> None:
        """Serve each connection in the pool; close it if the pool is full."""
        while not self.stopping:
            try:
                connection, _ = self.listener.accept()
            except OSError as error:
                if self.stopping or error.errno not in RETRIED_ERRORS:
                    return
                time.sleep(ACCEPT_RETRY_S)
                continue
            if not self.take_slot(connection):
                self.rejected_connections += 1
                self.refusals["peer_connections"] += 1
                connection.close()
                continue
            try:
                self.pool.submit(self.serve, connection)
            except RuntimeError as error:  # stopping, or no thread can be started
                logging.warning("no task for a peer's connection: %s", error)
                connection.close()
                self._unregister(connection, None)

    def take_slot(self, connection: socket.socket) -> bool:
        """Take a slot for a new connection, if need be one of an unproved connection.

        That is the oldest, so that a flood of new ones leaves hosts time to prove the
        key.
        """
        now_s = time.monotonic()
        with self.lock:
            if self.open_connections >= MAX_CONNECTIONS:
                victim = min(self.unproved, key=self.unproved.get, default=None)
                if victim is None or now_s - self.unproved[victim] < HANDSHAKE_GRACE_S:
                    return False
                del self.unproved[victim]
                self.evicted.add(victim)
                self.evictions["peer_handshake"] += 1
                shut_down(victim)
            else:
                self.open_connections += 1
            self.unproved[connection] = now_s
        return True

    def serve(self, connection: socket.socket) -> None:
        """Perform the handshake and handle messages until the connection ends."""
        try:
            channel = Channel(connection, self.key, self.recorder)
        except PeerError as error:
            self.rejected_connections += 1
            self.refusals["peer_handshake"] += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                "handshake with a peer failed: %s",
                LOG_PERIOD_S,
                error,
            )
            self._unregister(connection, None)
            connection.close()
            return
        with self.lock:
            self.unproved.pop(connection, None)
            self.channels.add(channel)
        try:
            self.receive(channel)
        except PeerError:
            pass
        except Exception:
            logging.exception("handling a peer message failed")
        finally:
            self._unregister(connection, channel)
            channel.close()

    def _unregister(self, connection: socket.socket, channel: Channel | None) -> None:
        with self.lock:
            self.channels.discard(channel)
            self.unproved.pop(connection, None)
            if connection in self.evicted:
                self.evicted.remove(connection)
            else:
                self.open_connections -= 1

    def receive(self, channel: Channel) -> None:
        """Pass each message to its handler and send the answer, if any."""
        while True:
            message = channel.receive(IDLE_TIMEOUT_S)
            handler = self.handlers.entries.get(message.which())
            if handler is None:
                raise PeerError(f"no handler for message {message.which()}")
            answer = handler(channel, message)
            if answer is not None:
                channel.send(answer, SEND_TIMEOUT_S)


def make_missing_message():
    """Return the answer for a requested item that does not exist."""
    message = Message.new_message()
    message.missing = None
    return message
