from hypothesis import given, settings, strategies as st

from rosemaryyoke.placement import Scope, hash_blocks
from rosemaryyoke.placement.blocks import BLOCK_BYTES

EXAMPLES = 300
NAMES = st.text(max_size=6)
SCOPES = st.builds(Scope, NAMES, NAMES, NAMES, NAMES)


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(SCOPES, SCOPES, st.text(min_size=BLOCK_BYTES, max_size=400))
def test_blocks_of_two_scopes_never_match(one, other, prompt):
    shared = set(hash_blocks(one, prompt)) & set(hash_blocks(other, prompt))
    assert bool(shared) == (one == other)


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(SCOPES, st.binary(max_size=400), st.binary(max_size=400))
def test_blocks_match_as_far_as_text_does(scope, left, right):
    left, right = left.decode("latin-1"), right.decode("latin-1")
    raw = left.encode(), right.encode()
    equal = 0
    while (
        equal + BLOCK_BYTES <= min(len(raw[0]), len(raw[1]))
        and raw[0][: equal + BLOCK_BYTES] == raw[1][: equal + BLOCK_BYTES]
    ):
        equal += BLOCK_BYTES
    pairs = list(zip(hash_blocks(scope, left), hash_blocks(scope, right)))
    matching = [one == other for one, other in pairs]
    assert matching == [True] * (equal // BLOCK_BYTES) + [False] * (
        len(pairs) - equal // BLOCK_BYTES
    )
