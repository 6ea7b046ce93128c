"""Claim idempotency keys in the platform's store, batched by group commit.

A host writes all changes that are queued for a shard in one conditional update, so
the number of writes per claim falls as load rises.
"""

import secrets
import threading
import time
from concurrent.futures import Future

from result import Err, Ok, Result

from rosemaryyoke.calls.claim_codec import (
    change_message,
    read_change,
    read_result,
    result_message,
)
from rosemaryyoke.calls.claim_entries import (
    RELEASED,
    UNKNOWN,
    AcquireClaim,
    ClaimChange,
    ClaimEntry,
    ClaimKey,
    RecordOutcome,
    StoredResponse,
)
from rosemaryyoke.calls.claim_shards import ClaimShard
from rosemaryyoke.core import Kernel, make_pool
from rosemaryyoke.objects import ObjectApi, PlatformError
from rosemaryyoke.peers import Channel, PeerError

SHARD_COUNT = 8
MAX_OUTCOME_BYTES = 16 * 1024
OWNER_TIMEOUT_S = 2.5
RECORD_RETRY_WINDOW_S = 60.0
RECORD_RETRY_INTERVAL_S = 1.0
RECORD_WORKERS = 16
FLUSH_WORKERS = SHARD_COUNT


class Claims:
    """Claim keys and record the final states of claims, partitioned into shards.

    Each shard has an owner, which every host derives from the set of live hosts. The
    owner batches the changes of all hosts. If it does not answer, a host writes the
    change itself; the conditional update keeps claims unique in either case.
    """

    def __init__(self, kernel: Kernel, api: ObjectApi):
        self.kernel = kernel
        self.api = api
        self.flush_pool = make_pool("claims", FLUSH_WORKERS)
        self.record_pool = make_pool("settle", RECORD_WORKERS)
        self.shards = [
            ClaimShard(f"claims/{number}", api) for number in range(SHARD_COUNT)
        ]
        self.unrecorded: list[tuple[float, RecordOutcome]] = []
        self.lock = threading.Lock()

    def start(self) -> None:
        """Accept other hosts' changes and retry final states that failed to store."""
        self.members = self.kernel.get("members")
        self.peers = self.kernel.get("peers")
        self.metrics = self.kernel.get("metrics")
        self.peers.server.handlers.register("changeClaim")(self.handle_change)
        self.kernel.get("timer").every(RECORD_RETRY_INTERVAL_S, self.retry_unrecorded)

    def stop(self) -> None:
        """Wait for pending writes to finish."""
        self.record_pool.shutdown(wait=True)
        self.flush_pool.shutdown(wait=True)

    def shard_of(self, digest: str) -> ClaimShard:
        """Return the shard that stores a claim."""
        return self.shards[int(digest[:8], 16) % len(self.shards)]

    def claim(self, key: ClaimKey) -> Result[tuple[str, ClaimEntry], PlatformError]:
        """Claim a key; return this attempt's token and the stored claim.

        The attempt holds the claim if the stored token equals its own. After an error,
        which may leave the claim stored, its release is retried until the platform
        answers or ``RECORD_RETRY_WINDOW_S`` has passed.
        """
        token = secrets.token_hex(12)
        change = AcquireClaim(key.digest(), token, request=key.request)
        outcome = self.apply_change(change)
        if isinstance(outcome, Err):
            self._queue_retry(RecordOutcome(change.digest, token, state=RELEASED))
            return outcome
        return Ok((token, outcome.ok_value))

    def record_outcome(
        self, key: ClaimKey, token: str, state: str, outcome: StoredResponse
    ) -> None:
        """Record the final state of a claim in the background.

        A response over ``MAX_OUTCOME_BYTES`` is not stored; the state is then unknown.
        """
        if len(outcome.body) > MAX_OUTCOME_BYTES:
            state, outcome = UNKNOWN, StoredResponse(0, "", b"")
        change = RecordOutcome(key.digest(), token, state=state, outcome=outcome)
        self.record_pool.submit(
            self._record, time.monotonic() + RECORD_RETRY_WINDOW_S, change
        )

    def _record(self, deadline_s: float, change: RecordOutcome) -> None:
        if isinstance(self.apply_change(change), Err) and time.monotonic() < deadline_s:
            with self.lock:
                self.unrecorded.append((deadline_s, change))

    def _queue_retry(self, change: RecordOutcome) -> None:
        with self.lock:
            self.unrecorded.append((time.monotonic() + RECORD_RETRY_WINDOW_S, change))

    def retry_unrecorded(self) -> None:
        """Retry the final states that failed to store, each until its deadline."""
        with self.lock:
            pending, self.unrecorded = self.unrecorded, []
        for deadline_s, change in pending:
            self.record_pool.submit(self._record, deadline_s, change)

    def apply_change(
        self, change: ClaimChange
    ) -> Result[ClaimEntry | None, PlatformError]:
        """Apply a change through the shard's owner, or locally without an answer."""
        shard = self.shard_of(change.digest)
        owner = self.members.owner(shard.name.encode())
        if owner.name != self.members.local_member.name:
            try:
                request = change_message(change)
                answer = self.peers.client.request(
                    owner.peer_address, request, OWNER_TIMEOUT_S
                )
                return read_result(answer)
            except PeerError:
                self.metrics.count("claims_without_owner_total")
        return self.apply_locally(change)

    def apply_locally(
        self, change: ClaimChange
    ) -> Result[ClaimEntry | None, PlatformError]:
        """Apply a change in this host's next write of the shard; wait for it."""
        change.future = Future()
        self.shard_of(change.digest).enqueue(change, self.flush_pool)
        return change.future.result()

    def handle_change(self, channel: Channel, message):
        """Handle a change request from another host."""
        return result_message(self.apply_locally(read_change(message.changeClaim)))
