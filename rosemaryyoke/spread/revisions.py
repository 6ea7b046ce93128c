"""The rules in force on this host: the highest revision received so far."""

import threading
import time
import zlib
from typing import Callable

from absl import logging
from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.core import Kernel
from rosemaryyoke.objects import ObjectApi
from rosemaryyoke.rules import (
    ParsedText,
    RuleSet,
    combine_texts,
    make_chunk,
    parse_text,
)
from rosemaryyoke.spread.manifest import (
    CHUNK_PREFIX,
    MANIFEST_NAME,
    Manifest,
    RevisionOffer,
    read_manifest,
)

WATCH_WAIT_S = 10.0
FIRST_RETRY_S = 0.25
MAX_RETRY_S = 1.0
WATCHER_POLL_S = 0.5
COMPRESSION_LEVEL = 6

Listener = Callable[[RuleSet], None]
FetchChunk = Callable[[str], Result[str, str]]


@frozen
class ParsedChunk:
    """A chunk of the rules in force: compressed text and parsed rules."""

    compressed_text: bytes
    parsed: ParsedText

    @property
    def text(self) -> str:
        """Return the decompressed text."""
        return zlib.decompress(self.compressed_text).decode()


def parse_chunk(text: str) -> ParsedChunk:
    """Compress and parse the text of a chunk."""
    return ParsedChunk(
        zlib.compress(text.encode(), COMPRESSION_LEVEL), parse_text(text)
    )


class Revisions:
    """Holds the rules in force and notifies listeners of each new revision.

    The revision never decreases.
    """

    def __init__(self, kernel: Kernel, api: ObjectApi):
        self.kernel = kernel
        self.api = api
        self.lock = threading.RLock()
        self.known = threading.Event()
        self.rules = RuleSet()
        self.manifest = Manifest(0, (), ())
        self.chunks: dict[str, ParsedChunk] = {}
        self.listeners: list[Listener] = []
        self.stopping = threading.Event()
        self.watcher = threading.Thread(target=self.watch, name="watch", daemon=True)

    @property
    def revision(self) -> int:
        """Return the revision in force, or 0 if none is known."""
        return self.rules.revision

    def start(self) -> None:
        """Start the thread that reads and watches the platform."""
        self.recorder = self.kernel.get("recorder")
        self.members = self.kernel.get("members")
        self.watcher.start()

    def stop(self) -> None:
        """Stop the watch after its current call."""
        self.stopping.set()

    def subscribe(self, listener: Listener) -> None:
        """Register a callback for the rules in force and each new revision."""
        with self.lock:
            self.listeners.append(listener)
            if self.revision:
                listener(self.rules)

    def offer(self, manifest: Manifest, fetch: FetchChunk) -> Result[bool, str]:
        """Apply a revision if it is higher; return whether it was applied."""
        if manifest.revision <= self.revision:
            return Ok(False)
        chunks: dict[str, ParsedChunk] = {}
        for digest in manifest.chunks:
            chunk = self.chunks.get(digest)
            if chunk is None:
                fetched = fetch(digest)
                if isinstance(fetched, Err):
                    return fetched
                if make_chunk(fetched.ok_value).digest != digest:
                    return Err(f"chunk {digest} is not what its digest says")
                chunk = parse_chunk(fetched.ok_value)
            chunks[digest] = chunk
        parsed = [chunks[digest].parsed for digest in manifest.chunks]
        rules = combine_texts(parsed, manifest.revision)
        if isinstance(rules, Err):
            return Err(f"revision {manifest.revision} has faults")
        return Ok(self._put_in_force(manifest, chunks, rules.ok_value))

    def _put_in_force(
        self, manifest: Manifest, chunks: dict[str, ParsedChunk], rules: RuleSet
    ) -> bool:
        with self.lock:
            if manifest.revision <= self.revision:
                return False
            self.manifest = manifest
            self.chunks = chunks
            self.rules = rules
            self.recorder.record("rules.in_force", revision=manifest.revision)
            for listener in self.listeners:
                listener(rules)
        self.known.set()
        logging.info("revision %d is in force", manifest.revision)
        return True

    def apply_offer(self, offer: RevisionOffer) -> Result[bool, str]:
        """Apply a revision that an operator reports as accepted by the platform."""

        def fetch(digest: str) -> Result[str, str]:
            chunk = offer.chunks.get(digest)
            return Ok(chunk.text) if chunk else self.fetch_from_platform(digest)

        return self.offer(offer.manifest, fetch)

    def update_from_platform(self) -> Result[bool, str]:
        """Read the manifest from the platform and apply it."""
        stored = self.api.get(MANIFEST_NAME)
        if isinstance(stored, Err):
            return Err(stored.err_value.message)
        try:
            manifest = read_manifest(stored.ok_value)
        except ValueError as error:
            return Err(str(error))
        return self.offer(manifest, self.fetch_from_platform)

    def fetch_from_platform(self, digest: str) -> Result[str, str]:
        """Fetch the text of a chunk from the platform."""
        stored = self.api.get(CHUNK_PREFIX + digest)
        if isinstance(stored, Err):
            return Err(stored.err_value.message)
        if stored.ok_value is None:
            return Err(f"chunk {digest} is not in the platform")
        return Ok(stored.ok_value.body.decode())

    def watch(self) -> None:
        """Read the rules once, then watch for changes while this host is a watcher."""
        position = 0
        retry_s = FIRST_RETRY_S
        while not self.stopping.is_set():
            if position and not self.members.is_watcher():
                self.stopping.wait(WATCHER_POLL_S)
                continue
            changes = self.api.watch(MANIFEST_NAME, position, WATCH_WAIT_S)
            outcome: Result = changes
            if isinstance(changes, Ok):
                outcome = Ok(False)
                if changes.ok_value.changes:
                    outcome = self.update_from_platform()
            if isinstance(outcome, Ok):
                position = changes.ok_value.position
                retry_s = FIRST_RETRY_S
                continue
            logging.warning(
                "reading the rules from the platform failed: %s", outcome.err_value
            )
            time.sleep(retry_s)
            retry_s = min(MAX_RETRY_S, retry_s * 2)
