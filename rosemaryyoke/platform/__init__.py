"""Adapter for the users' platform: wire names, formats and calls, without policy."""

__all__: list[str] = []
