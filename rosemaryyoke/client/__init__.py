"""A small caller's library: finds hosts, resumes streams, repeats safely."""

from rosemaryyoke.client.client import ChatAnswer, Client
from rosemaryyoke.client.errors import CallFailed

__all__ = ["CallFailed", "ChatAnswer", "Client"]
