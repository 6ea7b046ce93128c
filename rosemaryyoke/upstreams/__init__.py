"""Engines, plain services and KV stores: protocol adapters, health and load."""

from rosemaryyoke.upstreams.directory import UpstreamDirectory, UpstreamState
from rosemaryyoke.upstreams.engine import (
    EngineAdapter,
    EngineEvent,
    EngineRequest,
    Finished,
    KvImport,
    LoadReport,
    Started,
    Token,
    WeightsLoadOrder,
    engine_adapters,
)
from rosemaryyoke.upstreams.errors import UpstreamError

__all__ = [
    "EngineAdapter",
    "EngineEvent",
    "EngineRequest",
    "Finished",
    "KvImport",
    "LoadReport",
    "Started",
    "Token",
    "UpstreamDirectory",
    "UpstreamError",
    "UpstreamState",
    "WeightsLoadOrder",
    "engine_adapters",
]
