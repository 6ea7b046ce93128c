"""The HTTP API for callers and operators, and the host process that serves it."""

from rosemaryyoke.entry.host import Host

__all__ = ["Host"]
