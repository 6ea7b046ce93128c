"""Claims, shards and a store in memory whose writes may be lost in two ways."""

from attrs import define, field
from result import Err, Ok

from rosemaryyoke.calls.claim_entries import Claim, read_entries
from rosemaryyoke.calls.claim_shards import Shard
from rosemaryyoke.objects import PlatformError, StoredObject

SHARD = "claims/0"


@define
class ClaimStore:
    """One object; the next writes follow a script of faults.

    ``drop`` loses a write, ``lose`` loses the answer of one that takes effect.
    """

    stored: StoredObject | None = None
    versions: int = 0
    faults: list[str] = field(factory=list)
    before_read: list = field(factory=list)

    def get(self, name):
        """Return the object, after what was planned to come in between."""
        if self.before_read:
            self.before_read.pop(0)()
        return Ok(self.stored)

    def put(self, name, body, expected_version):
        """Write the object under a condition, as the next fault has it."""
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
        """Return the token of the claim that stands, or none."""
        entry = read_entries(self.stored).get(digest)
        return entry.token if entry else None


def make_shard(store):
    """Return a host's view of the shard."""
    return Shard(SHARD, store)


def make_claim(key, token):
    """Return a claim of a key by an attempt."""
    return Claim(f"{key:0>8}", token, request="request")


def won(claim):
    """Tell whether a claim's caller was told that the claim is its own."""
    outcome = claim.future.result(timeout=0)
    return isinstance(outcome, Ok) and outcome.ok_value.token == claim.token
