"""Liveness of hosts, and the addresses returned to clients."""

import pytest
from attrs import evolve

from rosemaryyoke.fleet import UpstreamLoad, upstream_key
from rosemaryyoke.hosts import Beacon, HostTable
from rosemaryyoke.hosts.codec import MalformedBeacon, decode_beacon, encode_beacon
from rosemaryyoke.http1 import Address

OWN = Address("10.0.0.1", 70)


def make_beacon(number, sequence=1, boot=1, data_centre="z1", **changes):
    """Return a beacon for the host of a number."""
    ip = f"10.0.0.{number}"
    return Beacon(
        f"h{number}",
        boot,
        sequence,
        Address(ip, 80),
        Address(ip, 70),
        data_centre,
        **{"ready": True, **changes},
    )


def make_table(*beacons, at_s=0.0):
    """Return a table that has received the given beacons."""
    table = HostTable(OWN, "h1", "z1")
    for beacon in beacons:
        table.update_from_beacon(beacon, at_s)
    return table


def addresses(table, own=None, data_centre="z1", now_s=0.0):
    found = table.client_addresses(data_centre, own or make_beacon(1), now_s)
    return [address.ip for address in found]


def test_beacon_round_trip():
    beacon = make_beacon(
        2,
        leaving=True,
        store_reachable=True,
        configuration=9,
        loads=(UpstreamLoad("e1", 1, 2, 3),),
        known_addresses=(OWN,),
        loading=("e1",),
        departures=(7, 2**64 - 1),
    )
    data = encode_beacon(beacon)
    assert decode_beacon(data, {upstream_key("e1"): "e1"}) == beacon
    unknown = decode_beacon(data, {})
    assert (unknown.loads, unknown.loading) == ((), ())


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff" * 40, b"nonsense" * 20])
def test_beacon_malformed(data):
    with pytest.raises(MalformedBeacon):
        decode_beacon(data, {})


def test_table_ignores_stale_beacons():
    table = make_table(make_beacon(2, sequence=5))
    assert not table.update_from_beacon(make_beacon(2, sequence=4, leaving=True), 0.1)
    assert table.update_from_beacon(make_beacon(2, sequence=1, boot=2), 0.2)


def test_table_silent_host_is_not_live():
    table = make_table(make_beacon(2))
    assert [peer.beacon.host for peer in table.live_peers(1.0)] == ["h2"]
    assert table.live_peers(2.0) == []


def test_client_addresses_prefer_data_centre():
    far, near = make_beacon(2, data_centre="z2"), make_beacon(3)
    assert addresses(make_table(far, near)) == ["10.0.0.1", "10.0.0.3"]
    assert addresses(make_table(far, near), data_centre="z2") == [
        "10.0.0.2",
        "10.0.0.1",
        "10.0.0.3",
    ]


def test_client_addresses_omit_leaving_and_unready_hosts():
    leaving = make_beacon(2, leaving=True)
    starting = make_beacon(3, ready=False)
    assert addresses(make_table(leaving, starting)) == ["10.0.0.1"]
    own = evolve(make_beacon(1), leaving=True)
    assert addresses(make_table(make_beacon(4)), own) == ["10.0.0.4"]


def test_destinations_reach_every_address_in_turn():
    table = make_table(make_beacon(2, known_addresses=(Address("10.0.0.9", 70),)))
    table.add_candidates([Address(f"10.0.1.{n}", 70) for n in range(7)], 0.0)
    reached = set()
    for round_number in range(4):
        reached.update(
            str(item) for item in table.beacon_destinations(0.5, round_number)
        )
    assert len(reached) == 9


def test_table_logs_liveness_changes(caplog):
    caplog.set_level("INFO", logger="absl")
    table = make_table(make_beacon(2), make_beacon(3))
    assert table.log_changes(0.1) == 2
    table.update_from_beacon(make_beacon(2, sequence=2), 1.5)
    assert table.log_changes(2.0) == 1
    logged = [(r.getMessage(), r.fields["host"]) for r in caplog.records]
    assert sorted(logged) == [
        ("host came", "h2"),
        ("host came", "h3"),
        ("host gone", "h3"),
    ]
    assert caplog.records[-1].fields["silence_s"] == 2.0
