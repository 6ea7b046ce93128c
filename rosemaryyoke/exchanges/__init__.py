"""Forwarding of opaque requests, with opaque responses or event streams."""

__all__: list[str] = []
