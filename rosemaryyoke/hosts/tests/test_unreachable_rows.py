"""What hosts tell each other of services that they do not reach."""

import struct

import pytest
from attrs import evolve

from rosemaryyoke.fleet import service_key
from rosemaryyoke.hosts.codec import (
    Digest,
    MalformedBeacon,
    decode_digest,
    encode_digest,
)
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.packed_rows import UNREACHABLE_HEADER, add_unreachable
from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.http1 import Address


def make_host(number, **changes):
    address = Address("10.0.0.1", 1000 + number)
    host = HostState(f"h{number}", 1, 1, address, address, "z1", ready=True)
    return evolve(host, **changes)


def test_digest_tells_what_each_host_does_not_reach():
    keys = frozenset(map(service_key, ("llm", "records")))
    hosts = [make_host(number) for number in range(20)]
    hosts[7] = evolve(hosts[7], unreachable=keys, cut_off=True)
    hosts[19] = evolve(hosts[19], unreachable=frozenset([service_key("llm")]))
    digest = Digest("z1", hosts=tuple(hosts))
    assert decode_digest(encode_digest(digest), {}).hosts == digest.hosts


def test_digest_of_hosts_that_reach_all_has_no_rows():
    hosts = tuple(make_host(number) for number in range(20))
    one_cut = (evolve(hosts[0], unreachable=frozenset([1])), *hosts[1:])
    plain, cut = (encode_digest(Digest("z1", hosts=item)) for item in (hosts, one_cut))
    assert 0 < len(cut) - len(plain) < 24


@pytest.mark.parametrize(
    "data",
    (b"\1", UNREACHABLE_HEADER.pack(3, True, 0), UNREACHABLE_HEADER.pack(0, True, 9)),
)
def test_invalid_rows_are_refused(data):
    with pytest.raises((ValueError, struct.error)):
        add_unreachable((make_host(0),), data)


def test_beacon_of_random_bytes_is_malformed():
    with pytest.raises(MalformedBeacon):
        decode_digest(b"\xff" * 40, {})


def test_lookups_leave_out_cut_off_hosts_unless_all_are():
    table = HostTable(Address("10.0.0.1", 1), "h0", "z1")
    own = make_host(0)
    table.update_host(make_host(1, cut_off=True), 0.0, from_digest=False)
    table.update_host(make_host(2), 0.0, from_digest=False)

    def names():
        return {item.port for item in table.client_addresses("z1", own, 0.1)}

    assert names() == {1000, 1002}
    own = evolve(own, cut_off=True)
    assert names() == {1002}
    table.update_host(make_host(2, sequence=2, cut_off=True), 0.0, from_digest=False)
    assert names() == {1000, 1001, 1002}


def test_callers_of_a_cut_off_data_centre_get_hosts_of_others():
    table = HostTable(Address("10.0.0.1", 1), "h0", "z1")
    own = make_host(0, cut_off=True)
    table.update_host(make_host(1, cut_off=True), 0.0, from_digest=False)
    for number in (2, 3):
        other = make_host(number, data_centre="z2")
        table.update_host(other, 0.0, from_digest=False)
    addresses = table.client_addresses("z1", own, 0.1)
    assert {item.port for item in addresses} == {1002, 1003}
