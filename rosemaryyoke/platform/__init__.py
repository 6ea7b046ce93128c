"""Adapter of the users' platform: names, formats and calls; it decides nothing."""

__all__: list[str] = []
