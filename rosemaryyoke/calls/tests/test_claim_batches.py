"""Guards against reporting a claim as held when its batch was not stored.

Writes or their responses are lost, and two hosts write the same claims.
"""

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryyoke.calls.tests.builders import (
    ClaimStore,
    holds_key,
    make_claim,
    make_shard,
)
from rosemaryyoke.objects import updates


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr(updates.time, "sleep", lambda seconds: None)


def test_claim_batch_of_which_one_came_by_another_path():
    """A lost write must not count as applied because one of its claims is stored."""
    store = ClaimStore(faults=["drop"])
    here, elsewhere = make_shard(store), make_shard(store)
    first, second = make_claim("1", "a"), make_claim("2", "b")
    duplicate = make_claim("1", "a")
    store.before_read = [lambda: None, lambda: elsewhere.write([duplicate])]
    here.write([first, second])
    assert holds_key(first) and holds_key(second)
    assert store.token_of(second.digest) == "b"


def test_claim_batch_whose_answer_was_lost():
    store = ClaimStore(faults=["lose"])
    claims = [make_claim("1", "a"), make_claim("2", "b")]
    make_shard(store).write(claims)
    assert all(holds_key(claim) for claim in claims)
    assert store.versions == 1


class TwoWriters(RuleBasedStateMachine):
    """Two hosts that write batches of claims while writes or responses are lost."""

    def __init__(self):
        super().__init__()
        self.store = ClaimStore()
        self.shards = [make_shard(self.store), make_shard(self.store)]
        self.claims = []
        self.sleep = updates.time.sleep
        updates.time.sleep = lambda seconds: None

    def teardown(self):
        updates.time.sleep = self.sleep

    def new_claims(self, keys):
        made = [
            make_claim(key, f"t{len(self.claims) + n}") for n, key in enumerate(keys)
        ]
        self.claims.extend(made)
        return made

    @rule(
        writer=st.integers(0, 1),
        keys=st.lists(st.sampled_from("123456"), min_size=1, max_size=3, unique=True),
        faults=st.lists(st.sampled_from(["", "drop", "lose"]), max_size=3),
    )
    def write(self, writer, keys, faults):
        self.store.faults = faults
        self.shards[writer].write(self.new_claims(keys))

    @rule(
        keys=st.lists(st.sampled_from("123456"), min_size=2, max_size=3, unique=True),
        faults=st.lists(st.sampled_from(["", "drop", "lose"]), max_size=3),
    )
    def write_by_two_paths(self, keys, faults):
        """The first claim of a lost batch is also written by the other host."""
        batch = self.new_claims(keys)
        duplicate = make_claim(keys[0], batch[0].token)
        self.store.before_read = [
            lambda: None,
            lambda: self.shards[1].write([duplicate]),
        ]
        self.store.faults = ["drop", *faults]
        self.shards[0].write(batch)
        self.store.before_read = []

    @invariant()
    def a_won_claim_stands(self):
        for claim in self.claims:
            if holds_key(claim):
                assert self.store.token_of(claim.digest) == claim.token


TwoWriters.TestCase.settings = settings(
    max_examples=300, stateful_step_count=12, derandomize=True, deadline=None
)
TestTwoWriters = TwoWriters.TestCase
