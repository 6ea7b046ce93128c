"""The granting side: the buckets of the accounts for which this host holds the role."""

from collections import OrderedDict

from attrs import define, field

from rosemaryyoke.catalog import Quota
from rosemaryyoke.quotas.bucket import QuotaBounds, QuotaBucket
from rosemaryyoke.quotas.leases import Claim, shard_of
from rosemaryyoke.quotas.messages import DENIED, GRANTED, Answer, Ask

# An ask may arrive twice, as hosts repeat it and links may double it.
ANSWERS_KEPT_S = 2.0
# Tokens that come back later are lost to the account: a window could otherwise hold
# them twice, when they were granted and after they came back.
RETURN_AGE_S = 0.5
IDLE_BUCKET_S = 30.0

AskKey = tuple[str, int, int]  # host, its boot time, number of the ask


@define
class Granted:
    """An answer, and what it took from a bucket that has not come back yet."""

    answer: Answer
    answered_s: float
    account: str
    epoch: int
    cost: float


@define(eq=False)
class GrantingSide:
    """Decides on asks for the shards that this host holds.

    Buckets start used up when the role is taken over, so that nothing is granted twice.
    """

    bounds: QuotaBounds
    buckets: dict[str, QuotaBucket] = field(factory=dict)
    epochs: dict[str, int] = field(factory=dict)
    answers: OrderedDict[AskKey, Granted] = field(factory=OrderedDict)

    def decide(self, key: AskKey, ask: Ask, claim: Claim, now_s: float) -> Answer:
        """Answer an ask; one that was answered before gets the same answer."""
        known = self.answers.get(key)
        if known is not None:
            return known.answer
        bucket = self.bucket(ask, claim, now_s)
        if bucket.take(ask.cost, now_s):
            answer = Answer(ask.number, GRANTED, round(bucket.level, 1))
            taken = ask.cost
        else:
            wait_s = bucket.backlog_wait_s(ask.cost, now_s)
            answer = Answer(
                ask.number,
                DENIED,
                round(bucket.level, 1),
                round(wait_s, 4),
                round(bucket.ready_wait_s(0.0, now_s), 4),
            )
            taken = 0.0
        self.answers[key] = Granted(answer, now_s, ask.account, claim.epoch, taken)
        self.forget_answers(now_s)
        return answer

    def bucket(self, ask: Ask, claim: Claim, now_s: float) -> QuotaBucket:
        """Return the bucket of an account under the newest known configuration."""
        quota = Quota(ask.rate_per_s, ask.burst, ask.in_tokens)
        bucket = self.buckets.get(ask.account)
        if bucket is None or self.epochs[ask.account] != claim.epoch:
            version = ask.version
            if bucket is not None and bucket.version > version:
                quota, version = bucket.quota, bucket.version
            share = claim.share(now_s)
            bucket = QuotaBucket(
                quota, self.bounds, version, claim.grown_s, now_s, share=share
            )
            self.buckets[ask.account] = bucket
            self.epochs[ask.account] = claim.epoch
        bucket.set_share(claim.share(now_s), now_s)
        bucket.change(quota, ask.version, now_s)
        return bucket

    def set_share(self, shard: int, share: float, now_s: float) -> None:
        """Change the part of the quotas of a shard's accounts that is lent."""
        for name, bucket in self.buckets.items():
            if shard_of(name) == shard:
                bucket.set_share(share, now_s)

    def give_back(self, key: AskKey, ask: Ask, claim: Claim, now_s: float) -> float:
        """Take back what an ask was granted; return how much, at most once."""
        granted = self.answers.get(key)
        if granted is None or granted.epoch != claim.epoch:
            return 0.0
        if now_s - granted.answered_s > RETURN_AGE_S or granted.account != ask.account:
            return 0.0
        taken, granted.cost = granted.cost, 0.0
        bucket = self.buckets.get(granted.account)
        if bucket is not None and taken:
            bucket.give_back(taken, now_s)
        return taken

    def change_quotas(
        self, quotas: dict[str, Quota | None], version: int, now_s: float
    ) -> None:
        """Apply a newer configuration to the accounts that have a bucket."""
        for name, bucket in list(self.buckets.items()):
            quota = quotas.get(name)
            if quota is not None:
                bucket.change(quota, version, now_s)

    def forget_answers(self, now_s: float) -> None:
        """Forget answers that nobody can wait for any more."""
        while self.answers:
            oldest = next(iter(self.answers.values()))
            if now_s - oldest.answered_s <= ANSWERS_KEPT_S:
                return
            self.answers.popitem(last=False)

    def forget_idle(self, now_s: float) -> None:
        """Forget full buckets without use; they are full when they are made again."""
        for name, bucket in list(self.buckets.items()):
            if bucket.is_idle(now_s, IDLE_BUCKET_S):
                del self.buckets[name]
                del self.epochs[name]
