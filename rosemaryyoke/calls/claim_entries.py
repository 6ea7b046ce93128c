"""Stored claims of idempotency keys and the changes applied to them."""

import base64
import hashlib
import time
from concurrent.futures import Future

import orjson
from attrs import define, field, frozen

from rosemaryyoke.objects import StoredObject

RETENTION_S = 3_600.0

CLAIMED = "claimed"
ANSWERED = "answered"
UNKNOWN = "unknown"
RELEASED = "released"


@frozen
class StoredResponse:
    """A service's response, stored to be replayed for repeated calls."""

    status: int
    content_type: str
    body: bytes


@define
class ClaimEntry:
    """The stored claim of one idempotency key."""

    token: str
    request: str
    at_s: float
    state: str = CLAIMED
    status: int = 0
    content_type: str = ""
    body: str = ""

    def row(self) -> tuple:
        """Return the fields in constructor order, for serialization."""
        return (
            self.token,
            self.request,
            self.at_s,
            self.state,
            self.status,
            self.content_type,
            self.body,
        )

    def outcome(self) -> StoredResponse:
        """Return the stored response."""
        return StoredResponse(
            self.status, self.content_type, base64.b64decode(self.body)
        )


ClaimEntries = dict[str, ClaimEntry]


@frozen
class ClaimKey:
    """An idempotency key, scoped to a client account and a service.

    ``request`` is the digest of the request that the key was sent with.
    """

    account: str
    service: str
    key: str
    request: str

    def digest(self) -> str:
        """Return the identifier under which the claim is stored."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.account, self.service, self.key):
            raw = part.encode()
            digest.update(len(raw).to_bytes(4, "big"))
            digest.update(raw)
        return digest.hexdigest()


@define(eq=False)
class ClaimChange:
    """A change to one claim, queued for the next write of its shard."""

    digest: str
    token: str
    future: Future = field(factory=Future)
    result: ClaimEntry | None = None

    def apply(self, entries: ClaimEntries) -> bool:
        """Apply the change in place; return whether the entries changed."""
        raise NotImplementedError

    def is_applied(self, entries: ClaimEntries) -> bool:
        """Return whether the entries already contain this change."""
        raise NotImplementedError


@define(eq=False)
class AcquireClaim(ClaimChange):
    """Claim a key unless another attempt already holds it."""

    request: str = ""

    def apply(self, entries: ClaimEntries) -> bool:
        """Add the claim unless an unreleased one exists."""
        existing = entries.get(self.digest)
        if existing is not None and (
            existing.state != RELEASED or existing.token == self.token
        ):
            self.result = existing
            return False
        self.result = ClaimEntry(self.token, self.request, time.time())
        entries[self.digest] = self.result
        return True

    def is_applied(self, entries: ClaimEntries) -> bool:
        """Return whether the claim is stored with this token."""
        existing = entries.get(self.digest)
        return existing is not None and existing.token == self.token


@define(eq=False)
class RecordOutcome(ClaimChange):
    """Record the final state of a claim."""

    state: str = ANSWERED
    outcome: StoredResponse = StoredResponse(0, "", b"")

    def apply(self, entries: ClaimEntries) -> bool:
        """Record state and response if the claim is stored with this token."""
        existing = entries.get(self.digest)
        if (
            existing is None
            or existing.token != self.token
            or existing.state == self.state
        ):
            return False
        existing.state = self.state
        existing.status = self.outcome.status
        existing.content_type = self.outcome.content_type
        existing.body = base64.b64encode(self.outcome.body).decode()
        return True

    def is_applied(self, entries: ClaimEntries) -> bool:
        """Return whether the state is recorded under this token."""
        existing = entries.get(self.digest)
        return existing is not None and (existing.token, existing.state) == (
            self.token,
            self.state,
        )


def read_entries(stored: StoredObject | None) -> ClaimEntries:
    """Deserialize the claims of a stored object."""
    if stored is None:
        return {}
    return {key: ClaimEntry(*row) for key, row in orjson.loads(stored.body).items()}


def write_entries(entries: ClaimEntries) -> bytes:
    """Serialize claims to the body of a stored object."""
    return orjson.dumps({key: entry.row() for key, entry in entries.items()})


def drop_expired(entries: ClaimEntries, now_s: float) -> None:
    """Delete the claims that are older than the retention period."""
    for digest in [d for d, e in entries.items() if now_s - e.at_s > RETENTION_S]:
        del entries[digest]
