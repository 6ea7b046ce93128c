"""Claims of idempotency keys, kept in the platform in shards.

A shard is one object that holds the claims of many keys. A host writes all changes
that wait for a shard in one conditional update (group commit), so that the writes for
each claim fall as load rises.
"""

import base64
import hashlib
import secrets
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

import orjson
from absl import logging
from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.core import Kernel
from rosemaryyoke.core.pools import make_pool
from rosemaryyoke.platform import (
    Abandoned,
    ObjectApi,
    PlatformError,
    StoredObject,
    update_object,
)

SHARDS = 16
FLUSH_GAP_S = 0.02
RETENTION_S = 3_600.0
MAX_SHARD_BYTES = 1_000_000
MAX_OUTCOME_BYTES = 16 * 1024
UPDATE_DEADLINE_S = 1.5
REPAIR_DEADLINE_S = 60.0
FLUSH_WORKERS = SHARDS

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
        if known is not None and known.state != RELEASED:
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


class Shard:
    """One object of claims and the changes that wait for its next write."""

    def __init__(self, name: str, api: ObjectApi):
        self.name = name
        self.api = api
        self.lock = threading.Lock()
        self.waiting: list[Change] = []
        self.flushing = False
        self.current: StoredObject | None = None
        self.writes = 0

    def enqueue(self, change: Change, pool: ThreadPoolExecutor) -> None:
        """Let a change wait for the next write and see that one comes."""
        with self.lock:
            self.waiting.append(change)
            if self.flushing:
                return
            self.flushing = True
        pool.submit(self.flush)

    def flush(self) -> None:
        """Write until no change waits."""
        while True:
            with self.lock:
                batch, self.waiting = self.waiting, []
                if not batch:
                    self.flushing = False
                    return
            self.write(batch)
            time.sleep(FLUSH_GAP_S)

    def write(self, batch: list[Change]) -> None:
        """Write a batch of changes in one conditional update."""
        deadline_s = time.monotonic() + UPDATE_DEADLINE_S
        try:
            outcome = update_object(
                self.api,
                self.name,
                lambda stored: self._apply(batch, stored),
                lambda stored: self._recognise(batch, stored),
                deadline_s,
                self._believed(batch),
            )
        except Exception as error:
            logging.exception("claims of %s could not be written", self.name)
            outcome = Err(PlatformError(str(error), maybe_done=True))
        self.writes += 1
        self._settle(batch, outcome)

    def _believed(self, batch: list[Change]) -> StoredObject | None:
        """Return the object as last seen, unless a key in it needs a fresh read."""
        if self.current is None:
            return None
        entries = read_entries(self.current)
        if any(isinstance(c, Claim) and c.digest in entries for c in batch):
            return None
        return self.current

    def _apply(self, batch: list[Change], stored: StoredObject | None) -> bytes | None:
        entries = read_entries(stored)
        drop_expired(entries, time.time())
        changed = [change.apply(entries) for change in batch]
        if not any(changed):
            return None
        body = write_entries(entries)
        if len(body) > MAX_SHARD_BYTES:
            raise ValueError("the shard is full")
        return body

    def _recognise(self, batch: list[Change], stored: StoredObject | None) -> bool:
        entries = read_entries(stored)
        return any(change.holds(entries) for change in batch)

    def _settle(self, batch: list[Change], outcome: Result) -> None:
        if isinstance(outcome, Err):
            self.current = None
            for change in batch:
                change.future.set_result(outcome)
            return
        stored = outcome.ok_value
        self.current = stored.current if isinstance(stored, Abandoned) else stored
        for change in batch:
            change.future.set_result(Ok(change.result))


class Claims:
    """Claim keys and settle claims, grouped by shard."""

    def __init__(self, kernel: Kernel, api: ObjectApi):
        self.kernel = kernel
        self.api = api
        self.pool = make_pool("claims", FLUSH_WORKERS)
        self.shards = [Shard(f"claims/{number}", api) for number in range(SHARDS)]
        self.unsettled: list[tuple[float, Settle]] = []
        self.lock = threading.Lock()

    def start(self) -> None:
        """Settle later what could not be settled at once."""
        self.kernel.get("timer").every(1.0, self.retry_unsettled)

    def stop(self) -> None:
        """Wait for the writes that are under way."""
        self.pool.shutdown(wait=True)

    def shard_of(self, digest: str) -> Shard:
        """Return the shard that holds a claim."""
        return self.shards[int(digest[:8], 16) % len(self.shards)]

    def claim(self, key: ClaimKey) -> Result[tuple[str, Entry], PlatformError]:
        """Return this attempt's token and the claim that stands.

        The claim is this attempt's if it bears its token. After an error that leaves
        the claim in doubt, it is released as soon as the platform answers.
        """
        token = secrets.token_hex(12)
        change = Claim(key.digest(), token, request=key.request)
        self.shard_of(change.digest).enqueue(change, self.pool)
        outcome = change.future.result()
        if isinstance(outcome, Err):
            if outcome.err_value.maybe_done:
                self._settle_later(Settle(change.digest, token, state=RELEASED))
            return outcome
        return Ok((token, outcome.ok_value))

    def settle(self, key: ClaimKey, token: str, state: str, outcome: Outcome) -> Future:
        """Record what became of a claim; the future ends when it is recorded."""
        if len(outcome.body) > MAX_OUTCOME_BYTES:
            state, outcome = UNKNOWN, Outcome(0, "", b"")
        change = Settle(key.digest(), token, state=state, outcome=outcome)
        change.future.add_done_callback(lambda done: self._check_settled(change, done))
        self.shard_of(change.digest).enqueue(change, self.pool)
        return change.future

    def _check_settled(self, change: Settle, done: Future) -> None:
        if isinstance(done.result(), Err):
            again = Settle(
                change.digest, change.token, state=change.state, outcome=change.outcome
            )
            self._settle_later(again)

    def _settle_later(self, change: Settle) -> None:
        with self.lock:
            until_s = time.monotonic() + REPAIR_DEADLINE_S
            self.unsettled.append((until_s, change))

    def retry_unsettled(self) -> None:
        """Write again what failed, until its deadline."""
        with self.lock:
            pending, self.unsettled = self.unsettled, []
        for until_s, change in pending:
            self.shard_of(change.digest).enqueue(change, self.pool)
            if isinstance(change.future.result(), Err) and time.monotonic() < until_s:
                change.future = Future()
                with self.lock:
                    self.unsettled.append((until_s, change))
