import string

from hypothesis import given, settings, strategies as st

from rosemaryyoke.rules import join_chunks, parse_rules, split_chunks

FUZZ_EXAMPLES = 500
MODEL = "model name=m weights=v1 # Ana, first model\n"


def faults_of(text):
    return [fault.located("r") for fault in parse_rules(text).unwrap_err()]


def test_rules_good():
    rules = parse_rules(MODEL + "route model=m # Ana, start\n", 7).unwrap()
    assert rules.revision == 7
    assert rules.find_route("m", "anyone").ttft_ms == 1200


def test_rules_comment_required():
    (fault,) = faults_of("model name=m weights=v1\n")
    assert fault.startswith("r:1:24: a comment with the requester is missing")


def test_rules_comment_without_requester():
    (fault,) = faults_of("model name=m weights=v1 # , why\n")
    assert "does not name a requester" in fault


def test_rules_all_faults_with_columns():
    text = MODEL + "limit account=* concurrency=many # Ana, x\nfoo a=b # Ana, x\n"
    faults = faults_of(text)
    assert faults[0].startswith("r:2:29: concurrency: expected a non-negative integer")
    assert faults[1].startswith("r:3:1: unknown verb 'foo'")


def test_rules_unknown_reference():
    (fault,) = faults_of("route model=absent # Ana, x\n")
    assert "no model is named 'absent'" in fault


def test_rules_duplicate():
    (fault,) = faults_of(MODEL + MODEL)
    assert fault == "r:2:1: already defined on line 1"


def test_rules_account_route_has_precedence():
    account = f"account name=a key_sha256={'0' * 64} # Ana, x\n"
    routes = "route model=m # Ana, x\nroute model=m account=a priority=3 # Ana, x\n"
    rules = parse_rules(MODEL + account + routes).unwrap()
    assert rules.find_route("m", "a").priority == 3
    assert rules.find_route("m", "b").priority == 1


@settings(max_examples=FUZZ_EXAMPLES, derandomize=True, deadline=None)
@given(st.text(alphabet=string.printable + "é\u2028\x00", max_size=200))
def test_rules_fuzz_never_raises(text):
    assert parse_rules(text) is not None


@settings(max_examples=FUZZ_EXAMPLES, derandomize=True, deadline=None)
@given(st.lists(st.text(alphabet="ab #=\n", max_size=9), max_size=60))
def test_chunks_join_to_text(parts):
    text = "\n".join(parts)
    assert join_chunks(split_chunks(text)) == text


def test_chunks_edit_changes_at_most_two():
    lines = [f"account name=a{number} # Ana, x\n" for number in range(2000)]
    before = {chunk.digest for chunk in split_chunks("".join(lines))}
    lines[777] = "account name=other # Ana, x\n"
    after = {chunk.digest for chunk in split_chunks("".join(lines))}
    assert len(before) > 10
    assert len(after - before) <= 2
