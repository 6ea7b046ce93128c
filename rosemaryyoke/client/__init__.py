"""A small client library with host discovery, stream resumption and safe retries."""

from rosemaryyoke.client.client import ChatAnswer, Client
from rosemaryyoke.client.errors import CallFailed

__all__ = ["CallFailed", "ChatAnswer", "Client"]
