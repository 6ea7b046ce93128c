"""Content-defined chunking of rules files.

Chunk boundaries depend only on the content of lines, so that editing one line changes
one chunk and hosts fetch only that chunk.
Reference: Muthitacharoen et al., "A Low-bandwidth Network File System", 2001.
"""

import hashlib

from attrs import frozen

DIGEST_BYTES = 16
MEAN_CHUNK_LINES = 64
MAX_CHUNK_BYTES = 256 * 1024


@frozen
class Chunk:
    """A part of a rules file, identified by its digest."""

    digest: str
    text: str


def make_chunk(text: str) -> Chunk:
    """Return the chunk with the given text."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return Chunk(digest.hexdigest(), text)


def split_chunks(text: str) -> list[Chunk]:
    """Split a text into chunks."""
    chunks = []
    lines: list[str] = []
    size = 0
    for line in text.splitlines(keepends=True):
        lines.append(line)
        size += len(line.encode())
        if _is_boundary(line) or size >= MAX_CHUNK_BYTES:
            chunks.append(make_chunk("".join(lines)))
            lines = []
            size = 0
    if lines:
        chunks.append(make_chunk("".join(lines)))
    return chunks


def join_chunks(chunks: list[Chunk]) -> str:
    """Concatenate the texts of chunks."""
    return "".join(chunk.text for chunk in chunks)


def _is_boundary(line: str) -> bool:
    digest = hashlib.blake2b(line.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % MEAN_CHUNK_LINES == 0
