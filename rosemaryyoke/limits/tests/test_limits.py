from hypothesis import given, settings, strategies as st

from rosemaryyoke.core import Kernel
from rosemaryyoke.limits import AccountLimiter, TokenBucket, service
from rosemaryyoke.limits.shares import AccountShare, PeerDemand
from rosemaryyoke.rules import Limit

STEADY_ERROR = 0.05
RUN_S = 60.0
LIMIT_PER_S = 40.0


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200), st.floats(1.0, 50.0))
def test_bucket_admits_no_more_than_its_rate(gaps, rate):
    bucket = TokenBucket(rate)
    now = admitted = 0.0
    for gap in gaps:
        now += gap
        if bucket.wait_s(1, now) == 0:
            bucket.consume(1)
            admitted += 1
    assert admitted <= bucket.capacity + rate * now + 1e-6


def test_bucket_tells_when_to_come_back():
    bucket = TokenBucket(2.0)
    while bucket.wait_s(1, 5.0) == 0:
        bucket.consume(1)
    wait = bucket.wait_s(1, 5.0)
    assert bucket.wait_s(1, 5.0 + wait) == 0


def test_concurrency_is_released():
    limits = AccountLimiter(Kernel())
    limit = Limit("a", concurrency=1)
    assert limits.admit_share(limit, "a", 1, 1.0, 0.0).is_ok()
    assert limits.admit_share(limit, "a", 1, 1.0, 0.0).is_err()
    limits.release("a")
    assert limits.admit_share(limit, "a", 1, 1.0, 0.0).is_ok()


def test_large_request_is_admitted_from_a_full_bucket():
    limits = AccountLimiter(Kernel())
    limit = Limit("a", tokens_per_s=10.0)
    assert limits.admit_share(limit, "a", 1_000, 1.0, 0.0).is_ok()
    assert limits.admit_share(limit, "a", 1, 1.0, 1.0).is_err()


def run_two_homes(part_of_first):
    """Return the rate that two home hosts admit when twice the limit is offered."""
    limit = Limit("a", requests_per_s=LIMIT_PER_S)
    hosts = [(AccountLimiter(Kernel()), AccountShare()) for _ in range(2)]
    offered = 2 * LIMIT_PER_S
    admitted = 0
    now = next_exchange = 0.0
    owed = [0.0, 0.0]
    while now < RUN_S:
        now += 0.005
        for index, part in enumerate((part_of_first, 1 - part_of_first)):
            owed[index] += offered * part * 0.005
            while owed[index] >= 1.0:
                owed[index] -= 1.0
                limits, share = hosts[index]
                share.local_demand.add(1.0, now)
                got = limits.admit_share(limit, "a", 1, share.share(2, now), now)
                if got.is_ok():
                    limits.release("a")
                    admitted += now > RUN_S / 2
        if now >= next_exchange:
            next_exchange += 0.5
            rates = [share.local_demand.rate_per_s(now) for _, share in hosts]
            hosts[0][1].peer_demands["1"] = PeerDemand(rates[1], now)
            hosts[1][1].peer_demands["0"] = PeerDemand(rates[0], now)
    return admitted / (RUN_S / 2)


def test_limit_over_two_homes_with_uneven_demand():
    for part in (0.5, 0.8, 0.95, 1.0):
        error = abs(run_two_homes(part) - LIMIT_PER_S) / LIMIT_PER_S
        assert error <= STEADY_ERROR, (part, error)


def test_share_is_equal_where_nothing_is_heard():
    assert AccountShare().share(2, 0.0) == 0.5


def test_idle_accounts_are_forgotten_and_debtors_kept(monkeypatch):
    monkeypatch.setattr(service, "MAX_TRACKED_ACCOUNTS", 2)
    monkeypatch.setattr(service.time, "monotonic", lambda: 1_000.0)
    limits = AccountLimiter(Kernel())
    limits.admit_share(Limit("debtor", tokens_per_s=1.0), "debtor", 9_999, 1.0, 0.0)
    limits.admit_share(Limit("idle", requests_per_s=9.0), "idle", 1, 1.0, 0.0)
    for account in ("debtor", "idle"):
        limits.release(account)
    limits.admit_share(Limit("new"), "new", 1, 1.0, 1_000.0)
    assert set(limits.usages) == {"debtor", "new"}


def test_stale_demand_is_forgotten():
    share = AccountShare()
    share.peer_demands["gone"] = PeerDemand(50.0, 0.0)
    share.remove_stale(100.0)
    assert share.peer_demands == {}
