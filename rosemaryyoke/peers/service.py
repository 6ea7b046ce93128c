"""The peers service of a host: its server and its caller."""

from rosemaryyoke.core import Kernel
from rosemaryyoke.peers.calls import PeerCaller
from rosemaryyoke.peers.server import PeerServer
from rosemaryyoke.settings import Settings


class Peers:
    """Listen to peers and ask them."""

    def __init__(self, kernel: Kernel, settings: Settings):
        key = settings.shared_key.encode()
        recorder = kernel.get("recorder")
        self.server = PeerServer(settings.address, settings.peer_port, key, recorder)
        self.caller = PeerCaller(key, recorder)

    def start(self) -> None:
        """Accept connections; parts register what they take as they start."""
        self.server.start()

    def stop(self) -> None:
        """Close every connection."""
        self.server.stop()
        self.caller.close()
