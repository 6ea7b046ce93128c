"""Routed exchanges: opaque requests forwarded whole, with opaque answers or streams."""

__all__: list[str] = []
