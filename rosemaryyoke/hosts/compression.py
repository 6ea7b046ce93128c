"""Compressed text between hosts.

Many hosts ask one host at the same moment, over a slow link.
"""

import zlib

LEVEL = 1
MAX_TEXT_BYTES = 32 * 1024 * 1024


def compress(text: bytes) -> bytes:
    """Return a text compressed by zlib."""
    return zlib.compress(text, LEVEL)


def decompress(data: bytes) -> bytes:
    """Return a compressed text; raise ``ValueError`` if it is invalid or too large."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("the text is incomplete or too large")
    return text
