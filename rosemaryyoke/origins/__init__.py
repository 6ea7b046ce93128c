"""Origins of streams: the software versions of the upstreams that began them."""

from rosemaryyoke.origins.memory import KnownOrigin, OriginMemory
from rosemaryyoke.origins.origin import origin_key
from rosemaryyoke.origins.rows import OriginRow, decode_origins, encode_origins
from rosemaryyoke.origins.versions import ServedVersions

__all__ = [
    "KnownOrigin",
    "OriginMemory",
    "OriginRow",
    "ServedVersions",
    "decode_origins",
    "encode_origins",
    "origin_key",
]
