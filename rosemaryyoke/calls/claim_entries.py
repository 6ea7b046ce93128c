"""Claims of idempotency keys and the changes that are made to them."""

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
class Outcome:
    """A service's answer, as it is kept and given again."""

    status: int
    content_type: str
    body: bytes


@define
class Entry:
    """The claim of one key."""

    token: str
    request: str
    at_s: float
    state: str = CLAIMED
    status: int = 0
    content_type: str = ""
    body: str = ""

    def row(self) -> tuple:
        """Return the fields in the order of the constructor."""
        return (
            self.token,
            self.request,
            self.at_s,
            self.state,
            self.status,
            self.content_type,
            self.body,
        )

    def outcome(self) -> Outcome:
        """Return the answer that is kept."""
        return Outcome(self.status, self.content_type, base64.b64decode(self.body))


Entries = dict[str, Entry]


@frozen
class ClaimKey:
    """A key of a client account at a service, and the digest of its request."""

    account: str
    service: str
    key: str
    request: str

    def digest(self) -> str:
        """Return the name of the claim."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.account, self.service, self.key):
            raw = part.encode()
            digest.update(len(raw).to_bytes(4, "big"))
            digest.update(raw)
        return digest.hexdigest()


@define(eq=False)
class Change:
    """A change of one claim that waits for the next write of its shard."""

    digest: str
    token: str
    future: Future = field(factory=Future)
    result: Entry | None = None

    def apply(self, entries: Entries) -> bool:
        """Change the entries; tell whether anything changed."""
        raise NotImplementedError

    def holds(self, entries: Entries) -> bool:
        """Tell whether the entries show this change."""
        raise NotImplementedError


@define(eq=False)
class Claim(Change):
    """Claim a key unless another holds it."""

    request: str = ""

    def apply(self, entries: Entries) -> bool:
        """File the claim unless one stands."""
        known = entries.get(self.digest)
        if known is not None and (known.state != RELEASED or known.token == self.token):
            self.result = known
            return False
        self.result = Entry(self.token, self.request, time.time())
        entries[self.digest] = self.result
        return True

    def holds(self, entries: Entries) -> bool:
        """Tell whether the claim stands under this token."""
        known = entries.get(self.digest)
        return known is not None and known.token == self.token


@define(eq=False)
class Settle(Change):
    """Record what became of a claim."""

    state: str = ANSWERED
    outcome: Outcome = Outcome(0, "", b"")

    def apply(self, entries: Entries) -> bool:
        """Record the outcome if the claim stands under this token."""
        known = entries.get(self.digest)
        if known is None or known.token != self.token or known.state == self.state:
            return False
        known.state = self.state
        known.status = self.outcome.status
        known.content_type = self.outcome.content_type
        known.body = base64.b64encode(self.outcome.body).decode()
        return True

    def holds(self, entries: Entries) -> bool:
        """Tell whether the outcome is recorded."""
        known = entries.get(self.digest)
        return known is not None and (known.token, known.state) == (
            self.token,
            self.state,
        )


def read_entries(stored: StoredObject | None) -> Entries:
    """Return the claims that an object holds."""
    if stored is None:
        return {}
    return {key: Entry(*row) for key, row in orjson.loads(stored.body).items()}


def write_entries(entries: Entries) -> bytes:
    """Return the object's body of claims."""
    return orjson.dumps({key: entry.row() for key, entry in entries.items()})


def drop_expired(entries: Entries, now_s: float) -> None:
    """Drop the claims that are past their retention."""
    for digest in [d for d, e in entries.items() if now_s - e.at_s > RETENTION_S]:
        del entries[digest]
