"""An authenticated connection between two hosts that share a key.

In the handshake each side proves that it has the key, using both nonces. Each frame
carries a keyed digest of its sequence number and body, which detects changed, missing
and replayed frames.
"""

import hashlib
import hmac
import math
import secrets
import socket
import struct
import threading
import time

from rosemaryyoke.core import EventRecorder
from rosemaryyoke.peers.codec import decode_message, encode_message, message_timestamp
from rosemaryyoke.peers.errors import PeerError

NONCE_BYTES = 16
DIGEST_BYTES = 16
LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 2 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
HANDSHAKE_TIMEOUT_S = 1.0
# Of the whole handshake: two exchanges between hosts take less than half a second on
# the longest links. Bytes that trickle in would otherwise extend the time limit.
HANDSHAKE_DEADLINE_S = 3.0
READ_BYTES = 65_536


class Channel:
    """Sends and receives authenticated messages over a socket."""

    def __init__(self, connection: socket.socket, key: bytes, recorder: EventRecorder):
        self.connection = connection
        self.recorder = recorder
        self.lock = threading.Lock()
        self.frames_sent = 0
        self.frames_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.send_key = b""
        self.receive_key = b""
        self._perform_handshake(key)

    def _perform_handshake(self, key: bytes) -> None:
        deadline_s = time.monotonic() + HANDSHAKE_DEADLINE_S
        self.connection.settimeout(HANDSHAKE_TIMEOUT_S)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        local_nonce = secrets.token_bytes(NONCE_BYTES)
        self._send_all(local_nonce)
        remote_nonce = self._receive_exactly(NONCE_BYTES, deadline_s)
        if remote_nonce == local_nonce:
            raise PeerError("the peer reflected the nonce")
        self.send_key = _derive_key(key, local_nonce, remote_nonce)
        self.receive_key = _derive_key(key, remote_nonce, local_nonce)
        self._send_all(_frame_digest(self.send_key, 0, b"hello"))
        proof = self._receive_exactly(DIGEST_BYTES, deadline_s)
        if not hmac.compare_digest(proof, _frame_digest(self.receive_key, 0, b"hello")):
            raise PeerError("the peer failed to prove the shared key")

    def send(self, message, timeout_s: float) -> None:
        """Send a message; raise ``PeerError`` if the connection is lost."""
        body = encode_message(message, self.recorder.clock.now())
        with self.lock:
            self.frames_sent += 1
            digest = _frame_digest(self.send_key, self.frames_sent, body)
            self._set_timeout(timeout_s)
            self._send_all(LENGTH_PREFIX.pack(len(body)) + digest + body)

    def receive(self, timeout_s: float):
        """Return the next message; raise ``PeerError`` on timeout or error."""
        self._set_timeout(timeout_s)
        (length,) = LENGTH_PREFIX.unpack(self._receive_exactly(LENGTH_PREFIX.size))
        if length > MAX_FRAME_BYTES:
            raise PeerError("frame exceeds the size limit")
        digest = self._receive_exactly(DIGEST_BYTES)
        body = self._receive_exactly(length)
        self.frames_received += 1
        if not hmac.compare_digest(
            digest, _frame_digest(self.receive_key, self.frames_received, body)
        ):
            raise PeerError("frame digest mismatch")
        message = decode_message(body)
        self.recorder.clock.observe(message_timestamp(message))
        return message

    def close(self) -> None:
        """Close the connection and unblock its reader."""
        try:
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.connection.close()

    def _set_timeout(self, timeout_s: float) -> None:
        try:
            self.connection.settimeout(timeout_s)
        except OSError as error:
            raise PeerError("the connection is closed") from error

    def _send_all(self, data: bytes) -> None:
        try:
            self.connection.sendall(data)
            self.bytes_sent += len(data)
        except OSError as error:
            raise PeerError(str(error), sent=True) from error

    def _receive_exactly(self, count: int, deadline_s: float = math.inf) -> bytes:
        """Return so many bytes; the buffer grows as they arrive, not as announced."""
        data = bytearray()
        while len(data) < count:
            if time.monotonic() >= deadline_s:
                raise PeerError("the handshake took too long")
            try:
                part = self.connection.recv(min(count - len(data), READ_BYTES))
            except OSError as error:
                raise PeerError(str(error), sent=True) from error
            if not part:
                raise PeerError("the peer closed the connection", sent=True)
            data += part
            self.bytes_received += len(part)
        return bytes(data)


def connect(address: str, key: bytes, recorder: EventRecorder) -> Channel:
    """Open a channel to a peer; raise ``PeerError`` if that fails."""
    host, _, port = address.partition(":")
    try:
        connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
    except (OSError, ValueError) as error:
        raise PeerError(str(error)) from error
    try:
        return Channel(connection, key, recorder)
    except PeerError as error:
        connection.close()
        raise PeerError(str(error)) from error


def _derive_key(key: bytes, first: bytes, second: bytes) -> bytes:
    return hmac.new(key, b"peer" + first + second, hashlib.sha256).digest()


def _frame_digest(key: bytes, number: int, body: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=key)
    digest.update(number.to_bytes(8, "big"))
    digest.update(body)
    return digest.digest()
