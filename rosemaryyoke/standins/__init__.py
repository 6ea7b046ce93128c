"""Small stand-ins for the systems outside: platform, engine, service, KV store."""

from rosemaryyoke.standins.engine import EngineStandin
from rosemaryyoke.standins.kv_store import KvStoreStandin
from rosemaryyoke.standins.platform import PlatformStandin
from rosemaryyoke.standins.sequences import EngineOptions
from rosemaryyoke.standins.service import ServiceStandin
from rosemaryyoke.standins.words import expected_text

__all__ = [
    "EngineOptions",
    "EngineStandin",
    "KvStoreStandin",
    "PlatformStandin",
    "ServiceStandin",
    "expected_text",
]
