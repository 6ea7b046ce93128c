"""Manifests of rules revisions: the list of chunks and the recent writers."""

import orjson
from attrs import frozen

from rosemaryyoke.objects import StoredObject
from rosemaryyoke.rules import Chunk, make_chunk

MANIFEST_NAME = "rules/current"
CHUNK_PREFIX = "rule-chunks/"
MAX_HISTORY = 64


@frozen
class HistoryEntry:
    """A published revision and the token of its writer."""

    revision: int
    token: str


@frozen
class Manifest:
    """A revision number, its ordered chunk digests, and recent writers."""

    revision: int
    chunks: tuple[str, ...]
    history: tuple[HistoryEntry, ...]

    def revision_of(self, token: str) -> int:
        """Return the revision written with a token, or 0."""
        for entry in self.history:
            if entry.token == token:
                return entry.revision
        return 0


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest as JSON."""
    return orjson.dumps(
        {
            "revision": manifest.revision,
            "chunks": manifest.chunks,
            "history": [[item.revision, item.token] for item in manifest.history],
        }
    )


def decode_manifest(body: bytes) -> Manifest:
    """Decode a manifest from JSON; raise ``ValueError`` if it is malformed."""
    try:
        value = orjson.loads(body)
        history = tuple(HistoryEntry(*item) for item in value["history"])
        return Manifest(int(value["revision"]), tuple(value["chunks"]), history)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a manifest: {error}") from error


def read_manifest(stored: StoredObject | None) -> Manifest:
    """Return the manifest stored in an object, or revision 0 if it does not exist."""
    if stored is None:
        return Manifest(0, (), ())
    return decode_manifest(stored.body)


@frozen
class RevisionOffer:
    """A manifest accepted by the platform, with chunks that a host may not have."""

    manifest: Manifest
    chunks: dict[str, Chunk]


def encode_offer(manifest: Manifest, chunks: tuple[Chunk, ...]) -> dict:
    """Encode an offer as a JSON value."""
    return {
        "manifest": encode_manifest(manifest).decode(),
        "chunks": [chunk.text for chunk in chunks],
    }


def decode_offer(value: object) -> RevisionOffer:
    """Decode an offer from a JSON value; raise ``ValueError`` if it is malformed."""
    try:
        manifest = decode_manifest(value["manifest"].encode())
        chunks = [make_chunk(text) for text in value["chunks"]]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not an offer: {error}") from error
    return RevisionOffer(manifest, {chunk.digest: chunk for chunk in chunks})
