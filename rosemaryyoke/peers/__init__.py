"""Peer protocol: framed, authenticated messages between hosts over TCP."""

from rosemaryyoke.peers.calls import PeerCaller
from rosemaryyoke.peers.channel import Channel, connect
from rosemaryyoke.peers.codec import Message, decode_message, encode_message
from rosemaryyoke.peers.errors import PeerError
from rosemaryyoke.peers.server import PeerServer, missing_message
from rosemaryyoke.peers.service import Peers

__all__ = [
    "Channel",
    "Message",
    "PeerCaller",
    "PeerError",
    "PeerServer",
    "Peers",
    "connect",
    "decode_message",
    "encode_message",
    "missing_message",
]
