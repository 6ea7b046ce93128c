"""The manifest of a rules revision: which chunks make it, and who wrote it."""

import orjson
from attrs import frozen

from rosemaryyoke.objects import StoredObject
from rosemaryyoke.rules import Chunk, make_chunk

MANIFEST_NAME = "rules/current"
CHUNK_PREFIX = "rule-chunks/"
HISTORY_KEPT = 64


@frozen
class Written:
    """A revision and the token of its writer."""

    revision: int
    token: str


@frozen
class Manifest:
    """A revision, its chunks in order, and the latest writers."""

    revision: int
    chunks: tuple[str, ...]
    history: tuple[Written, ...]

    def revision_of(self, token: str) -> int:
        """Return the revision that a token wrote, or 0."""
        for written in self.history:
            if written.token == token:
                return written.revision
        return 0


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the manifest as JSON."""
    return orjson.dumps(
        {
            "revision": manifest.revision,
            "chunks": manifest.chunks,
            "history": [[item.revision, item.token] for item in manifest.history],
        }
    )


def decode_manifest(body: bytes) -> Manifest:
    """Return the manifest of its JSON; raise ``ValueError`` where it is not one."""
    try:
        value = orjson.loads(body)
        history = tuple(Written(*item) for item in value["history"])
        return Manifest(int(value["revision"]), tuple(value["chunks"]), history)
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a manifest: {error}") from error


def read_manifest(stored: StoredObject | None) -> Manifest:
    """Return the manifest that an object holds; revision 0 where there is none."""
    if stored is None:
        return Manifest(0, (), ())
    return decode_manifest(stored.body)


@frozen
class Offer:
    """A manifest that the platform accepted, and chunks that a host may lack."""

    manifest: Manifest
    chunks: dict[str, Chunk]


def encode_offer(manifest: Manifest, chunks: tuple[Chunk, ...]) -> dict:
    """Return the JSON value of an offer."""
    return {
        "manifest": encode_manifest(manifest).decode(),
        "chunks": [chunk.text for chunk in chunks],
    }


def decode_offer(value: object) -> Offer:
    """Return the offer of its JSON value; raise ``ValueError`` where it is not one."""
    try:
        manifest = decode_manifest(value["manifest"].encode())
        chunks = [make_chunk(text) for text in value["chunks"]]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not an offer: {error}") from error
    return Offer(manifest, {chunk.digest: chunk for chunk in chunks})
