"""Engines, plain services and stores: wires, health, load."""

from rosemaryyoke.upstreams.directory import Directory, UpstreamState
from rosemaryyoke.upstreams.engine import (
    EngineEvent,
    EngineRequest,
    EngineWire,
    Finished,
    KvImport,
    LoadOrder,
    LoadReport,
    Started,
    Token,
    engine_adapters,
)
from rosemaryyoke.upstreams.errors import UpstreamError

__all__ = [
    "Directory",
    "EngineEvent",
    "EngineRequest",
    "EngineWire",
    "Finished",
    "KvImport",
    "LoadOrder",
    "LoadReport",
    "Started",
    "Token",
    "UpstreamError",
    "UpstreamState",
    "engine_adapters",
]
