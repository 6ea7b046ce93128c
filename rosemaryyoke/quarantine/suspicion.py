"""Find the parts of prompts that explain crashes of engines.

Repetitions of one request show nothing about the parts that it shares with others, so
prompts with one fingerprint count once.
"""

from collections import defaultdict
from typing import Collection

from attrs import define, field, frozen

from rosemaryyoke.quarantine.evidence import Crash, CrashEvidence, EndedPrompt, Keys

MIN_CRASHES = 4
MIN_UPSTREAMS = 2  # a single faulty engine may break off all answers
MIN_PROMPTS = 3
# Answers that the part's other requests receive meanwhile refute the suspicion.
SETTLE_S = 1.2


@define(eq=False)
class Involvement:
    """The crashes and the prompts that speak against one part."""

    crashes: set[Crash] = field(factory=set)
    prompts: int = 0

    def is_sufficient(self, now_s: float) -> bool:
        """Return whether the evidence is enough, and old enough to be refuted."""
        if len(self.crashes) < MIN_CRASHES or self.prompts < MIN_PROMPTS:
            return False
        if len({crash.upstream for crash in self.crashes}) < MIN_UPSTREAMS:
            return False
        times_s = sorted(crash.at_s for crash in self.crashes)
        return now_s - times_s[MIN_CRASHES - 1] >= SETTLE_S


@frozen
class Explanation:
    """Parts that occur together in all crashes that speak against them."""

    keys: frozenset[int]
    crashes: int


def explaining_bans(crash: Crash, banned: Collection[Keys]) -> list[Keys]:
    """Return the bans that cover a prompt which a crash ended."""
    return [
        keys
        for keys in banned
        if keys <= crash.keys
        and any(keys <= prompt.keys for prompt in crash.prompts.values())
    ]


def is_explained(key: int, prompt: EndedPrompt, bans: Collection[Keys]) -> bool:
    """Return whether bans explain a crash for a part of a prompt that it ended.

    A ban of several parts leaves open which of them is the cause, and one of the
    request itself whether a part of it is the cause.
    """
    return any(
        prompt.fingerprint not in keys and (key not in keys or len(keys) == 1)
        for keys in bans
    )


def collect_involvements(
    evidence: CrashEvidence, banned: Collection[Keys]
) -> dict[int, Involvement]:
    """Return what speaks against each part, except crashes that bans explain.

    Other prompts that such a crash ended were only at the same engine.
    """
    found: dict[int, Involvement] = defaultdict(Involvement)
    prompts: dict[int, set[int]] = defaultdict(set)
    for crash in evidence.crashes:
        bans = explaining_bans(crash, banned)
        for request, prompt in crash.prompts.items():
            for key in prompt.keys - {prompt.fingerprint}:
                refuted_s = evidence.successes.get(key)
                if refuted_s is not None and crash.at_s <= refuted_s:
                    continue
                if not is_explained(key, prompt, bans):
                    found[key].crashes.add(crash)
                    prompts[key].add(prompt.fingerprint or request)
    for key, involvement in found.items():
        involvement.prompts = len(prompts[key])
    return found


def is_alone(evidence: CrashEvidence, key: int, crashes: Collection[Crash]) -> bool:
    """Return whether other prompts succeed since the first crash.

    While none does, the engines or the network may be the cause.
    """
    first_s = min(crash.at_s for crash in crashes)
    return evidence.others_succeed(key, first_s)


def find_explanation(
    evidence: CrashEvidence, banned: Collection[Keys], now_s: float
) -> Explanation | None:
    """Return the parts that best explain the crashes, or ``None`` if none do.

    Parts that never succeeded come first, then those with the most crashes. Parts with
    exactly the same crashes can't be told apart and are returned together.
    """
    groups: dict[tuple[bool, frozenset[Crash]], set[int]] = defaultdict(set)
    for key, involvement in collect_involvements(evidence, banned).items():
        if not involvement.is_sufficient(now_s):
            continue
        crashes = frozenset(involvement.crashes)
        succeeded = evidence.has_succeeded(key)
        if succeeded and not is_alone(evidence, key, crashes):
            continue
        groups[succeeded, crashes].add(key)
    groups = {
        group: keys
        for group, keys in groups.items()
        if not any(known <= keys for known in banned)
    }
    if not groups:
        return None
    succeeded, crashes = min(groups, key=lambda group: (group[0], -len(group[1])))
    return Explanation(frozenset(groups[succeeded, crashes]), len(crashes))
