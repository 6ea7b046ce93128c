"""A server that sends given bytes, whatever it is asked."""

import socket
import threading
from contextlib import suppress

MAX_UNBOUNDED_BYTES = 256 * 1024 * 1024


class RawServer:
    """A server that answers one request with given bytes, then closes in order.

    ``unbounded`` is sent after them until the connection is closed. Without ``waits``
    the answer comes before the request.
    """

    def __init__(self, data, unbounded=b"", waits=True):
        self.data, self.unbounded, self.waits = data, unbounded, waits
        self.sent_bytes = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self):
        """Answer one request."""
        connection, _ = self.listener.accept()
        with connection, suppress(OSError):
            if self.waits:
                connection.recv(65_536)
            connection.sendall(self.data)
            while self.unbounded and self.sent_bytes < MAX_UNBOUNDED_BYTES:
                self.sent_bytes += connection.send(self.unbounded)

    def close(self):
        """Wait for the end of the answer and stop listening."""
        self.thread.join(5.0)
        self.listener.close()
