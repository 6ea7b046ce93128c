"""Claim idempotency keys in the platform, grouped into few writes.

A host writes all changes that wait for a shard in one conditional update (group
commit), so that the writes for each claim fall as load rises.
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
    Change,
    Claim,
    ClaimKey,
    Entry,
    Outcome,
    Settle,
)
from rosemaryyoke.calls.claim_shards import Shard
from rosemaryyoke.core import Kernel, make_pool
from rosemaryyoke.objects import ObjectApi, PlatformError
from rosemaryyoke.peers import Channel, PeerError

SHARDS = 8
MAX_OUTCOME_BYTES = 16 * 1024
OWNER_TIMEOUT_S = 2.5
REPAIR_S = 60.0
SETTLE_RETRY_S = 1.0
SETTLE_WORKERS = 16
FLUSH_WORKERS = SHARDS


class Claims:
    """Claim keys and settle claims, grouped by shard.

    The shard's owner, a host that all hosts derive from the live ones, gathers the
    changes of every host into its writes. Where it does not answer, a host writes by
    itself; the conditional update keeps the claims unique in either case.
    """

    def __init__(self, kernel: Kernel, api: ObjectApi):
        self.kernel = kernel
        self.api = api
        self.flushers = make_pool("claims", FLUSH_WORKERS)
        self.settlers = make_pool("settle", SETTLE_WORKERS)
        self.shards = [Shard(f"claims/{number}", api) for number in range(SHARDS)]
        self.unsettled: list[tuple[float, Settle]] = []
        self.lock = threading.Lock()

    def start(self) -> None:
        """Take changes of other hosts, and settle later what could not be at once."""
        self.members = self.kernel.get("members")
        self.peers = self.kernel.get("peers")
        self.metrics = self.kernel.get("metrics")
        self.peers.server.handlers.register("changeClaim")(self.take_change)
        self.kernel.get("timer").every(SETTLE_RETRY_S, self.retry_unsettled)

    def stop(self) -> None:
        """Wait for the writes that are under way."""
        self.settlers.shutdown(wait=True)
        self.flushers.shutdown(wait=True)

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
        outcome = self.change(change)
        if isinstance(outcome, Err):
            self._settle_later(Settle(change.digest, token, state=RELEASED))
            return outcome
        return Ok((token, outcome.ok_value))

    def settle(self, key: ClaimKey, token: str, state: str, outcome: Outcome) -> None:
        """Record in the background what became of a claim."""
        if len(outcome.body) > MAX_OUTCOME_BYTES:
            state, outcome = UNKNOWN, Outcome(0, "", b"")
        change = Settle(key.digest(), token, state=state, outcome=outcome)
        self.settlers.submit(self._settle, time.monotonic() + REPAIR_S, change)

    def _settle(self, until_s: float, change: Settle) -> None:
        if isinstance(self.change(change), Err) and time.monotonic() < until_s:
            with self.lock:
                self.unsettled.append((until_s, change))

    def _settle_later(self, change: Settle) -> None:
        with self.lock:
            self.unsettled.append((time.monotonic() + REPAIR_S, change))

    def retry_unsettled(self) -> None:
        """Record again what could not be recorded, until its deadline."""
        with self.lock:
            pending, self.unsettled = self.unsettled, []
        for until_s, change in pending:
            self.settlers.submit(self._settle, until_s, change)

    def change(self, change: Change) -> Result[Entry | None, PlatformError]:
        """Make a change through the shard's owner, or by this host itself."""
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
        return self.change_here(change)

    def change_here(self, change: Change) -> Result[Entry | None, PlatformError]:
        """Make a change in this host's next write of the shard."""
        change.future = Future()
        self.shard_of(change.digest).enqueue(change, self.flushers)
        return change.future.result()

    def take_change(self, channel: Channel, message):
        """Make a change that another host asks for."""
        return result_message(self.change_here(read_change(message.changeClaim)))
