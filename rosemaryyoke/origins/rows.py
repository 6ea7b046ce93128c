"""Packed rows of origins, as hosts tell them to each other."""

import struct
from typing import Iterable

from attrs import frozen

from rosemaryyoke.core.ages import age_ms, time_of_age

# Request key, origin key, age of the first event in milliseconds.
ORIGIN_ROW = struct.Struct("<QQI")


@frozen
class OriginRow:
    """The origin of the stream of a request, and when its first event was sent.

    ``began_s`` is by the clock of this host.
    """

    request: int
    origin: int
    began_s: float


def encode_origins(rows: Iterable[OriginRow], now_s: float) -> bytes:
    """Encode origins."""
    return b"".join(
        ORIGIN_ROW.pack(row.request, row.origin, age_ms(row.began_s, now_s))
        for row in rows
    )


def decode_origins(data: bytes, now_s: float) -> tuple[OriginRow, ...]:
    """Decode origins; raise ``ValueError`` if a row is incomplete."""
    if len(data) % ORIGIN_ROW.size:
        raise ValueError("a row of origins is incomplete")
    return tuple(
        OriginRow(request, origin, time_of_age(age, now_s))
        for request, origin, age in ORIGIN_ROW.iter_unpack(data)
    )
