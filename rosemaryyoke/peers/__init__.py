"""Peer protocol: framed, authenticated messages between hosts over TCP."""

from rosemaryyoke.peers.channel import Channel, connect
from rosemaryyoke.peers.client import PeerClient
from rosemaryyoke.peers.codec import Message, decode_message, encode_message
from rosemaryyoke.peers.errors import PeerError
from rosemaryyoke.peers.server import PeerServer, make_missing_message
from rosemaryyoke.peers.service import Peers

__all__ = [
    "Channel",
    "Message",
    "PeerClient",
    "PeerError",
    "PeerServer",
    "Peers",
    "connect",
    "decode_message",
    "encode_message",
    "make_missing_message",
]
