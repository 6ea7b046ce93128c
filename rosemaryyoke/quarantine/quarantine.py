"""A host's quarantine: evidence in, bans out, and what to tell the other hosts."""

import math
import random
import threading
import time
from collections import OrderedDict
from typing import Callable, Iterable, Sequence

from attrs import define, field, frozen

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.quarantine.bans import RENEWAL_AGE_S, Ban
from rosemaryyoke.quarantine.evidence import REPORT_SKEW_S, CrashEvidence
from rosemaryyoke.quarantine.outbox import Outbox
from rosemaryyoke.quarantine.outcomes import (
    NO_FINGERPRINT,
    UNKNOWN_REQUEST,
    PromptOutcome,
)
from rosemaryyoke.quarantine.repetitions import (
    collect_repetitions,
    find_crashing_requests,
    find_held,
    find_suspects,
)
from rosemaryyoke.quarantine.survivals import ENDED_AFTER_S
from rosemaryyoke.quarantine.suspicion import (
    Explanation,
    collect_involvements,
    find_explanation,
)

SUSPECT_CRASHES = 2
# A host that has just started hears of crashes, but not of answers before its start.
START_WAIT_S = 2.5
# After a late review, as of a suspended process, queued messages are handled first.
LATE_REVIEW_S = 0.5
CATCH_UP_S = 0.3
TRIAL_TIMEOUT_S = 1.0
RECENT_CRASH_S = 2.0  # longer than the time for answers to refute a suspicion
EXPLAIN_PERIOD_S = 2.0
MAX_BANS = 64
FORGET_S = 3_600.0  # after the time from which a request may try the parts
MAX_ENDED_BANS = 256
MAX_REPORTED_BANS = 8  # per datagram
# All hosts may see a suspected part succeed; the first ones to tell speak for all.
SPREAD_S_PER_HOST = 0.004
MAX_SPREAD_S = 0.5
MAX_PENDING = 64
MAX_DISPROVED = 1_024  # upstreams


@frozen
class Refusal:
    """Why a request is kept from engines, and for how long."""

    keys: frozenset[int]
    left_s: float


@frozen
class PendingSuccess:
    """A success to announce at a time, unless another host is faster.

    ``ends_ban`` says that hosts which have not heard of it may keep a ban.
    ``announced`` is the state of ``Quarantine.announced`` for its keys before.
    """

    due_s: float
    outcome: PromptOutcome
    ends_ban: bool = False
    announced: tuple[float, ...] = ()


@define(eq=False)
class Quarantine:
    """Bans the parts of prompts that crash engines, and whole requests that do.

    ``suspects`` are the parts and requests that occur in several crashes and never
    succeeded; ``held`` are the requests that are kept from engines until the time by
    which an answer would have refuted the suspicion. Of repetitions of a suspect this
    host sends one at a time: ``trials`` is until when at most it waits for the outcome.
    ``announced`` is when the last success that all hosts know of was sent, by part;
    ``disproved_s`` is the time until which all hosts know that an engine has not
    crashed. ``pending`` and ``pending_survivals`` hold what to announce, and when.
    ``judges_from_s`` is when a verdict may be reached; ``reviewed_s`` is when crashes
    were last looked at. ``on_news`` is called when there is something to tell the other
    hosts at once. A host that ``relays`` passes on what is new to it, where not all
    hosts hear each other.
    """

    now_s: Callable[[], float] = time.monotonic
    hosts: int = 1
    relays: bool = False
    evidence: CrashEvidence = field(factory=CrashEvidence)
    bans: dict[frozenset[int], Ban] = field(factory=dict)
    ended: OrderedDict[frozenset[int], float] = field(factory=OrderedDict)
    suspects: set[int] = field(factory=set)
    held: dict[int, float] = field(factory=dict)
    trials: dict[int, float] = field(factory=dict)
    announced: OrderedDict[int, float] = field(factory=OrderedDict)
    disproved_s: OrderedDict[int, float] = field(factory=OrderedDict)
    pending_survivals: dict[int, tuple[float, float]] = field(factory=dict)
    pending: dict[tuple[int, ...], PendingSuccess] = field(factory=dict)
    outbox: Outbox = field(factory=Outbox)
    started_s: float = field(init=False)
    reviewed_s: float = field(init=False)
    judges_from_s: float = field(init=False)
    last_crash_s: float = -math.inf
    explain_due_s: float = -math.inf
    own_reports: int = 0
    received_reports: int = 0
    on_news: Callable[[], None] = lambda: None
    lock: threading.RLock = field(factory=threading.RLock)

    def __attrs_post_init__(self) -> None:
        self.started_s = self.reviewed_s = self.now_s()
        self.judges_from_s = self.started_s + START_WAIT_S

    def refuse(
        self, keys: Sequence[int], fingerprint: Callable[[], int]
    ) -> Refusal | None:
        """Return why a request may not be sent to engines, or ``None``.

        ``fingerprint`` is called only if anything is banned or suspected.
        """
        if not self.bans and not self.suspects:
            return None
        key = fingerprint()
        with self.lock:
            now_s = self.now_s()
            until_s = max(self.held.get(key, 0.0), self.trials.get(key, 0.0))
            if now_s < until_s:
                return Refusal(frozenset((key,)), until_s - now_s)
            self._refresh(frozenset((key,)))
            ban = self.find_ban((*keys, key))
            if ban is not None:
                return Refusal(ban.keys, ban.left_s(now_s))
            if key in self.suspects:
                self.trials[key] = now_s + TRIAL_TIMEOUT_S
        return None

    def find_ban(self, keys: Sequence[int]) -> Ban | None:
        """Return the ban that keeps a prompt from engines, if there is one.

        A request may be let through to try a part whose ban has run out.
        """
        if not self.bans or not keys:
            return None
        now_s, held = self.now_s(), frozenset(keys)
        with self.lock:
            bans = [ban for ban in self.bans.values() if ban.keys <= held]
            for ban in bans:
                if not ban.may_probe(now_s):
                    return ban
            for ban in bans:
                ban.begin_probe(now_s)
        return None

    def is_suspect(self, keys: Iterable[int]) -> bool:
        """Return whether a prompt holds parts that are banned or suspected."""
        if not self.suspects and not self.bans:
            return False
        held = frozenset(keys)
        with self.lock:
            return not self.suspects.isdisjoint(held) or self._is_banned(held)

    def end_trial(self, fingerprint: int) -> None:
        """Let the next repetition of a suspect be sent."""
        with self.lock:
            self.trials.pop(fingerprint, None)

    def record_crash(self, outcome: PromptOutcome, **details) -> None:
        """Record a crash that this host saw, and tell the other hosts."""
        if not outcome.all_keys:
            return
        with self.lock:
            self.own_reports += 1
            if self._add_crash(outcome):
                self.outbox.add_outcome(outcome, self.now_s())
        log_event("crash reported", keys=format_keys(outcome.keys), **details)
        self.on_news()

    def record_success(self, outcome: PromptOutcome) -> None:
        """Record that a prompt was answered, or that its answer went on for a while."""
        with self.lock:
            is_news = self._is_news(outcome.all_keys)
            ends_ban = self._is_banned(outcome.all_keys)
            for crash in self.evidence.outlived_crashes(outcome):
                self._schedule_survival(crash.upstream, crash.at_s)
            self._add_success(outcome)
            if is_news:
                self._schedule(outcome, ends_ban)

    def receive(
        self, host: str, outcomes: Iterable[PromptOutcome], bans: Iterable[Ban]
    ) -> None:
        """Apply what another host tells.

        Crashes before the start of this host are for those to judge that have heard
        the answers since then.
        """
        with self.lock:
            for outcome in outcomes:
                if outcome.crashed and outcome.ended_s < self.started_s:
                    continue
                if not outcome.crashed:
                    disproves = bool(self.evidence.outlived_crashes(outcome))
                    if self.relays and (disproves or self._is_news(outcome.all_keys)):
                        self.outbox.add_outcome(outcome, self.now_s())
                    self._mark_announced(outcome)
                    self._mark_disproved(outcome)
                    self._add_success(outcome)
                elif self._add_crash(outcome, REPORT_SKEW_S):
                    if self.relays:
                        self.outbox.add_outcome(outcome, self.now_s())
                    self.received_reports += 1
                    log_event(
                        "crash report received",
                        reported_by=host,
                        age_ms=round((self.now_s() - outcome.ended_s) * 1_000),
                        keys=format_keys(outcome.keys),
                        fingerprint=format_key(outcome.fingerprint),
                    )
            for ban in bans:
                self._adopt(ban, host)

    def review(self) -> None:
        """Ban what explains the known crashes."""
        now_s = self.now_s()
        with self.lock:
            self._end_forgotten(now_s)
            self._announce_survivals(now_s)
            self._announce_pending(now_s)
            if now_s - self.reviewed_s > LATE_REVIEW_S:
                self.judges_from_s = max(self.judges_from_s, now_s + CATCH_UP_S)
            self.reviewed_s = now_s
            if not self.evidence.crashes:
                return
            if now_s >= max(self.explain_due_s, self.judges_from_s):
                self._explain(now_s)

    def _explain(self, now_s: float) -> None:
        """Ban what explains the crashes, often only while a crash is recent."""
        is_recent = now_s - self.last_crash_s <= RECENT_CRASH_S
        self.explain_due_s = now_s if is_recent else now_s + EXPLAIN_PERIOD_S
        self.evidence.expire(now_s)
        while True:
            part = find_explanation(self.evidence, self.bans.keys(), now_s)
            found = [part] if part is not None else self._find_requests(now_s)
            if not found:
                break
            for explanation in found:
                self._ban(explanation, now_s)
        self._update_suspects()

    def _find_requests(self, now_s: float) -> list[Explanation]:
        return find_crashing_requests(
            self.evidence, self.bans.keys(), self.suspects, now_s
        )

    def take_due(self) -> tuple[list[PromptOutcome], list[Ban]]:
        """Return the outcomes and the bans to send to the other hosts now."""
        with self.lock:
            due = self.outbox.take_due(self.now_s())
        outcomes = [item for item in due if isinstance(item, PromptOutcome)]
        return outcomes, [item for item in due if isinstance(item, Ban)]

    def current_bans(self) -> list[Ban]:
        """Return all bans."""
        with self.lock:
            return list(self.bans.values())

    def reported_bans(self) -> tuple[Ban, ...]:
        """Return the bans to repeat to other hosts, a random sample of many."""
        bans = self.current_bans()
        return tuple(random.sample(bans, min(MAX_REPORTED_BANS, len(bans))))

    def _end_forgotten(self, now_s: float) -> None:
        for ban in list(self.bans.values()):
            if now_s - ban.until_s > FORGET_S:
                self._end(ban, "expired")

    def _spread_s(self) -> float:
        """Return the time over which hosts that know the same spread their news."""
        return min(MAX_SPREAD_S, SPREAD_S_PER_HOST * self.hosts)

    def _schedule(self, success: PromptOutcome, ends_ban: bool = False) -> None:
        keys = success.all_keys
        known = self.pending.get(keys)
        if known is not None and (known.ends_ban or not ends_ban):
            return
        if known is not None or len(self.pending) < MAX_PENDING:
            due_s = self.now_s() + random.uniform(0.0, self._spread_s())
            self.pending[keys] = PendingSuccess(
                due_s, success, ends_ban, self._announced_times(keys)
            )

    def _announced_times(self, keys: Sequence[int]) -> tuple[float, ...]:
        return tuple(self.announced.get(key, -math.inf) for key in keys)

    def _schedule_earlier_success(self, key: int) -> None:
        """Tell hosts that never saw a suspected key succeed that it did before."""
        sent_s = self.evidence.succeeded_s(key)
        if sent_s is None or key in self.announced:
            return
        if self.evidence.crashes_since(key, -math.inf) >= SUSPECT_CRASHES:
            is_request = key in self.evidence.request_successes
            parts, known = ((), key) if is_request else ((key,), NO_FINGERPRINT)
            self._schedule(
                PromptOutcome(UNKNOWN_REQUEST, 0, parts, sent_s, sent_s, False, known)
            )

    def _announce_pending(self, now_s: float) -> None:
        """Announce the successes that are due, unless another host was faster."""
        due = [keys for keys, item in self.pending.items() if item.due_s <= now_s]
        for keys in due:
            pending = self.pending.pop(keys)
            if self._is_still_news(keys, pending):
                self._mark_announced(pending.outcome)
                self.outbox.add_outcome(pending.outcome, now_s)

    def _is_still_news(self, keys: Sequence[int], pending: PendingSuccess) -> bool:
        """Return whether no other host has announced a success meanwhile."""
        if pending.ends_ban and self._announced_times(keys) == pending.announced:
            return True
        return self._is_news(keys)

    def _ban(self, found: Explanation, now_s: float) -> None:
        ban = Ban(found.keys, now_s)
        self._insert(ban, None, crashes=found.crashes)
        self.outbox.add_ban(ban, now_s)
        self.on_news()

    def _insert(self, ban: Ban, reported_by: str | None, **details) -> None:
        for keys in [keys for keys in self.bans if keys > ban.keys]:
            self._end(self.bans[keys], "narrowed")
        ban.spread_end(self.hosts)
        self.bans[ban.keys] = ban
        while len(self.bans) > MAX_BANS:
            self._end(min(self.bans.values(), key=lambda item: item.until_s), "evicted")
        log_event(
            "prompt parts quarantined",
            keys=format_keys(ban.keys),
            renewals=ban.level,
            left_s=round(ban.left_s(self.now_s())),
            reported_by=reported_by,
            **details,
        )

    def _end(self, ban: Ban, cause: str) -> None:
        del self.bans[ban.keys]
        self.ended[ban.keys] = ban.began_s
        while len(self.ended) > MAX_ENDED_BANS:
            self.ended.popitem(last=False)
        log_event("quarantine ended", keys=format_keys(ban.keys), cause=cause)

    def _adopt(self, ban: Ban, host: str) -> None:
        """Apply a ban of another host, unless it has ended or is known."""
        if ban.began_s <= self.ended.get(ban.keys, -math.inf) + RENEWAL_AGE_S:
            return
        if any(keys < ban.keys for keys in self.bans):
            return
        known = self.bans.get(ban.keys)
        if known is None or ban.level > known.level or ban.refreshes(known):
            self._insert(ban, host)
            if self.relays:
                self.outbox.add_ban(ban, self.now_s())

    def _schedule_survival(self, upstream: int, crashed_s: float) -> None:
        """Tell the other hosts later that an alleged crash was none."""
        if crashed_s > self.disproved_s.get(upstream, -math.inf):
            due_s = self.now_s() + random.uniform(0.0, self._spread_s() / 2)
            self.pending_survivals.setdefault(upstream, (due_s, crashed_s))

    def _announce_survivals(self, now_s: float) -> None:
        """Announce what disproves crashes, unless another host was faster."""
        for upstream, (due_s, crashed_s) in list(self.pending_survivals.items()):
            if due_s > now_s:
                continue
            del self.pending_survivals[upstream]
            span = self.evidence.survivals.find(upstream, crashed_s)
            if span and crashed_s > self.disproved_s.get(upstream, -math.inf):
                success = PromptOutcome(UNKNOWN_REQUEST, upstream, (), *span, False)
                self._mark_disproved(success)
                self.outbox.add_outcome(success, now_s)

    def _mark_disproved(self, success: PromptOutcome) -> None:
        """Record the time until which all hosts know that an engine has not crashed."""
        until_s = success.ended_s - ENDED_AFTER_S
        known_s = self.disproved_s.pop(success.upstream, until_s)
        self.disproved_s[success.upstream] = max(known_s, until_s)
        if len(self.disproved_s) > MAX_DISPROVED:
            self.disproved_s.popitem(last=False)

    def _add_crash(self, outcome: PromptOutcome, skew_s: float = 0.0) -> bool:
        if not self.evidence.add_crash(outcome, skew_s):
            if self.evidence.survivals.find(outcome.upstream, outcome.ended_s):
                self._schedule_survival(outcome.upstream, outcome.ended_s)
            return False
        held = frozenset(outcome.all_keys)
        for ban in list(self.bans.values()):
            if ban.keys <= held and outcome.ended_s - ban.began_s > RENEWAL_AGE_S:
                self._renew(ban)
        self.last_crash_s = self.explain_due_s = self.now_s()
        for key in outcome.all_keys:
            self._schedule_earlier_success(key)
        self._update_suspects()
        return True

    def _renew(self, ban: Ban) -> None:
        renewed = ban.renewed(self.now_s())
        self._insert(renewed, None)
        self.outbox.add_ban(renewed, self.now_s())

    def _refresh(self, keys: frozenset[int]) -> None:
        """Extend the ban of a request that still comes, here and at other hosts."""
        ban = self.bans.get(keys)
        if ban is not None and ban.is_due_for_refresh(self.now_s()):
            refreshed = ban.refreshed(self.now_s())
            self._insert(refreshed, None)
            self.outbox.add_ban(refreshed, self.now_s())

    def _add_success(self, outcome: PromptOutcome) -> None:
        self.evidence.add_success(outcome)
        held = frozenset(outcome.all_keys)
        for ban in list(self.bans.values()):
            if ban.keys <= held and outcome.sent_s > ban.began_s:
                self._end(ban, "answered")
        if not self.suspects.isdisjoint(held):
            self._update_suspects()

    def _update_suspects(self) -> None:
        involvements = collect_involvements(self.evidence, self.bans.keys())
        self.suspects = {
            key
            for key, involvement in involvements.items()
            if len(involvement.crashes) >= SUSPECT_CRASHES
            and not self.evidence.has_succeeded(key)
        }
        repetitions = collect_repetitions(
            self.evidence, self.bans.keys(), self.suspects
        )
        self.suspects |= find_suspects(self.evidence, repetitions)
        self.held = find_held(repetitions)
        self.suspects |= self.held.keys()
        # A crash that a ban explains may have had several causes.
        if self.bans:
            everything = collect_repetitions(self.evidence, (), self.suspects)
            self.suspects |= find_held(everything).keys()
        self.trials = {
            key: until_s for key, until_s in self.trials.items() if key in self.suspects
        }

    def _is_banned(self, keys: Iterable[int]) -> bool:
        held = frozenset(keys)
        return any(banned <= held for banned in self.bans)

    def _is_news(self, keys: Sequence[int]) -> bool:
        """Return whether other hosts may suspect a part of a prompt."""
        if self._is_banned(keys):
            return True
        return any(
            self.evidence.crashes_since(key, self.announced.get(key, -math.inf))
            >= SUSPECT_CRASHES
            for key in keys
        )

    def _mark_announced(self, outcome: PromptOutcome) -> None:
        for key in outcome.all_keys:
            self.announced[key] = max(
                outcome.sent_s, self.announced.pop(key, outcome.sent_s)
            )
        while len(self.announced) > MAX_ENDED_BANS:
            self.announced.popitem(last=False)


def format_key(key: int) -> str:
    """Return a key as text for the log."""
    return f"{key:016x}"


def format_keys(keys: Iterable[int]) -> list[str]:
    """Return the keys of parts as text for the log."""
    return [format_key(key) for key in sorted(keys)]
