"""A host's view of one upstream: its load, health and weights."""

import math
from typing import Collection

from attrs import define, field

from rosemaryyoke.catalog import EngineTraits, Upstream
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.fleet.cache_estimate import CacheEstimate
from rosemaryyoke.fleet.notices import Notices
from rosemaryyoke.fleet.room import Room

# The lowest prefill rate of the engines in the data sheets.
PREFILL_TOKENS_PER_S = 60_000.0
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 4.0
MAX_BACKOFF_DOUBLINGS = 4
REMOTE_LOAD_TTL_S = 1.5  # a silent host has then missed three beacons
MEAN_LOAD_TIME_CONSTANT_S = 0.5  # half the beacon period of a large fleet
PROBE_SHARE = 0.1  # of requests may probe silent upstreams
SILENCE_REPORT_TTL_S = 2.5  # covers the loss of several beacons of the reporting host
SILENCE_QUORUM = 2  # a single reporting host may itself be partitioned
ACTIVITY_TTL_S = 1.5  # other hosts report answers within a second
ERROR_SMOOTHING = 0.08  # weight of one answer in the moving average of failures
# The share of an engine's memory that running requests leave to its prefix cache.
CACHE_MEMORY_SHARE = 0.85


@define(eq=False)
class ActiveRequest:
    """A request that runs at an upstream; sizes are in tokens.

    Requests compare by identity.
    """

    tokens: int
    prefill_tokens: int
    started_s: float


@define
class RemoteLoad:
    """The mean load that another host reported for an upstream."""

    running: float
    prefill_tokens: float
    tokens: float
    received_s: float
    valid_s: float = REMOTE_LOAD_TTL_S


@define(eq=False)
class MeanLoad:
    """Exponentially weighted moving averages of this host's load on an upstream.

    A beacon covers up to a second, in which several requests may start and end. An
    instantaneous sample would often be either zero or one whole prompt.
    """

    running: float = 0.0
    prefill_tokens: float = 0.0
    tokens: float = 0.0
    updated_s: float = 0.0

    def update(self, requests: Collection[ActiveRequest], now_s: float) -> None:
        """Update the averages: ``requests`` have run since the last call."""
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
    """An upstream, the load on it and its recent health.

    ``last_byte_s`` is when this host last received an answer, ``prefill_reported_s``
    when another host last reported a prefill. ``silence_reported_s`` maps hosts that
    report silence to the times of their reports.
    """

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
    notices: Notices = field(factory=Notices)
    room: Room = field(factory=Room)
    cache_estimate: CacheEstimate = field(init=False)

    def __attrs_post_init__(self) -> None:
        capacity = self.traits.cache_tokens if self.traits else 0
        self.cache_estimate = CacheEstimate(int(capacity * CACHE_MEMORY_SHARE))
        self.weights = dict(self.upstream.weights)

    @property
    def draining(self) -> bool:
        """Return whether the upstream leaves, as it registered or announced."""
        return self.upstream.draining or self.notices.leaving

    def accepts_requests(self, now_s: float) -> bool:
        """Return whether new requests of callers may be sent to the upstream."""
        return (
            self.usable(now_s)
            and not self.notices.wait_s(now_s)
            and self.has_place(now_s)
        )

    def has_place(self, now_s: float) -> bool:
        """Return whether the upstream has room for one more request of this host."""
        return self.room.has_place(len(self.under_way), now_s)

    def is_brittle(self, now_s: float) -> bool:
        """Return whether the upstream falls over when it refuses requests."""
        return self.room.is_brittle(now_s)

    def usable(self, now_s: float) -> bool:
        """Return whether the upstream works and does not leave.

        A silent upstream is probed by one request at a time until it answers.
        """
        return (
            not self.draining
            and now_s >= self.suspect_until_s
            and not (self.considered_silent(now_s) and self.under_way)
        )

    def considered_silent(self, now_s: float) -> bool:
        """Return whether this host or a quorum of others finds the upstream silent.

        Reports of other hosts are ignored while the upstream has shown recent activity.
        """
        if self.silent or not self.silence_reported_s:
            return self.silent
        oldest_s = now_s - SILENCE_REPORT_TTL_S
        reporters = sum(
            reported_s >= oldest_s for reported_s in self.silence_reported_s.values()
        )
        return (
            reporters >= SILENCE_QUORUM
            and now_s - self.last_activity_s() > ACTIVITY_TTL_S
        )

    def loading(self, now_s: float) -> bool:
        """Return whether the upstream is expected to be loading weights."""
        return now_s < self.loading_until_s

    def begin(self, active: ActiveRequest) -> None:
        """Record that a request is sent."""
        self.mean_load.update(self.under_way, active.started_s)
        self.under_way.add(active)
        self.room.begin()

    def prefilled(self, active: ActiveRequest, now_s: float) -> None:
        """Record that a request's prompt is prefilled."""
        self.mean_load.update(self.under_way, now_s)
        active.prefill_tokens = 0

    def end(self, active: ActiveRequest, now_s: float) -> None:
        """Record that a request has ended."""
        self.mean_load.update(self.under_way, now_s)
        self.under_way.discard(active)

    def running(self, now_s: float) -> float:
        """Return the number of running requests of all hosts."""
        remote = sum(load.running for load in self.recent_remote_loads(now_s))
        return len(self.under_way) + remote

    def waiting_prefill(self, now_s: float) -> float:
        """Return the prompt tokens of all hosts that are not prefilled yet."""
        own = sum(active.prefill_tokens for active in self.under_way)
        return own + sum(
            load.prefill_tokens for load in self.recent_remote_loads(now_s)
        )

    def used_tokens(self, now_s: float) -> float:
        """Return the memory used by the running requests of all hosts, in tokens."""
        own = sum(active.tokens for active in self.under_way)
        return own + sum(load.tokens for load in self.recent_remote_loads(now_s))

    def recent_remote_loads(self, now_s: float) -> list[RemoteLoad]:
        """Return the remote loads that have not expired."""
        return [
            load
            for load in self.remote.values()
            if now_s - load.received_s <= load.valid_s
        ]

    def record_failure(self, now_s: float, silent: bool = True) -> None:
        """Suspect the upstream, with an exponential backoff for consecutive failures.

        ``silent`` means that it did not even refuse the request.
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
        """Return when the upstream last answered this host or, as reported, others."""
        return max(self.last_byte_s, self.prefill_reported_s)

    def mark_slow(self, now_s: float) -> None:
        """Suspect the upstream briefly; it has answered other requests meanwhile."""
        self.suspect_until_s = max(self.suspect_until_s, now_s + INITIAL_BACKOFF_S)

    def mark_responding(self) -> None:
        """Record the first event of an answer, which shows that the upstream works."""
        self.mark_recovered()

    def record_answer(self, success: bool, now_s: float) -> None:
        """Record an answer to a request, whatever its status."""
        self.last_byte_s = now_s
        if success or self.silent:
            self.mark_recovered(success)
        self.update_error_share(success)

    def mark_recovered(self, success: bool = True) -> None:
        """Record that the upstream answers; ``success`` resets the failure count."""
        if self.silent or self.failures:
            self.log_health_change("upstream answers again")
        self.silent = False
        if success:
            self.failures = 0

    def log_health_change(self, message: str) -> None:
        """Log a change of the upstream's health with its inputs."""
        log_event(
            message,
            upstream=self.upstream.name,
            failures=self.failures,
            error_share=round(self.error_share, 3),
            under_way=len(self.under_way),
        )

    def update_error_share(self, success: bool) -> None:
        """Add an outcome to the moving average of failures."""
        self.answers += 1
        self.error_share += ERROR_SMOOTHING * (float(not success) - self.error_share)

    def update_weights(
        self, model: str, version: int, now_s: float, source: str = ""
    ) -> None:
        """Update a model's version; a new version empties the cache estimate.

        ``source`` is what told this host of the version, for the log.
        """
        known = self.weights.get(model)
        if known != version:
            log_event(
                "upstream weights changed",
                upstream=self.upstream.name,
                model=model,
                old=known,
                new=version,
                source=source,
            )
            self.weights[model] = version
            self.cache_estimate.clear()
            self.loading_until_s = 0.0
        self.weights_seen_s = now_s
