"""The state of one upstream as a host sees it."""

import math
from typing import Collection

from attrs import define, field

from rosemaryyoke.catalog import EngineTraits, Upstream
from rosemaryyoke.core.logs import event
from rosemaryyoke.fleet.cache_estimate import CacheEstimate

PREFILL_TOKENS_PER_S = 60_000.0  # the least prefill rate of the sheets' engines
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 4.0
MAX_BACKOFF_DOUBLINGS = 4
REMOTE_LOAD_TTL_S = 1.5  # three beacons of a host that is silent
MEAN_LOAD_TIME_CONSTANT_S = 0.5  # half a beacon's period in a large fleet
PROBE_SHARE = 0.1  # of the requests that may try an upstream which was silent
SILENCE_REPORT_TTL_S = 2.5  # several beacons of a host that tells of it may be lost
SILENCE_QUORUM = 2  # one may be cut off itself
ACTIVITY_TTL_S = 1.5  # answers to other hosts are told within a second
ERROR_SMOOTHING = 0.08  # of one answer in the share of failed answers
CACHE_MEMORY_SHARE = (
    0.85  # of an engine's memory that running requests leave to its cache
)


@define(eq=False)
class ActiveRequest:
    """A request under way at an upstream; sizes in tokens."""

    tokens: int
    prefill_tokens: int
    started_s: float


@define
class RemoteLoad:
    """What another host had under way at an upstream, on average."""

    running: float
    prefill_tokens: float
    tokens: float
    received_s: float


@define(eq=False)
class MeanLoad:
    """What is under way at an upstream, averaged with weights that fade with age.

    A beacon tells of a second in which several requests came and went. A sample of the
    last moment would be nothing or one whole prompt.
    """

    running: float = 0.0
    prefill_tokens: float = 0.0
    tokens: float = 0.0
    updated_s: float = 0.0

    def update(self, requests: Collection[ActiveRequest], now_s: float) -> None:
        """Take in that ``work`` was under way since the last call."""
        decay = math.exp(-max(0.0, now_s - self.updated_s) / MEAN_LOAD_TIME_CONSTANT_S)
        gain = 1.0 - decay
        self.updated_s = now_s
        prefill_tokens = sum(item.prefill_tokens for item in requests)
        tokens = sum(item.tokens for item in requests)
        self.running = decay * self.running + gain * len(requests)
        self.prefill_tokens = decay * self.prefill_tokens + gain * prefill_tokens
        self.tokens = decay * self.tokens + gain * tokens


@define(eq=False)
class UpstreamState:
    """An upstream, what is under way there, and how it answered lately."""

    upstream: Upstream
    traits: EngineTraits | None = None
    under_way: set[ActiveRequest] = field(factory=set)
    remote: dict[str, RemoteLoad] = field(factory=dict)
    failures: int = 0
    silent: bool = False
    suspect_until_s: float = 0.0
    error_share: float = 0.0
    answers: int = 0
    loading_until_s: float = 0.0
    loading_reported_by: str = ""
    weights: dict[str, int] = field(factory=dict)
    weights_seen_s: float = 0.0
    last_byte_s: float = 0.0
    prefill_reported_s: float = 0.0
    silence_reported_s: dict[str, float] = field(factory=dict)
    mean_load: MeanLoad = field(factory=MeanLoad)
    cache_estimate: CacheEstimate = field(init=False)

    def __attrs_post_init__(self) -> None:
        capacity = self.traits.cache_tokens if self.traits else 0
        self.cache_estimate = CacheEstimate(int(capacity * CACHE_MEMORY_SHARE))
        self.weights = dict(self.upstream.weights)

    def usable(self, now_s: float) -> bool:
        """Tell whether new work may go to the upstream.

        Where it was silent, one request at a time tries it until it answers.
        """
        return (
            not self.upstream.draining
            and now_s >= self.suspect_until_s
            and not (self.considered_silent(now_s) and self.under_way)
        )

    def considered_silent(self, now_s: float) -> bool:
        """Tell whether the upstream is silent to this host, or to several others.

        What others tell does not count where there was a sign of its work lately.
        """
        if self.silent:
            return True
        oldest_s = now_s - SILENCE_REPORT_TTL_S
        reporters = sum(
            reported_s >= oldest_s for reported_s in self.silence_reported_s.values()
        )
        return (
            reporters >= SILENCE_QUORUM
            and now_s - self.last_activity_s() > ACTIVITY_TTL_S
        )

    def loading(self, now_s: float) -> bool:
        """Tell whether an order to load weights is believed to be under way."""
        return now_s < self.loading_until_s

    def begin(self, active: ActiveRequest) -> None:
        """Note that a request is sent."""
        self.mean_load.update(self.under_way, active.started_s)
        self.under_way.add(active)

    def prefilled(self, active: ActiveRequest, now_s: float) -> None:
        """Note that a request's prompt is read."""
        self.mean_load.update(self.under_way, now_s)
        active.prefill_tokens = 0

    def end(self, active: ActiveRequest, now_s: float) -> None:
        """Note that a request is no longer under way."""
        self.mean_load.update(self.under_way, now_s)
        self.under_way.discard(active)

    def running(self, now_s: float) -> float:
        """Return how many requests all hosts have under way."""
        remote = sum(load.running for load in self.recent_remote_loads(now_s))
        return len(self.under_way) + remote

    def waiting_prefill(self, now_s: float) -> float:
        """Return the prompt tokens that are still to be read for all hosts."""
        own = sum(active.prefill_tokens for active in self.under_way)
        return own + sum(
            load.prefill_tokens for load in self.recent_remote_loads(now_s)
        )

    def used_tokens(self, now_s: float) -> float:
        """Return the memory that running requests of all hosts take."""
        own = sum(active.tokens for active in self.under_way)
        return own + sum(load.tokens for load in self.recent_remote_loads(now_s))

    def recent_remote_loads(self, now_s: float) -> list[RemoteLoad]:
        """Return the loads that were heard lately."""
        oldest_s = now_s - REMOTE_LOAD_TTL_S
        return [load for load in self.remote.values() if load.received_s >= oldest_s]

    def record_failure(self, now_s: float, silent: bool = True) -> None:
        """Leave the upstream out for a while, longer with each failure in a row.

        ``silent`` tells that not even a refusal came.
        """
        if silent and not self.silent:
            self.log_health_change("upstream silent")
        elif not silent and not self.failures:
            self.log_health_change("upstream suspect")
        self.silent = silent
        if silent:
            self.update_error_share(False)
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**doublings)
        self.failures += 1
        self.suspect_until_s = now_s + backoff_s

    def last_activity_s(self) -> float:
        """Return when this host last saw or heard that the upstream answers."""
        return max(self.last_byte_s, self.prefill_reported_s)

    def mark_slow(self, now_s: float) -> None:
        """Leave the upstream out shortly; it answered others meanwhile."""
        self.suspect_until_s = max(self.suspect_until_s, now_s + INITIAL_BACKOFF_S)

    def mark_responding(self) -> None:
        """Take in the first event of an answer: the upstream works."""
        self.mark_recovered()

    def record_answer(self, success: bool, now_s: float) -> None:
        """Take in an answer to a request, whatever its status."""
        self.last_byte_s = now_s
        if success or self.silent:
            self.mark_recovered(success)
        self.update_error_share(success)

    def mark_recovered(self, success: bool = True) -> None:
        """Take in that the upstream answers; ``well`` forgets the failures before."""
        if self.silent or self.failures:
            self.log_health_change("upstream answers again")
        self.silent = False
        if success:
            self.failures = 0

    def log_health_change(self, message: str) -> None:
        """Log a change of belief, with what it follows from."""
        event(
            message,
            upstream=self.upstream.name,
            failures=self.failures,
            error_share=round(self.error_share, 3),
            under_way=len(self.under_way),
        )

    def update_error_share(self, success: bool) -> None:
        """Take an outcome into the share of failed ones."""
        self.answers += 1
        self.error_share += ERROR_SMOOTHING * (float(not success) - self.error_share)

    def update_weights(self, model: str, version: int, now_s: float) -> None:
        """Take in the version that an answer or a report named."""
        if self.weights.get(model) != version:
            self.weights[model] = version
            self.cache_estimate.clear()
            self.loading_until_s = 0.0
        self.weights_seen_s = now_s
