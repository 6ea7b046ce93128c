"""Cut a rules file into chunks whose borders depend on its lines alone.

An edit of one line changes one chunk, so hosts fetch that chunk only.
Source of the idea: Muthitacharoen et al., "A Low-bandwidth Network File System", 2001.
"""

import hashlib

from attrs import frozen

DIGEST_BYTES = 16
BORDER_EVERY_LINES = 64
MAX_CHUNK_BYTES = 256 * 1024


@frozen
class Chunk:
    """A piece of a rules file, named by its digest."""

    digest: str
    text: str


def make_chunk(text: str) -> Chunk:
    """Return a chunk of a text."""
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return Chunk(digest.hexdigest(), text)


def split_chunks(text: str) -> list[Chunk]:
    """Return the chunks that join to the text."""
    chunks = []
    lines: list[str] = []
    size = 0
    for line in text.splitlines(keepends=True):
        lines.append(line)
        size += len(line.encode())
        if _is_border(line) or size >= MAX_CHUNK_BYTES:
            chunks.append(make_chunk("".join(lines)))
            lines = []
            size = 0
    if lines:
        chunks.append(make_chunk("".join(lines)))
    return chunks


def join_chunks(chunks: list[Chunk]) -> str:
    """Return the text of chunks in order."""
    return "".join(chunk.text for chunk in chunks)


def _is_border(line: str) -> bool:
    digest = hashlib.blake2b(line.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % BORDER_EVERY_LINES == 0
