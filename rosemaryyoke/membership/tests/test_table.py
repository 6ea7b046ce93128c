"""Stateful test: tables that exchange entries converge."""

from attrs import evolve
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from rosemaryyoke.membership import FAILED, SUSPECT, Member, MemberTable

NAMES = ("a", "b", "c")


def first_entry(name, incarnation=1):
    return Member(name, f"http-{name}", f"peer-{name}", "dc", incarnation)


class Tables(RuleBasedStateMachine):
    """Three hosts whose entries are delivered reordered, duplicated or late."""

    def __init__(self):
        super().__init__()
        self.tables = {name: MemberTable(first_entry(name)) for name in NAMES}
        self.in_flight = []
        self.highest = {}

    @rule(source=st.sampled_from(NAMES))
    def send(self, source):
        self.in_flight.extend(self.tables[source].all())

    @rule(receiver=st.sampled_from(NAMES), pick=st.integers(0, 1000))
    def deliver(self, receiver, pick):
        if self.in_flight:
            entry = self.in_flight[pick % len(self.in_flight)]
            self.tables[receiver].merge(entry)

    @rule(
        judge=st.sampled_from(NAMES),
        name=st.sampled_from(NAMES),
        standing=st.sampled_from([SUSPECT, FAILED]),
    )
    def judge(self, judge, name, standing):
        self.tables[judge].mark(name, standing)

    @rule(name=st.sampled_from(NAMES), revision=st.integers(1, 9))
    def report(self, name, revision):
        mine = self.tables[name].local_member.revision
        self.tables[name].update_local(revision=max(mine, revision))

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        incarnation = self.tables[name].local_member.incarnation + 1
        self.tables[name] = MemberTable(first_entry(name, incarnation))

    @invariant()
    def own_entry_is_live(self):
        for name, table in self.tables.items():
            assert table.local_member.live

    @invariant()
    def entry_precedence_never_decreases(self):
        for holder, table in self.tables.items():
            for member in table.all():
                key = (holder, table.local_member.incarnation, member.name)
                before = self.highest.get(key)
                assert before is None or member.precedence() >= before
                self.highest[key] = member.precedence()

    def teardown(self):
        for _ in range(4):
            entries = [e for table in self.tables.values() for e in table.all()]
            for table in self.tables.values():
                for entry in entries:
                    table.merge(entry)
        for name in NAMES:
            seen = {table.members.get(name) for table in self.tables.values()}
            assert seen == {self.tables[name].local_member}


Tables.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
TestTables = Tables.TestCase


def test_short_update_of_unknown_incarnation_is_ignored():
    table = MemberTable(first_entry("a"))
    short = evolve(first_entry("b"), address="", peer_address="", data_centre="")
    assert table.merge(short) is None
    assert table.merge(first_entry("b")).name == "b"
