"""Publish a rules file: store its chunks, then conditionally update the manifest."""

import secrets
import time

from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.objects import (
    Abandoned,
    ObjectApi,
    PlatformError,
    StoredObject,
    update_object,
)
from rosemaryyoke.rules import Chunk, split_chunks
from rosemaryyoke.spread.manifest import (
    CHUNK_PREFIX,
    MANIFEST_NAME,
    MAX_HISTORY,
    HistoryEntry,
    Manifest,
    encode_manifest,
    read_manifest,
)

PUBLISH_DEADLINE_S = 20.0


@frozen
class Published:
    """The revision of the text, and whether this call wrote it.

    ``fresh`` holds the chunks that are not part of the previous revision.
    """

    revision: int
    written: bool
    manifest: Manifest
    new_chunks: tuple[Chunk, ...] = ()


@frozen
class PublishError:
    """Publishing failed, or its outcome is unknown (``maybe_published``)."""

    message: str
    conflict: bool = False
    maybe_published: bool = False


def publish_rules(
    api: ObjectApi,
    text: str,
    expected_revision: int | None = None,
    deadline_s: float = PUBLISH_DEADLINE_S,
) -> Result[Published, PublishError]:
    """Publish a text as the successor of ``expected_revision``.

    Without an expected revision the text succeeds whichever revision is current. If the
    text is already current, nothing is written.
    """
    until_s = time.monotonic() + deadline_s
    chunks = split_chunks(text)
    for chunk in chunks:
        stored = store_chunk(api, chunk, until_s)
        if isinstance(stored, Err):
            return Err(PublishError(f"platform: {stored.err_value.message}"))
    return write_manifest(api, chunks, expected_revision, until_s)


def store_chunk(
    api: ObjectApi, chunk: Chunk, until_s: float
) -> Result[object, PlatformError]:
    """Create the object of a chunk unless it exists."""
    body = chunk.text.encode()
    return update_object(
        api,
        CHUNK_PREFIX + chunk.digest,
        lambda stored: None if stored is not None else body,
        lambda stored: stored is not None,
        until_s,
    )


def write_manifest(
    api: ObjectApi,
    chunks: list[Chunk],
    expected_revision: int | None,
    until_s: float,
) -> Result[Published, PublishError]:
    """Write the manifest; its history shows whether the write was accepted."""
    token = secrets.token_hex(12)
    digests = tuple(chunk.digest for chunk in chunks)
    seen = [Manifest(0, (), ())]

    def change(stored: StoredObject | None) -> bytes | None:
        manifest = read_manifest(stored)
        seen[0] = manifest
        if manifest.chunks == digests and manifest.revision:
            return None
        if expected_revision not in (None, manifest.revision):
            return None
        revision = manifest.revision + 1
        history = (HistoryEntry(revision, token), *manifest.history)[:MAX_HISTORY]
        return encode_manifest(Manifest(revision, digests, history))

    outcome = update_object(
        api,
        MANIFEST_NAME,
        change,
        lambda stored: read_manifest(stored).revision_of(token) > 0,
        until_s,
    )
    if isinstance(outcome, Err):
        error = outcome.err_value
        return Err(PublishError(error.message, maybe_published=error.maybe_applied))
    updated = outcome.ok_value
    if not isinstance(updated, Abandoned):
        manifest = read_manifest(updated)
        revision = manifest.revision_of(token)
        new_chunks = tuple(c for c in chunks if c.digest not in seen[0].chunks)
        return Ok(Published(revision, True, manifest, new_chunks))
    current = read_manifest(updated.current)
    if current.chunks == digests:
        return Ok(Published(current.revision, False, current))
    message = f"revision {current.revision} is in force, not {expected_revision}"
    return Err(PublishError(message, conflict=True))
