"""Pattern: prompts share more than one KV cache store holds, and there are several."""

from hypothesis import given, settings, strategies as st

from rosemaryyoke.catalog import ServiceTraits
from rosemaryyoke.fleet.belief import ReadPart, read_parts
from rosemaryyoke.fleet.stores import CAPACITY_SHARE, CacheStores, StoreBelief
from rosemaryyoke.fleet.tests.builders import NOW_S, make_ask
from rosemaryyoke.http1 import Address

PARTS = read_parts(b"s:1", make_ask().parts)
CAPACITY = 100_000


def make_stores(count, tokens=CAPACITY):
    services = [
        ServiceTraits(f"s{n}", store=Address("127.0.0.1", n + 1), store_tokens=tokens)
        for n in range(count)
    ]
    stores = CacheStores()
    stores.follow(services)
    return stores


def prompt(session):
    return (ReadPart(1, 2_520), ReadPart(1_000 + session, 3_780))


def test_store_belief_ends_so_that_parts_are_saved_anew():
    belief = StoreBelief(Address("127.0.0.1", 9), CAPACITY)
    belief.add(PARTS[:1], NOW_S)
    assert belief.held_tokens(PARTS, NOW_S + 11.0) == 2_520
    assert belief.held_tokens(PARTS, NOW_S + 12.0) == 0


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.lists(st.integers(0, 9), min_size=1, max_size=4), max_size=40))
def test_store_belief_stays_within_its_capacity(prompts):
    belief = StoreBelief(Address("127.0.0.1", 9), 1_000)
    for number, keys in enumerate(prompts):
        belief.add([ReadPart(key, 150) for key in keys], NOW_S + number)
        assert belief.tokens <= 1_000
        assert belief.tokens == sum(tokens for _, tokens in belief.saved.values())


def test_stores_together_hold_what_one_does_not():
    sessions = range(40)
    held = {}
    for count in (1, 3):
        stores = make_stores(count)
        for session in sessions:
            stores.of_prompt(prompt(session)).add(prompt(session), NOW_S)
        held[count] = sum(
            stores.of_prompt(prompt(n)).held_tokens(prompt(n), NOW_S) == 6_300
            for n in sessions
        )
    assert held[1] <= CAPACITY * CAPACITY_SHARE / 3_780
    assert held[3] == len(sessions)


def test_stores_of_a_prompt_are_the_same_at_every_host():
    one, other = make_stores(3), make_stores(3)
    for session in range(100):
        address = one.of_prompt(prompt(session)).address
        assert other.of_prompt(prompt(session)).address == address


def test_stores_share_the_prompts_evenly():
    stores = make_stores(3)
    counts = {address: 0 for address in stores.by_address}
    for session in range(900):
        counts[str(stores.of_prompt(prompt(session)).address)] += 1
    assert all(200 < count < 400 for count in counts.values())


def test_stores_that_stay_keep_what_they_hold():
    stores = make_stores(3)
    belief = stores.of_prompt(prompt(7))
    belief.add(prompt(7), NOW_S)
    stores.follow([ServiceTraits("s", store=belief.address, store_tokens=CAPACITY)])
    assert list(stores.by_address.values()) == [belief]
    assert stores.of_prompt(prompt(7)).held_tokens(prompt(7), NOW_S) == 6_300


def test_stores_none_declared():
    assert make_stores(0).of_prompt(prompt(1)) is None
