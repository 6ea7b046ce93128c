"""TCP server for peers, with one thread per connection."""

import socket
import threading
from typing import Callable

from absl import logging

from rosemaryyoke.core import EventRecorder, Registry, make_pool
from rosemaryyoke.peers.channel import Channel
from rosemaryyoke.peers.codec import Message
from rosemaryyoke.peers.errors import PeerError

MAX_CONNECTIONS = 128
IDLE_TIMEOUT_S = 6.0
SEND_TIMEOUT_S = 1.0


class PeerServer:
    """Dispatches messages of peers to handlers.

    ``handlers`` maps a message kind to its handler, which may return an answer.
    """

    def __init__(self, address: str, port: int, key: bytes, recorder: EventRecorder):
        self.key = key
        self.recorder = recorder
        self.handlers: Registry[Callable] = Registry("peer message")
        self.pool = make_pool("peer", MAX_CONNECTIONS)
        self.channels: set[Channel] = set()
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
            except OSError:
                return
            with self.lock:
                full = self.open_connections >= MAX_CONNECTIONS
                if not full:
                    self.open_connections += 1
            if full:
                self.rejected_connections += 1
                connection.close()
                continue
            try:
                self.pool.submit(self.serve, connection)
            except RuntimeError:
                connection.close()
                return

    def serve(self, connection: socket.socket) -> None:
        """Perform the handshake and handle messages until the connection ends."""
        try:
            channel = Channel(connection, self.key, self.recorder)
        except PeerError as error:
            self.rejected_connections += 1
            logging.warning("handshake with a peer failed: %s", error)
            connection.close()
            self._unregister(None)
            return
        with self.lock:
            self.channels.add(channel)
        try:
            self.receive(channel)
        except PeerError:
            pass
        except Exception:
            logging.exception("handling a peer message failed")
        finally:
            channel.close()
            self._unregister(channel)

    def _unregister(self, channel: Channel | None) -> None:
        with self.lock:
            self.channels.discard(channel)
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
