"""Packed rows of prompt outcomes and bans; times are ages, in milliseconds."""

import itertools
import struct
from typing import Iterable, Sequence

from rosemaryyoke.core.ages import age_ms, time_of_age
from rosemaryyoke.quarantine.bans import Ban
from rosemaryyoke.quarantine.outcomes import NO_FINGERPRINT, PromptOutcome

KEY_ROW = struct.Struct("<Q")
# Request key, upstream key, ages of the send and of the end, whether the engine
# crashed, count of part keys.
OUTCOME_HEADER = struct.Struct("<QIII?B")
BAN_HEADER = struct.Struct("<IBB")  # age, level, count of part keys


def unpack_row(row: struct.Struct, data: bytes, offset: int) -> tuple:
    """Return the fields of a row; raise ``ValueError`` if it is incomplete."""
    try:
        return row.unpack_from(data, offset)
    except struct.error as error:
        raise ValueError(str(error)) from error


def encode_keys(keys: Iterable[int]) -> bytes:
    """Encode the keys of parts."""
    return b"".join(KEY_ROW.pack(key) for key in keys)


def decode_keys(data: bytes, offset: int, count: int) -> tuple[tuple[int, ...], int]:
    """Return some keys of parts, and the offset behind them."""
    end = offset + count * KEY_ROW.size
    keys = tuple(row[0] for row in KEY_ROW.iter_unpack(data[offset:end]))
    if len(keys) != count:
        raise ValueError("a row of part keys is incomplete")
    return keys, end


def encode_outcomes(outcomes: Iterable[PromptOutcome], now_s: float) -> bytes:
    """Encode outcomes of attempts."""
    return b"".join(
        OUTCOME_HEADER.pack(
            outcome.request,
            outcome.upstream,
            age_ms(outcome.sent_s, now_s),
            age_ms(outcome.ended_s, now_s),
            outcome.crashed,
            len(outcome.keys),
        )
        + encode_keys(outcome.keys)
        for outcome in outcomes
    )


def encode_fingerprints(outcomes: Iterable[PromptOutcome]) -> bytes:
    """Encode the fingerprints of outcomes, in the order of the outcomes."""
    return encode_keys(outcome.fingerprint for outcome in outcomes)


def decode_fingerprints(data: bytes) -> list[int]:
    """Decode fingerprints; raise ``ValueError`` if one is incomplete."""
    if len(data) % KEY_ROW.size:
        raise ValueError("a fingerprint is incomplete")
    return [row[0] for row in KEY_ROW.iter_unpack(data)]


def decode_outcomes(
    data: bytes, now_s: float, fingerprints: bytes = b""
) -> tuple[PromptOutcome, ...]:
    """Decode outcomes of attempts; raise ``ValueError`` if a row is invalid.

    Hosts of earlier versions send no fingerprints.
    """
    known = itertools.chain(
        decode_fingerprints(fingerprints),
        itertools.repeat(NO_FINGERPRINT),
    )
    outcomes, offset = [], 0
    while offset < len(data):
        request, upstream, sent, ended, crashed, count = unpack_row(
            OUTCOME_HEADER, data, offset
        )
        keys, offset = decode_keys(data, offset + OUTCOME_HEADER.size, count)
        sent_s, ended_s = time_of_age(sent, now_s), time_of_age(ended, now_s)
        outcomes.append(
            PromptOutcome(
                request, upstream, keys, sent_s, ended_s, crashed, next(known)
            )
        )
    return tuple(outcomes)


def encode_bans(bans: Sequence[Ban], now_s: float) -> bytes:
    """Encode bans."""
    return b"".join(
        BAN_HEADER.pack(age_ms(ban.began_s, now_s), ban.level, len(ban.keys))
        + encode_keys(sorted(ban.keys))
        for ban in bans
    )


def decode_bans(data: bytes, now_s: float) -> tuple[Ban, ...]:
    """Decode bans; raise ``ValueError`` if a row is invalid."""
    bans, offset = [], 0
    while offset < len(data):
        age, level, count = unpack_row(BAN_HEADER, data, offset)
        keys, offset = decode_keys(data, offset + BAN_HEADER.size, count)
        if not keys:
            raise ValueError("a ban names no part")
        bans.append(Ban(frozenset(keys), time_of_age(age, now_s), level))
    return tuple(bans)
