"""The HTTP interface towards callers and operators, and the host around it."""

from rosemaryyoke.entry.host import Host

__all__ = ["Host"]
