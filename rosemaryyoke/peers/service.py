"""The peer protocol service of a host: server and client."""

from rosemaryyoke.core import Kernel
from rosemaryyoke.peers.client import PeerClient
from rosemaryyoke.peers.server import PeerServer
from rosemaryyoke.settings import Settings


class Peers:
    """Owns the peer server and the peer client."""

    def __init__(self, kernel: Kernel, settings: Settings):
        key = settings.shared_key.encode()
        recorder = kernel.get("recorder")
        self.server = PeerServer(settings.address, settings.peer_port, key, recorder)
        self.client = PeerClient(key, recorder)

    def start(self) -> None:
        """Start accepting connections; services register handlers as they start."""
        self.server.start()

    def stop(self) -> None:
        """Close all connections."""
        self.server.stop()
        self.client.close()
