"""One host's part in the quotas, as an object without threads, sockets or clocks."""

import itertools
import random
from collections import OrderedDict
from typing import Callable, Iterable

from attrs import define, field, frozen

from rosemaryyoke.catalog import Quota
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.quotas.bucket import QuotaBounds
from rosemaryyoke.quotas.granting import GrantingSide
from rosemaryyoke.quotas.leases import (
    LEASE_S,
    RENEW_PERIOD_S,
    SHARDS,
    Claim,
    Lender,
    Loan,
    Members,
    shard_of,
)
from rosemaryyoke.quotas.messages import (
    ANSWER,
    ASK,
    DENIED,
    ELSEWHERE,
    GRANTED,
    LOAN_REPLY,
    LOAN_REQUEST,
    Answer,
    Ask,
    Datagram,
    LoanReply,
    LoanRequest,
    decode,
    encode,
)

# Without an answer, a host asks once more, then another host. One-way delays are about
# a millisecond; a busy host of half a core may take tens of them.
ASK_REPEAT_S = 0.04
ASK_LIMIT_S = 0.25
# Asking all lenders takes about two one-way delays.
CLAIM_CHECK_S = 0.012
CLAIM_TIMEOUT_S = 0.12
# After another host was found to hold a role for which this one ranks first.
RIVAL_PAUSE_S = 1.0
CLAIM_PAUSE_S = (0.02, 0.2)  # random, so that rival borrowers don't collide again
# A grant is used at once. One that comes later than this is returned, since the request
# would reach its upstream in another window than the one that it was granted in.
MAX_GRANT_AGE_S = 0.3
# A host with a smaller share gives it back if it hears another one that has some, so
# that the quota is in one place.
MAJOR_SHARE = 0.5
SILENT_S = 0.5  # a host that doesn't answer is not asked for this long
UNAVAILABLE_RETRY_S = (0.2, 0.5)
UNAVAILABLE_PAUSE_S = 0.1  # further requests of the shard are refused at once
# Asks that come within this time after another one to the same host are collected.
BATCH_S = 0.002
ROWS_PER_DATAGRAM = 10  # stays within 1,400 bytes
DENIAL_MARGIN_S = 0.004  # a host asks again this long before tokens are available
MIN_LOCAL_DENIAL_S = 0.012
# A host that was given addresses of others and has heard none is probably cut off.
SOLITARY_WAIT_S = 30.0
MAX_REDIRECTS = 3  # without a pause
MAX_DENIALS = 4_096

ADMITTED, OVER_QUOTA, UNAVAILABLE = "admitted", "over quota", "unavailable"


@frozen
class Decision:
    """What became of a request; ``level`` is that of the bucket after it."""

    result: str
    wait_s: float = 0.0
    level: float | None = None
    granter: str = ""
    is_local: bool = False


@define(eq=False)
class PendingRequest:
    """A request that waits for its decision.

    ``next_s`` is when ``QuotaNode.poll`` has something to do for it.
    """

    ask: Ask
    shard: int
    began_s: float
    target: str = ""
    sends: int = 0
    redirects: int = 0
    is_sent: bool = False
    next_s: float = 0.0
    decision: Decision | None = None
    on_decision: Callable[[], None] = lambda: None


@define
class Denial:
    """An account's denial, for which this host answers until ``ready_s``."""

    ready_s: float
    back_s: float
    level: float
    granter: str


Send = Callable[[str, bytes], None]
Count = Callable[..., None]


@define(eq=False)
class QuotaNode:
    """Asks for grants, grants, and lends its shares; not thread-safe.

    ``send`` sends a datagram to a host by its name. ``boot`` tells this process from
    earlier ones of the same name. All times are in seconds of a clock that goes on
    while the machine is suspended.
    """

    name: str
    boot: int
    started_s: float
    send: Send
    bounds: QuotaBounds = QuotaBounds()
    has_seeds: bool = False
    count: Count = lambda name, amount=1, **labels: None
    lender: Lender = field(init=False)
    members: Members = field(init=False)
    granting: GrantingSide = field(init=False)
    claims: dict[int, Claim] = field(factory=dict)
    wanted: frozenset[int] = frozenset()
    holders: dict[int, str] = field(factory=dict)
    silent_until_s: dict[str, float] = field(factory=dict)
    unavailable_until_s: dict[int, float] = field(factory=dict)
    denials: OrderedDict[str, Denial] = field(factory=OrderedDict)
    pending: dict[int, PendingRequest] = field(factory=dict)
    queued: dict[str, list[PendingRequest]] = field(factory=dict)
    asked_s: dict[str, float] = field(factory=dict)
    numbers: itertools.count = field(factory=lambda: itertools.count(1))
    logged_held: set[int] = field(factory=set)
    leaving: bool = False

    def __attrs_post_init__(self) -> None:
        self.lender = Lender(self.started_s)
        self.members = Members(self.name)
        self.granting = GrantingSide(self.bounds)

    @property
    def borrower(self) -> str:
        """Return how lenders know this process."""
        return f"{self.name}#{self.boot}"

    # --- configuration and periodic work

    def configure(self, quotas: dict[str, Quota], version: int, now_s: float) -> None:
        """Apply the quotas of all accounts that have one."""
        self.wanted = frozenset(map(shard_of, quotas))
        self.granting.change_quotas(quotas, version, now_s)
        for name in [name for name in self.denials if name not in quotas]:
            del self.denials[name]

    def tick(self, now_s: float) -> None:
        """Renew the leases, and take over roles that this host ranks first for."""
        if self.leaving or not self.wanted:
            return
        for name in self.members.to_greet(now_s):
            self.transmit(name, LOAN_REQUEST, [])
        for shard in self.wanted:
            claim = self.claims.get(shard)
            is_held = claim is not None and claim.is_held(now_s)
            if is_held or self.members.ranked(shard)[0] == self.name:
                claim = self.claims.setdefault(shard, Claim(shard))
                self.log_role(shard, claim, now_s)
                if is_held:
                    self.granting.set_share(shard, claim.share(now_s), now_s)
                if is_held or not self.lender.holder(shard, now_s):
                    self.review_claim(claim, now_s)
            elif claim is not None:
                self.log_role(shard, claim, now_s)
        self.request_loans(self.due_claims(now_s), now_s)
        self.granting.forget_answers(now_s)

    def due_claims(self, now_s: float) -> list[Claim]:
        """Return the claims whose lenders are to be asked now."""
        return [
            claim
            for shard, claim in self.claims.items()
            if now_s - claim.sent_s >= RENEW_PERIOD_S
            and shard in self.wanted
            and (claim.is_held(now_s) or self.should_claim(claim, now_s))
        ]

    def should_claim(self, claim: Claim, now_s: float) -> bool:
        """Return whether this host should take over a role without being asked."""
        return (
            now_s >= max(claim.retry_s, claim.rival_until_s)
            and self.members.ranked(claim.shard)[0] == self.name
            and self.may_claim(now_s)
            and not self.rival(claim.shard, now_s)
        )

    def rival(self, shard: int, now_s: float) -> str:
        """Return who holds a shard as this lender knows, if it is another host."""
        holder = self.lender.holder(shard, now_s)
        return "" if holder == self.borrower else holder

    def may_claim(self, now_s: float) -> bool:
        """Return whether this host may take over a role."""
        if self.leaving or now_s - self.started_s < LEASE_S:
            return False
        alone = self.has_seeds and not self.members.heard_s
        return not alone or now_s - self.started_s >= SOLITARY_WAIT_S

    def review_claim(self, claim: Claim, now_s: float) -> None:
        """Give back the loans of a claim if another host has more, or should."""
        if not claim.asked_s or now_s - claim.began_s < CLAIM_TIMEOUT_S:
            return
        if claim.share(now_s) > MAJOR_SHARE:
            return
        first = self.members.ranked(claim.shard)[0]
        if not claim.is_held(now_s) or (
            first != self.name and not self.is_silent(first, now_s)
        ):
            self.release(claim, now_s + random.uniform(*CLAIM_PAUSE_S))
        elif claim.live_rival(self.members.live, now_s):
            self.release(claim, now_s + random.uniform(*CLAIM_PAUSE_S))

    def release(self, claim: Claim, retry_s: float) -> None:
        """Give back the loans of a claim, so that another host may have them."""
        lenders = set(claim.loans) | set(self.members.lenders_of(claim.shard))
        claim.give_up(retry_s)
        row = LoanRequest(claim.shard, next(self.numbers), release=True)
        for name in lenders:
            if name == self.name:
                self.lender.release(row.shard, self.borrower, row.sequence)
            else:
                self.transmit(name, LOAN_REQUEST, [row])

    def leave(self, now_s: float) -> None:
        """Give up all roles, as this host shuts down."""
        self.leaving = True
        for claim in self.claims.values():
            if claim.is_held(now_s):
                self.release(claim, now_s)
            self.log_role(claim.shard, claim, now_s)

    def log_role(self, shard: int, claim: Claim, now_s: float) -> None:
        """Log that this host began or ceased to grant for a shard."""
        is_held = claim.is_held(now_s)
        if is_held == (shard in self.logged_held):
            return
        if is_held:
            self.logged_held.add(shard)
            log_event(
                "quota role taken over",
                shard=shard,
                epoch=claim.epoch,
                lenders=len(self.members.lenders_of(shard)),
            )
        else:
            self.logged_held.discard(shard)
            log_event(
                "quota role given up",
                shard=shard,
                epoch=claim.epoch,
                leaving=self.leaving,
                hosts_known=len(self.members.names),
                hosts_heard=len(self.members.live) + 1,
            )

    # --- leases

    def request_loans(self, claims: Iterable[Claim], now_s: float) -> None:
        """Ask the lenders of some shards for their loans."""
        rows: dict[str, list[LoanRequest]] = {}
        for claim in claims:
            sequence = next(self.numbers)
            claim.ask(sequence, now_s)
            for name in self.members.lenders_of(claim.shard):
                rows.setdefault(name, []).append(LoanRequest(claim.shard, sequence))
        for row in rows.pop(self.name, ()):
            self.record_loan(self.name, self.lend(self.borrower, row, now_s), now_s)
        for name, batch in rows.items():
            self.transmit(name, LOAN_REQUEST, batch)

    def lend(self, borrower: str, row: LoanRequest, now_s: float) -> LoanReply:
        """Lend this host's share, or tell who has it."""
        known = len(self.members.names)
        loan = self.lender.lend(row.shard, borrower, row.sequence, now_s, known)
        return LoanReply(row.shard, row.sequence, loan.granted, loan.holder, loan.known)

    def record_loan(self, lender: str, row: LoanReply, now_s: float) -> None:
        """Record a lender's loan."""
        claim = self.claims.get(row.shard)
        if claim is None:
            return
        claim.record(lender, row.sequence, Loan(row.granted, row.holder, row.known))
        began = claim.update(self.members.lenders_of(row.shard), now_s)
        holder = row.holder.rpartition("#")[0]
        if not row.granted and holder not in ("", self.name):
            claim.rival, claim.rival_until_s = holder, now_s + RIVAL_PAUSE_S
            if not claim.is_held(now_s):
                self.holders[row.shard] = holder
        self.log_role(row.shard, claim, now_s)
        if began:
            self.holders[row.shard] = self.name
            self.poll_shard(row.shard, now_s)

    def poll_shard(self, shard: int, now_s: float) -> None:
        """Decide the requests that have waited for this host's role."""
        for request in list(self.pending.values()):
            if request.shard == shard:
                request.next_s = 0.0
                self.poll(request, now_s)

    def holds(self, shard: int, now_s: float) -> bool:
        """Return whether this host may grant for a shard."""
        claim = self.claims.get(shard)
        if claim is None or self.leaving or not claim.is_held(now_s):
            return False
        return True

    def claim_now(self, shard: int, now_s: float) -> None:
        """Try to take over a role because a request needs it."""
        if not self.may_claim(now_s) or self.rival(shard, now_s):
            return
        claim = self.claims.setdefault(shard, Claim(shard))
        self.review_claim(claim, now_s)
        if now_s >= claim.retry_s and now_s - claim.sent_s >= CLAIM_TIMEOUT_S:
            self.request_loans([claim], now_s)

    # --- asking

    def request(
        self, account: str, quota: Quota, version: int, cost: float, now_s: float
    ) -> PendingRequest:
        """Begin to ask for a request; the decision may be known at once."""
        ask = Ask(
            next(self.numbers),
            account,
            cost,
            version,
            quota.rate_per_s,
            quota.burst,
            quota.in_tokens,
        )
        request = PendingRequest(ask, shard_of(account), now_s)
        if not self.deny_locally(request, now_s):
            if self.holds(request.shard, now_s):
                self.decide_here(request, now_s)
            elif now_s < self.unavailable_until_s.get(request.shard, 0.0):
                self.end_unavailable(request)
            else:
                self.pending[ask.number] = request
                self.poll(request, now_s)
        return request

    def deny_locally(self, request: PendingRequest, now_s: float) -> bool:
        """Deny a request for which the granting host has no tokens yet."""
        denial = self.denials.get(request.ask.account)
        if denial is None:
            return False
        if now_s >= denial.ready_s:
            del self.denials[request.ask.account]
            return False
        latest_s = max(denial.back_s, denial.ready_s) - now_s
        wait_s = random.uniform(denial.ready_s - now_s, latest_s)
        request.decision = Decision(
            OVER_QUOTA, wait_s, denial.level, denial.granter, is_local=True
        )
        return True

    def poll(self, request: PendingRequest, now_s: float) -> None:
        """Send or repeat the ask of a request, or end it, whichever is due."""
        if request.decision is not None or now_s < request.next_s:
            return
        if self.holds(request.shard, now_s):
            self.decide_here(request, now_s)
            return
        if now_s - request.began_s >= ASK_LIMIT_S:
            pause_s = now_s + UNAVAILABLE_PAUSE_S
            self.unavailable_until_s[request.shard] = pause_s
            self.end_unavailable(request)
            return
        if request.target and not request.is_sent:
            self.flush(request.target, now_s)
            return
        if request.sends >= 2:
            self.mark_silent(request, now_s)
        if request.sends in (0, 2) or not request.target:
            request.target = self.choose_target(request.shard, now_s)
            request.sends = 0
        if request.target == self.name:
            request.sends = 0
            request.next_s = now_s + CLAIM_CHECK_S
            self.claim_now(request.shard, now_s)
            return
        self.enqueue(request, now_s)

    def mark_silent(self, request: PendingRequest, now_s: float) -> None:
        """Ask others for a while instead of a host that has not answered."""
        self.silent_until_s[request.target] = now_s + SILENT_S
        if self.holders.get(request.shard) == request.target:
            del self.holders[request.shard]

    def choose_target(self, shard: int, now_s: float) -> str:
        """Return the host to ask: who holds the role, else who should."""
        lent = self.rival(shard, now_s).rpartition("#")[0]
        for name in (lent, self.holders.get(shard, "")):
            if name and name != self.name and not self.is_silent(name, now_s):
                return name
        for name in self.members.ranked(shard):
            if not self.is_silent(name, now_s):
                return name
        return self.name

    def is_silent(self, name: str, now_s: float) -> bool:
        """Return whether a host has not answered lately."""
        return now_s < self.silent_until_s.get(name, 0.0)

    def enqueue(self, request: PendingRequest, now_s: float) -> None:
        """Send an ask now, or with others if one has just been sent."""
        queue = self.queued.setdefault(request.target, [])
        queue.append(request)
        request.is_sent = False
        recent = now_s - self.asked_s.get(request.target, 0.0) < BATCH_S
        if recent and len(queue) < ROWS_PER_DATAGRAM:
            request.next_s = now_s + BATCH_S
            return
        self.flush(request.target, now_s)

    def flush(self, target: str, now_s: float) -> None:
        """Send the asks that are queued for a host."""
        queue = self.queued.pop(target, [])
        rows = []
        for request in queue:
            if request.decision is not None or request.target != target:
                continue
            request.is_sent = True
            request.sends += 1
            request.next_s = now_s + ASK_REPEAT_S
            rows.append(request.ask)
        self.asked_s[target] = now_s
        for start in range(0, len(rows), ROWS_PER_DATAGRAM):
            self.transmit(target, ASK, rows[start : start + ROWS_PER_DATAGRAM])

    def decide_here(self, request: PendingRequest, now_s: float) -> None:
        """Decide a request as the granting host."""
        key = (self.name, self.boot, request.ask.number)
        claim = self.claims[request.shard]
        answer = self.granting.decide(key, request.ask, claim, now_s)
        self.end(request, answer, self.name, now_s)

    def end_unavailable(self, request: PendingRequest) -> None:
        """End a request for which no granting host was found."""
        wait_s = random.uniform(*UNAVAILABLE_RETRY_S)
        self.finish(request, Decision(UNAVAILABLE, wait_s))

    def end(
        self, request: PendingRequest, answer: Answer, granter: str, now_s: float
    ) -> None:
        """End a request by the answer to its ask."""
        if answer.verdict == GRANTED:
            decision = Decision(ADMITTED, 0.0, answer.level, granter)
            self.finish(request, decision)
            return
        if answer.ready_s > MIN_LOCAL_DENIAL_S and granter != self.name:
            self.denials[request.ask.account] = Denial(
                now_s + answer.ready_s - DENIAL_MARGIN_S,
                now_s + answer.wait_s,
                answer.level,
                granter,
            )
            if len(self.denials) > MAX_DENIALS:
                self.denials.popitem(last=False)
        self.finish(request, Decision(OVER_QUOTA, answer.wait_s, answer.level, granter))

    def finish(self, request: PendingRequest, decision: Decision) -> None:
        """Set the decision of a request."""
        self.pending.pop(request.ask.number, None)
        request.decision = decision
        request.on_decision()

    def give_back(self, request: PendingRequest, now_s: float) -> None:
        """Return what was granted for a request that has not run and never will."""
        decision = request.decision
        if decision is None or decision.result != ADMITTED:
            return
        if now_s - request.began_s > MAX_GRANT_AGE_S:
            return
        self.return_grant(request, decision.granter, now_s)

    def return_grant(self, request: PendingRequest, granter: str, now_s: float) -> None:
        """Return a grant to the host that gave it."""
        row = ask_returned(request.ask)
        if granter == self.name:
            key = (self.name, self.boot, row.number)
            self.take_back(key, row, now_s)
        else:
            self.transmit(granter, ASK, [row])
        self.count("quota_returned_total")

    def take_back(self, key: tuple[str, int, int], row: Ask, now_s: float) -> None:
        """Take back a grant of this host."""
        shard = shard_of(row.account)
        if self.holds(shard, now_s):
            self.granting.give_back(key, row, self.claims[shard], now_s)

    # --- datagrams

    def transmit(self, host: str, kind: bytes, rows: list) -> None:
        """Send rows to a host."""
        self.send(host, encode(kind, self.name, self.boot, rows))

    def receive(self, kind: bytes, data: bytes, now_s: float) -> None:
        """Handle a datagram of another host; raise ``ValueError`` if it is invalid."""
        datagram = decode(kind, data)
        self.members.record_answer(datagram.host)
        handlers = {
            LOAN_REQUEST: self.handle_loan_requests,
            LOAN_REPLY: self.handle_loan_replies,
            ASK: self.handle_asks,
            ANSWER: self.handle_answers,
        }
        handlers[kind](datagram, now_s)

    def handle_loan_requests(self, datagram: Datagram, now_s: float) -> None:
        """Answer a borrower, or take a loan back."""
        borrower = f"{datagram.host}#{datagram.boot}"
        replies = []
        for row in datagram.rows:
            if row.release:
                self.lender.release(row.shard, borrower, row.sequence)
            elif 0 <= row.shard < SHARDS:
                replies.append(self.lend(borrower, row, now_s))
        if replies or not datagram.rows:  # an empty datagram is a greeting
            self.transmit(datagram.host, LOAN_REPLY, replies)

    def handle_loan_replies(self, datagram: Datagram, now_s: float) -> None:
        """Record loans."""
        for row in datagram.rows:
            self.record_loan(datagram.host, row, now_s)

    def handle_asks(self, datagram: Datagram, now_s: float) -> None:
        """Answer asks, or name the host to ask instead."""
        answers = []
        for row in datagram.rows:
            key = (datagram.host, datagram.boot, row.number)
            shard = shard_of(row.account)
            if row.returned:
                self.take_back(key, row, now_s)
            elif self.holds(shard, now_s):
                claim = self.claims[shard]
                answers.append(self.granting.decide(key, row, claim, now_s))
            else:
                self.claim_now(shard, now_s)
                answers.append(
                    Answer(
                        row.number, ELSEWHERE, holder=self.other_holder(shard, now_s)
                    )
                )
        if answers:
            self.transmit(datagram.host, ANSWER, answers)

    def other_holder(self, shard: int, now_s: float) -> str:
        """Return the host that this one believes to hold a shard, if any."""
        lent = self.rival(shard, now_s).rpartition("#")[0]
        known = lent or self.holders.get(shard, "")
        return "" if known == self.name else known

    def handle_answers(self, datagram: Datagram, now_s: float) -> None:
        """End the requests that are answered; return grants that come too late."""
        for row in datagram.rows:
            request = self.pending.get(row.number)
            if request is None:
                continue
            if row.verdict == ELSEWHERE:
                self.redirect(request, datagram.host, row.holder, now_s)
                continue
            self.holders[request.shard] = datagram.host
            self.silent_until_s.pop(datagram.host, None)
            if now_s - request.began_s > MAX_GRANT_AGE_S:
                if row.verdict == GRANTED:
                    self.return_grant(request, datagram.host, now_s)
                self.end_unavailable(request)
                continue
            if row.verdict in (GRANTED, DENIED):
                self.end(request, row, datagram.host, now_s)

    def redirect(
        self, request: PendingRequest, host: str, holder: str, now_s: float
    ) -> None:
        """Ask the host that another one names, or the same one again a little later."""
        if request.target != host:
            return
        request.sends = 0
        request.redirects += 1
        if self.holders.get(request.shard) == host:
            del self.holders[request.shard]
        is_other = holder not in ("", host) and not self.is_silent(holder, now_s)
        if is_other and request.redirects <= MAX_REDIRECTS:
            self.holders[request.shard] = holder
            request.target = ""
            request.next_s = now_s
            self.poll(request, now_s)
        else:
            request.next_s = now_s + CLAIM_CHECK_S


def ask_returned(ask: Ask) -> Ask:
    """Return the row that gives back what an ask was granted."""
    return Ask(
        ask.number,
        ask.account,
        ask.cost,
        ask.version,
        ask.rate_per_s,
        ask.burst,
        ask.in_tokens,
        returned=True,
    )
