"""Builders of claims and shards, and an in-memory store that injects write faults."""

from attrs import define, field
from result import Err, Ok

from rosemaryyoke.calls.claim_entries import AcquireClaim, read_entries
from rosemaryyoke.calls.claim_shards import ClaimShard
from rosemaryyoke.objects import PlatformError, StoredObject

SHARD = "claims/0"


@define
class ClaimStore:
    """A store of one object whose next writes fail as listed in ``faults``.

    ``drop`` loses a write; ``lose`` applies a write but loses its response.
    """

    stored: StoredObject | None = None
    versions: int = 0
    faults: list[str] = field(factory=list)
    before_read: list = field(factory=list)

    def get(self, name):
        """Run the next ``before_read`` callback, then return the object."""
        if self.before_read:
            self.before_read.pop(0)()
        return Ok(self.stored)

    def put(self, name, body, expected_version):
        """Write the object if its version matches, subject to the next fault."""
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "drop":
            return Err(PlatformError("lost", maybe_applied=True))
        current = self.stored.version if self.stored else 0
        if current != expected_version:
            return Err(PlatformError("conflict", conflict=True))
        self.versions += 1
        self.stored = StoredObject(name, self.versions, body)
        if fault == "lose":
            return Err(PlatformError("lost", maybe_applied=True))
        return Ok(self.versions)

    def token_of(self, digest):
        """Return the token of the stored claim, or None."""
        entry = read_entries(self.stored).get(digest)
        return entry.token if entry else None


def make_shard(store):
    """Return a shard as one host would hold it."""
    return ClaimShard(SHARD, store)


def make_claim(key, token):
    """Return a claim of a key with an attempt's token."""
    return AcquireClaim(f"{key:0>8}", token, request="request")


def holds_key(claim):
    """Return whether the claim's future reports that its own token holds the key."""
    outcome = claim.future.result(timeout=0)
    return isinstance(outcome, Ok) and outcome.ok_value.token == claim.token
