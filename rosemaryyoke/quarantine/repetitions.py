"""Find requests that crash the engines that run them each time that they are sent."""

from typing import AbstractSet, Collection

from attrs import define, field

from rosemaryyoke.quarantine.evidence import (
    Crash,
    CrashEvidence,
    EndedPrompt,
    Keys,
)
from rosemaryyoke.quarantine.outcomes import NO_FINGERPRINT
from rosemaryyoke.quarantine.suspicion import (
    MIN_UPSTREAMS,
    SETTLE_S,
    Explanation,
    explaining_bans,
)

MIN_CRASHES = 3
MIN_CRASHES_AFTER_SUCCESS = 4
# Sufficient for a single upstream, if it answers other requests between the crashes.
MIN_CRASHES_OF_ONE_UPSTREAM = 5
MIN_ANSWERS_BETWEEN = 3
SUSPECT_CRASHES = 2
SUSPECT_SHARE = 0.5  # of the crashes since its first one


@define(eq=False)
class Repetitions:
    """The crashes that ended one request, under whichever identifiers it was sent.

    ``succeeded`` says that it was answered before the first of them, ``times_s`` are
    the times of the crashes. ``is_repeated`` says that it was sent again after a crash
    had ended it: a power failure ends many attempts of a popular request at once.
    """

    fingerprint: int
    succeeded: bool = False
    crashes: list[Crash] = field(factory=list)
    times_s: list[float] = field(factory=list)
    requests: set[int] = field(factory=set)
    is_repeated: bool = False

    def add(self, crash: Crash, request: int, prompt: EndedPrompt) -> None:
        """Add a crash; crashes are added by time.

        An attempt that was sent shortly before a crash may be in evidence as one more
        crash of the same engine, which does not count.
        """
        if crash not in self.crashes:
            if not self._was_under_way(crash.upstream, prompt):
                self.times_s.append(crash.at_s)
            self.crashes.append(crash)
        if request in self.requests or prompt.was_sent_after(self.crashes[0].at_s):
            self.is_repeated = True
        self.requests.add(request)

    def _was_under_way(self, upstream: int, prompt: EndedPrompt) -> bool:
        """Return whether an attempt was sent before a known crash of its engine."""
        return any(
            known.upstream == upstream and not prompt.was_sent_after(known.at_s)
            for known in self.crashes
        )

    @property
    def upstreams(self) -> int:
        """Return the number of upstreams that crashed."""
        return len({crash.upstream for crash in self.crashes})

    @property
    def wanted_crashes(self) -> int:
        """Return how many crashes suffice."""
        if self.upstreams < MIN_UPSTREAMS:
            return MIN_CRASHES_OF_ONE_UPSTREAM
        return MIN_CRASHES_AFTER_SUCCESS if self.succeeded else MIN_CRASHES

    @property
    def is_strong(self) -> bool:
        """Return whether the evidence is enough unless it is refuted."""
        if not self.is_repeated or len(self.times_s) < self.wanted_crashes:
            return False
        if self.upstreams >= MIN_UPSTREAMS:
            return True
        answers = sum(crash.follows_answer for crash in self.crashes)
        return not self.succeeded and answers >= MIN_ANSWERS_BETWEEN

    @property
    def settles_s(self) -> float:
        """Return when answers would have refuted the first crashes that suffice."""
        return self.times_s[self.wanted_crashes - 1] + SETTLE_S


def collect_repetitions(
    evidence: CrashEvidence, banned: Collection[Keys], suspects: AbstractSet[int]
) -> list[Repetitions]:
    """Return what speaks against each request, except crashes that bans explain.

    A request that was answered before may be one that everyone sends, and that is at
    all engines whenever one crashes: ``suspects``, which never succeeded, may rather be
    the cause.
    """
    found: dict[int, Repetitions] = {}
    for crash in evidence.crashes:
        if explaining_bans(crash, banned):
            continue
        for request, prompt in crash.prompts.items():
            key = prompt.fingerprint
            succeeded_s = evidence.succeeded_s(key)
            is_refuted = succeeded_s is not None and crash.at_s <= succeeded_s
            if key == NO_FINGERPRINT or is_refuted:
                continue
            if succeeded_s is not None and crash.keys & suspects - {key}:
                continue
            if key not in found:
                found[key] = Repetitions(key, succeeded_s is not None)
            found[key].add(crash, request, prompt)
    return list(found.values())


def find_crashing_requests(
    evidence: CrashEvidence,
    banned: Collection[Keys],
    suspects: AbstractSet[int],
    now_s: float,
) -> list[Explanation]:
    """Return the requests that explain crashes, each by its fingerprint.

    If two requests were at the same engines, the one with more crashes is the cause.
    Of equal ones all are returned: an answer ends the ban of a sound one.
    """
    repetitions = collect_repetitions(evidence, banned, suspects)
    strong = [item for item in repetitions if item.is_strong]
    return [
        Explanation(frozenset((item.fingerprint,)), len(item.times_s))
        for item in strong
        if now_s >= item.settles_s
        and not any(is_stronger(rival, item) for rival in strong)
    ]


def is_stronger(rival: Repetitions, item: Repetitions) -> bool:
    """Return whether another request may be the cause of the same crashes instead."""
    if rival is item or not set(rival.crashes) & set(item.crashes):
        return False
    return len(rival.times_s) > len(item.times_s)


def find_suspects(
    evidence: CrashEvidence, repetitions: Collection[Repetitions]
) -> set[int]:
    """Return the requests that are not sent to one more engine after a crash.

    While others crash engines as well, a request may be beside two crashes by chance.
    """
    return {
        item.fingerprint
        for item in repetitions
        if not item.succeeded
        and len(item.times_s) >= SUSPECT_CRASHES
        and item.upstreams >= MIN_UPSTREAMS
        and len(item.times_s) >= SUSPECT_SHARE * crashes_since_first(evidence, item)
    }


def crashes_since_first(evidence: CrashEvidence, item: Repetitions) -> int:
    """Return the number of crashes since the first one that ended a request."""
    first_s = item.crashes[0].at_s
    return sum(crash.at_s >= first_s for crash in evidence.crashes)


def find_held(repetitions: Collection[Repetitions]) -> dict[int, float]:
    """Return until when requests are held back, as answers may still refute them."""
    return {
        item.fingerprint: item.settles_s
        for item in repetitions
        if item.is_strong and not item.succeeded
    }
