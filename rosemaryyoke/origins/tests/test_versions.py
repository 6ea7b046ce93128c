"""Which software versions of a service a host has seen."""

import pytest

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.http1 import Address
from rosemaryyoke.origins import OriginMemory, ServedVersions, decode_origins
from rosemaryyoke.origins.memory import MAX_ORIGINS, RETENTION_S
from rosemaryyoke.origins.rows import OriginRow, encode_origins
from rosemaryyoke.origins.versions import EARLIER_VERSION_S

START_S = 1_000.0


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.at_s = START_S

    def __call__(self):
        return self.at_s


def make_upstream(software, service="llm"):
    """Return an upstream of a software version."""
    address = Address("127.0.0.1", 1)
    return Upstream(f"e-{software}", service, address, "z1", 4, software=software)


@pytest.fixture()
def clock():
    return Clock()


@pytest.fixture()
def served(clock):
    return ServedVersions(now_s=clock)


def test_only_version_is_sole(served):
    assert served.update([make_upstream("v1"), make_upstream("v1")]) == set()
    assert served.find_sole(["llm"]) == "v1" and not served.is_mixed(["llm"])
    assert served.find_sole(["other"]) is None


def test_services_with_one_version_each_may_be_mixed(served):
    served.update([make_upstream("v1", "a"), make_upstream("v2", "b")])
    assert served.is_mixed(["a", "b"]) and served.find_sole(["a", "b"]) is None
    assert served.find_sole(["a"]) == "v1" and not served.is_mixed(["b"])


def test_second_version_is_told_once(served):
    served.update([make_upstream("v1")])
    both = [make_upstream("v1"), make_upstream("v2"), make_upstream("v9", "records")]
    assert served.update(both) == {"llm"} and served.update(both) == set()
    assert served.is_mixed(["llm"]) and not served.is_mixed(["records"])


# Guards against streams of a version that has just gone, which go on at the other.
def test_version_that_is_gone_counts_for_some_time(served, clock):
    served.update([make_upstream("v1"), make_upstream("v2")])
    served.update([make_upstream("v2")])
    clock.at_s += RETENTION_S - 1
    assert served.find_sole(["llm"]) is None
    clock.at_s += 2
    assert served.find_sole(["llm"]) == "v2"


def test_version_that_served_alone_is_the_earlier_one_for_some_time(served, clock):
    served.update([make_upstream("v1")])
    clock.at_s += 10.0
    served.update([make_upstream("v1"), make_upstream("v2")])
    assert served.find_earlier(["llm"]) == "v1"
    clock.at_s += EARLIER_VERSION_S
    assert served.find_earlier(["llm"]) is None


# Guards against a guess of a host that has just started.
def test_versions_known_from_the_start_have_no_earlier_one(served, clock):
    served.update([make_upstream("v1")])
    clock.at_s += 0.2
    served.update([make_upstream("v1"), make_upstream("v2")])
    assert served.find_earlier(["llm"]) is None
    assert not served.knows_history()


def test_memory_is_bounded_and_forgets(clock):
    memory = OriginMemory()
    for number in range(MAX_ORIGINS + 10):
        memory.record(number, 1, clock.at_s, is_own=True)
    assert len(memory.origins) == MAX_ORIGINS and memory.find(0, clock.at_s) is None
    assert memory.find(MAX_ORIGINS, clock.at_s).origin == 1
    clock.at_s += RETENTION_S + 1
    assert memory.find(MAX_ORIGINS, clock.at_s) is None
    memory.expire(clock.at_s)
    assert not memory.origins


def test_first_origin_of_a_stream_holds(clock):
    memory = OriginMemory()
    memory.record(1, 5, clock.at_s, is_own=True)
    memory.learn([OriginRow(1, 6, clock.at_s)])
    assert memory.find(1, clock.at_s).origin == 5
    assert memory.own_rows(clock.at_s) == [OriginRow(1, 5, clock.at_s)]


def test_rows_keep_ages():
    rows = (OriginRow(1, 2, 999.5), OriginRow(3, 4, 990.0))
    assert decode_origins(encode_origins(rows, 1_000.0), 1_000.0) == rows
    with pytest.raises(ValueError):
        decode_origins(b"123", 1_000.0)
