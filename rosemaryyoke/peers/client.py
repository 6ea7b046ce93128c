"""Request-response calls between hosts over pooled connections."""

import threading

from rosemaryyoke.core import EventRecorder
from rosemaryyoke.peers.channel import Channel, connect
from rosemaryyoke.peers.errors import PeerError

MAX_IDLE_PER_PEER = 4


class PeerClient:
    """Sends requests to peers, one at a time per connection."""

    def __init__(self, key: bytes, recorder: EventRecorder):
        self.key = key
        self.recorder = recorder
        self.idle: dict[str, list[Channel]] = {}
        self.lock = threading.Lock()

    def request(self, address: str, message, timeout_s: float):
        """Return a peer's answer; raise ``PeerError`` if the call fails.

        A pooled connection may have been closed by the peer. A request that fails on
        one is sent again on a new connection, so every request must be idempotent.
        """
        channel = self._acquire_idle(address)
        if channel is not None:
            try:
                return self._send_and_receive(address, channel, message, timeout_s)
            except PeerError:
                self._close_idle(address)
        channel = connect(address, self.key, self.recorder)
        return self._send_and_receive(address, channel, message, timeout_s)

    def _send_and_receive(
        self, address: str, channel: Channel, message, timeout_s: float
    ):
        try:
            channel.send(message, timeout_s)
            answer = channel.receive(timeout_s)
        except PeerError:
            channel.close()
            raise
        self._release(address, channel)
        return answer

    def _acquire_idle(self, address: str) -> Channel | None:
        with self.lock:
            channels = self.idle.get(address)
            return channels.pop() if channels else None

    def _release(self, address: str, channel: Channel) -> None:
        with self.lock:
            channels = self.idle.setdefault(address, [])
            if len(channels) < MAX_IDLE_PER_PEER:
                channels.append(channel)
                return
        channel.close()

    def _close_idle(self, address: str) -> None:
        with self.lock:
            channels = self.idle.pop(address, [])
        for channel in channels:
            channel.close()

    def close(self) -> None:
        """Close all pooled connections."""
        for address in list(self.idle):
            self._close_idle(address)
