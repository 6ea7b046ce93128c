"""Crashes of engines, and the prompts that each of them was working on."""

from collections import OrderedDict, deque
from typing import AbstractSet

from attrs import define, field, frozen

from rosemaryyoke.quarantine.outcomes import (
    NO_FINGERPRINT,
    UNKNOWN_REQUEST,
    PromptOutcome,
)
from rosemaryyoke.quarantine.survivals import Survivals, outlives

CRASH_TTL_S = 600.0
MAX_CRASHES = 256
MAX_PROMPTS_PER_CRASH = 32
# Hosts notice one crash at different times; an engine needs longer to start again.
SAME_CRASH_S = 1.0
# Reports of other hosts seem younger than they are, by the time on their way.
REPORT_SKEW_S = 0.02
MAX_SUCCESSES = 2_048  # parts
MAX_REQUEST_SUCCESSES = 2_048  # fingerprints
MAX_RECENT = 64  # prompts

Keys = AbstractSet[int]


@frozen
class EndedPrompt:
    """A prompt that a crash ended: its keys, its fingerprint among them.

    It was sent at ``sent_s`` or up to ``skew_s`` before.
    """

    keys: Keys
    fingerprint: int
    sent_s: float
    skew_s: float = 0.0

    def was_sent_after(self, at_s: float) -> bool:
        """Return whether it was certainly sent after a time."""
        return self.sent_s - self.skew_s > at_s


@define(eq=False)
class Crash:
    """One crash of an engine, with the prompts that it ended, by request.

    ``last_sent_s`` is when the last of these prompts was sent, ``keys`` holds all of
    their keys. ``follows_answer`` says that the engine had answered what this host sent
    after its crash before.
    """

    upstream: int
    at_s: float
    last_sent_s: float
    follows_answer: bool = False
    prompts: dict[int, EndedPrompt] = field(factory=dict)
    keys: set[int] = field(factory=set)

    def add(self, request: int, prompt: EndedPrompt) -> None:
        """Add a prompt that the crash ended."""
        self.prompts[request] = prompt
        self.keys |= prompt.keys
        self.last_sent_s = max(self.last_sent_s, prompt.sent_s)

    def may_have_ended(self, outcome: PromptOutcome) -> bool:
        """Return whether an attempt may have been ended by this crash.

        Attempts that one crash ended were under way at the same time. An engine that
        was sent a prompt after it had crashed has started again.
        """
        first_s = min(self.at_s, outcome.ended_s)
        last_sent_s = max(self.last_sent_s, outcome.sent_s)
        return (
            self.upstream == outcome.upstream
            and abs(self.at_s - outcome.ended_s) <= SAME_CRASH_S
            and last_sent_s <= first_s - REPORT_SKEW_S
        )


@define(eq=False)
class CrashEvidence:
    """Known crashes, oldest first, and when each part last succeeded.

    A success refutes the part's involvement in all crashes before the attempt that
    succeeded was sent. ``request_successes`` are those of whole requests, by
    fingerprint: many of them must not displace parts. ``recent`` holds the prompts that
    succeeded last, and when each was sent.
    """

    crashes: list[Crash] = field(factory=list)
    crashes_by_key: dict[int, list[Crash]] = field(factory=dict)
    successes: OrderedDict[int, float] = field(factory=OrderedDict)
    request_successes: OrderedDict[int, float] = field(factory=OrderedDict)
    survivals: Survivals = field(factory=Survivals)
    recent: deque[tuple[float, Keys]] = field(factory=lambda: deque(maxlen=MAX_RECENT))

    def add_crash(self, outcome: PromptOutcome, skew_s: float = 0.0) -> bool:
        """Add a prompt that a crash ended; return whether it was not known yet.

        ``skew_s`` is by how much a report seems younger than it is.
        """
        if self.survivals.find(outcome.upstream, outcome.ended_s) is not None:
            return False
        crash = self._find(outcome)
        if crash is None:
            crash = Crash(
                outcome.upstream,
                outcome.ended_s,
                outcome.sent_s,
                self._has_answered_since_crash(outcome.upstream),
            )
            self._replace([*self.crashes, crash][-MAX_CRASHES:])
        known = outcome.request in crash.prompts
        if known or len(crash.prompts) >= MAX_PROMPTS_PER_CRASH:
            return False
        prompt = EndedPrompt(
            frozenset(outcome.all_keys), outcome.fingerprint, outcome.sent_s, skew_s
        )
        crash.add(outcome.request, prompt)
        for key in outcome.all_keys:
            involving = self.crashes_by_key.setdefault(key, [])
            if crash not in involving:
                involving.append(crash)
        return True

    def _has_answered_since_crash(self, upstream: int) -> bool:
        """Return whether an engine answers again after its last known crash."""
        times_s = [item.at_s for item in self.crashes if item.upstream == upstream]
        spans = self.survivals.spans.get(upstream, ())
        return bool(times_s) and any(sent_s > max(times_s) for sent_s, _ in spans)

    def _replace(self, crashes: list[Crash]) -> None:
        self.crashes = sorted(crashes, key=lambda item: item.at_s)
        self.crashes_by_key = {}
        for crash in self.crashes:
            for key in crash.keys:
                self.crashes_by_key.setdefault(key, []).append(crash)

    def _find(self, outcome: PromptOutcome) -> Crash | None:
        """Return the crash that ended an attempt, as this or another request shows."""
        for crash in self.crashes:
            if crash.upstream == outcome.upstream and outcome.request in crash.prompts:
                return crash
        return next(
            (crash for crash in self.crashes if crash.may_have_ended(outcome)), None
        )

    def add_success(self, outcome: PromptOutcome) -> None:
        """Record that an attempt on a prompt succeeded."""
        keys, sent_s = frozenset(outcome.keys), outcome.sent_s
        self.survivals.add(outcome)
        if self.outlived_crashes(outcome):
            self._replace(
                [item for item in self.crashes if not is_outlived(item, outcome)]
            )
        if keys and outcome.request != UNKNOWN_REQUEST:
            self.recent.append((sent_s, keys))
        for key in keys:
            keep_latest(self.successes, key, sent_s, MAX_SUCCESSES)
        if outcome.fingerprint != NO_FINGERPRINT:
            keep_latest(
                self.request_successes,
                outcome.fingerprint,
                sent_s,
                MAX_REQUEST_SUCCESSES,
            )

    def outlived_crashes(self, success: PromptOutcome) -> list[Crash]:
        """Return the alleged crashes that a success shows to be none."""
        return [crash for crash in self.crashes if is_outlived(crash, success)]

    def succeeded_s(self, key: int) -> float | None:
        """Return when a part or a request was last sent that succeeded, if known."""
        return self.successes.get(key, self.request_successes.get(key))

    def has_succeeded(self, key: int) -> bool:
        """Return whether a success of a part or of a request is remembered."""
        return self.succeeded_s(key) is not None

    def others_succeed(self, key: int, since_s: float) -> bool:
        """Return whether prompts without a part were sent since and succeeded."""
        return any(
            sent_s > since_s and key not in prompt for sent_s, prompt in self.recent
        )

    def crashes_since(self, key: int, since_s: float) -> int:
        """Return the number of crashes after a time that ended prompts with a part."""
        return sum(crash.at_s > since_s for crash in self.crashes_by_key.get(key, ()))

    def expire(self, now_s: float) -> None:
        """Forget old crashes."""
        if self.crashes and now_s - self.crashes[0].at_s > CRASH_TTL_S:
            self._replace(
                [item for item in self.crashes if now_s - item.at_s <= CRASH_TTL_S]
            )


def keep_latest(
    times_s: OrderedDict[int, float], key: int, at_s: float, capacity: int
) -> None:
    """Keep the latest time of a key; the keys updated least recently are dropped."""
    times_s[key] = max(at_s, times_s.pop(key, at_s))
    while len(times_s) > capacity:
        times_s.popitem(last=False)


def is_outlived(crash: Crash, success: PromptOutcome) -> bool:
    """Return whether an attempt at the same engine outlived an alleged crash."""
    span = success.sent_s, success.ended_s
    return crash.upstream == success.upstream and outlives(span, crash.at_s)
