"""Property tests of the radix index against a naive model."""

from hypothesis import given, settings, strategies as st

from rosemaryyoke.placement import EngineView, Fleet, PrefixIndex

EXAMPLES = 300
BLOCK_LISTS = st.lists(st.integers(0, 2), min_size=1, max_size=8)
ENGINES = ("a", "b", "c")
ACTIONS = st.lists(st.tuples(st.sampled_from(ENGINES), BLOCK_LISTS), max_size=25)


def chained(blocks):
    """Return block hashes, each of which covers all blocks before it."""
    return [bytes(blocks[: end + 1]) for end in range(len(blocks))]


def common(one, other):
    count = 0
    while count < min(len(one), len(other)) and one[count] == other[count]:
        count += 1
    return count


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(ACTIONS, BLOCK_LISTS)
def test_hit_blocks_equal_longest_common_prefix(actions, wanted):
    fleet = Fleet({name: EngineView(name, "1") for name in ENGINES})
    for engine, blocks in actions:
        fleet.record_computed_prefix(engine, "1", chained(blocks))
    matches = fleet.index.match_prefix(chained(wanted))
    for engine in ENGINES:
        held = [blocks for name, blocks in actions if name == engine]
        naive = max((common(blocks, wanted) for blocks in held), default=0)
        assert fleet.hit_blocks(fleet.engines[engine], matches) == naive


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(st.lists(BLOCK_LISTS, max_size=30))
def test_index_stays_within_its_bounds(chains):
    index = PrefixIndex(max_blocks=12, max_nodes=5)
    for blocks in chains:
        index.insert(chained(blocks))
        assert index.blocks <= 12
        assert len(index.lru_nodes) <= 5
        counted = sum(len(node.hashes) for node in index.lru_nodes.values())
        assert counted == index.blocks


def test_restarted_engine_holds_nothing():
    fleet = Fleet({"a": EngineView("a", "1")})
    chain = chained([1, 2, 1])
    fleet.record_computed_prefix("a", "1", chain)
    assert fleet.hit_blocks(fleet.engines["a"], fleet.index.match_prefix(chain)) == 3
    fleet.set_incarnation(fleet.engines["a"], "2")
    assert fleet.hit_blocks(fleet.engines["a"], fleet.index.match_prefix(chain)) == 0


def test_belief_expires_with_the_engines_insertions():
    fleet = Fleet({"a": EngineView("a", "1", cache_blocks=100)})
    chain = chained([1, 2])
    fleet.record_computed_prefix("a", "1", chain)
    fleet.engines["a"].apply_load_report(0.0, 101, 1.0)
    assert fleet.hit_blocks(fleet.engines["a"], fleet.index.match_prefix(chain)) == 0
