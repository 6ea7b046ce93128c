"""Replication of rules revisions between peers."""

import threading

from absl import logging
from result import Err, Ok, Result

from rosemaryyoke.core import Kernel
from rosemaryyoke.membership import Member
from rosemaryyoke.peers import Channel, Message, PeerError, make_missing_message
from rosemaryyoke.spread.manifest import decode_manifest, encode_manifest
from rosemaryyoke.spread.revisions import Revisions

FETCH_TIMEOUT_S = 1.0
CHUNK_FETCH_TIMEOUT_S = 2.0


class RevisionExchange:
    """Fetches newer revisions from peers and serves the current one to them."""

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.fetch_lock = threading.Lock()

    def start(self) -> None:
        """Register the handlers that serve manifests and chunks to peers."""
        self.revisions: Revisions = self.kernel.get("revisions")
        self.peers = self.kernel.get("peers")
        self.executor = self.kernel.get("pool").executor
        handlers = self.peers.server.handlers
        handlers.register("getManifest")(self.handle_get_manifest)
        handlers.register("getChunk")(self.handle_get_chunk)

    def stop(self) -> None:
        """Do nothing; the peers service closes the connections."""

    def handle_member_update(self, member: Member) -> None:
        """Fetch the member's revision in the background if it is newer."""
        if member.revision > self.revisions.revision and member.peer_address:
            self.executor.submit(self.fetch, member)

    def fetch(self, member: Member) -> None:
        """Fetch a revision from a peer; fetches are serialized."""
        with self.fetch_lock:
            if member.revision <= self.revisions.revision:
                return
            outcome = self._fetch(member.peer_address)
        if isinstance(outcome, Err):
            logging.warning(
                "fetching rules revision from %s failed: %s", member.name, outcome.err()
            )

    def _fetch(self, address: str) -> Result[bool, str]:
        request = Message.new_message()
        request.getManifest = None
        try:
            answer = self.peers.client.request(address, request, FETCH_TIMEOUT_S)
            if answer.which() != "manifest":
                return Err("the peer has no manifest")
            manifest = decode_manifest(answer.manifest)
        except (PeerError, ValueError) as error:
            return Err(str(error))
        return self.revisions.offer(
            manifest, lambda digest: self.fetch_chunk(address, digest)
        )

    def fetch_chunk(self, address: str, digest: str) -> Result[str, str]:
        """Fetch a chunk's text from a peer, with the platform as fallback."""
        request = Message.new_message()
        request.getChunk = digest
        try:
            answer = self.peers.client.request(address, request, CHUNK_FETCH_TIMEOUT_S)
            if answer.which() == "chunk":
                return Ok(answer.chunk)
        except PeerError:
            pass
        return self.revisions.fetch_from_platform(digest)

    def handle_get_manifest(self, channel: Channel, message):
        """Handle a request for the current manifest."""
        if not self.revisions.revision:
            return make_missing_message()
        answer = Message.new_message()
        answer.manifest = encode_manifest(self.revisions.manifest)
        return answer

    def handle_get_chunk(self, channel: Channel, message):
        """Handle a request for a chunk of the current revision."""
        chunk = self.revisions.chunks.get(message.getChunk)
        if chunk is None:
            return make_missing_message()
        answer = Message.new_message()
        answer.chunk = chunk.text
        return answer
