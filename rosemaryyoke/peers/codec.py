"""Cap'n Proto encoding of messages between hosts."""

from pathlib import Path

import capnp

from rosemaryyoke.core import Timestamp
from rosemaryyoke.peers.errors import PeerError

SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))
Message = SCHEMA.Message

TRAVERSAL_LIMIT_WORDS = 1024 * 1024


def encode_message(message, now: Timestamp) -> bytes:
    """Set a message's timestamp and return its packed encoding."""
    message.wallMicroseconds = now.wall_us
    message.counter = now.counter
    return message.to_bytes_packed()


def decode_message(data: bytes):
    """Decode a packed message; raise ``PeerError`` if it is malformed."""
    try:
        message = Message.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        message.which()
        return message
    except (capnp.KjException, ValueError, MemoryError) as error:
        raise PeerError(f"malformed message: {type(error).__name__}") from error


def message_timestamp(message) -> Timestamp:
    """Return the timestamp of a message."""
    return Timestamp(message.wallMicroseconds, message.counter)
