"""KV cache stores: shared prompts that exceed the capacity of a single store."""

from hypothesis import given, settings, strategies as st

from rosemaryyoke.catalog import ServiceTraits
from rosemaryyoke.fleet.cache_estimate import HashedPart, hash_parts
from rosemaryyoke.fleet.stores import USABLE_CAPACITY_SHARE, CacheStores, StoreEstimate
from rosemaryyoke.fleet.tests.builders import NOW_S, make_ask
from rosemaryyoke.http1 import Address

PARTS = hash_parts(b"s:1", make_ask().parts)
CAPACITY = 100_000


def make_stores(count, tokens=CAPACITY):
    services = [
        ServiceTraits(f"s{n}", store=Address("127.0.0.1", n + 1), store_tokens=tokens)
        for n in range(count)
    ]
    stores = CacheStores()
    stores.refresh(services)
    return stores


def prompt(session):
    return (HashedPart(1, 2_520), HashedPart(1_000 + session, 3_780))


def test_store_estimate_expires_so_that_parts_are_saved_again():
    cache_estimate = StoreEstimate(Address("127.0.0.1", 9), CAPACITY)
    cache_estimate.add(PARTS[:1], NOW_S)
    assert cache_estimate.cached_prefix_tokens(PARTS, NOW_S + 11.0) == 2_520
    assert cache_estimate.cached_prefix_tokens(PARTS, NOW_S + 12.0) == 0


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.lists(st.integers(0, 9), min_size=1, max_size=4), max_size=40))
def test_store_estimate_stays_within_its_capacity(prompts):
    cache_estimate = StoreEstimate(Address("127.0.0.1", 9), 1_000)
    for number, keys in enumerate(prompts):
        cache_estimate.add([HashedPart(key, 150) for key in keys], NOW_S + number)
        assert cache_estimate.tokens <= 1_000
        assert cache_estimate.tokens == sum(
            tokens for _, tokens in cache_estimate.saved.values()
        )


def test_stores_together_hold_what_one_does_not():
    sessions = range(40)
    held = {}
    for count in (1, 3):
        stores = make_stores(count)
        for session in sessions:
            stores.store_for_prompt(prompt(session)).add(prompt(session), NOW_S)
        held[count] = sum(
            stores.store_for_prompt(prompt(n)).cached_prefix_tokens(prompt(n), NOW_S)
            == 6_300
            for n in sessions
        )
    assert held[1] <= CAPACITY * USABLE_CAPACITY_SHARE / 3_780
    assert held[3] == len(sessions)


def test_stores_of_a_prompt_are_the_same_at_every_host():
    one, other = make_stores(3), make_stores(3)
    for session in range(100):
        address = one.store_for_prompt(prompt(session)).address
        assert other.store_for_prompt(prompt(session)).address == address


def test_stores_share_the_prompts_evenly():
    stores = make_stores(3)
    counts = {address: 0 for address in stores.by_address}
    for session in range(900):
        counts[str(stores.store_for_prompt(prompt(session)).address)] += 1
    assert all(200 < count < 400 for count in counts.values())


def test_stores_that_stay_keep_what_they_hold():
    stores = make_stores(3)
    cache_estimate = stores.store_for_prompt(prompt(7))
    cache_estimate.add(prompt(7), NOW_S)
    stores.refresh(
        [ServiceTraits("s", store=cache_estimate.address, store_tokens=CAPACITY)]
    )
    assert list(stores.by_address.values()) == [cache_estimate]
    assert (
        stores.store_for_prompt(prompt(7)).cached_prefix_tokens(prompt(7), NOW_S)
        == 6_300
    )


def test_stores_none_declared():
    assert make_stores(0).store_for_prompt(prompt(1)) is None
