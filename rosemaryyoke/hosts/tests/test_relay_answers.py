"""A follower leaves a host whose catalog can't be decoded for another one."""

import time
import zlib

import pytest
from attrs import define
from result import Ok

from rosemaryyoke.hosts.compression import MAX_TEXT_BYTES
from rosemaryyoke.hosts.relay import (
    CatalogRelay,
    decode_changes,
    encode_changes,
)
from rosemaryyoke.hosts.tests.test_eras import (
    make_catalog,
    make_transfer,
    make_upstream,
)
from rosemaryyoke.hosts.tests.test_table import make_beacon
from rosemaryyoke.http1 import Address, Response

WHOLE = encode_changes(make_catalog(make_upstream("e1")), "", 1)


@define
class BrokenHost:
    """Answers polls with given bytes."""

    body: bytes
    address: Address

    def request(self, method, target, body=None, timeout_s=1.0, headers=()):
        """Answer a poll."""
        return Ok(Response(200, self.body))

    def close(self):
        """Close the connection."""


# Guards against a task that fails, or takes all memory, for one host's answer.
@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"no catalog",
        WHOLE[: len(WHOLE) // 2],
        zlib.compress(b"no document"),
        zlib.compress(b" " * (MAX_TEXT_BYTES + 1)),
    ],
    ids=["empty", "text", "half", "no JSON", "too large"],
)
def test_host_with_a_malformed_catalog_is_avoided(body):
    catalog = make_catalog(make_upstream("e1"))
    transfer = make_transfer(catalog)
    peer = make_beacon(2)
    relay = CatalogRelay(transfer.roles, catalog, transfer)
    relay.client = BrokenHost(body, peer.peer_address)
    assert not relay.poll_peer(peer)
    assert transfer.roles.avoid_until_s[peer.host] > time.monotonic()


# Guards against a position that the upstreams do not match, from hosts of any build.
def test_position_is_that_of_the_upstreams_that_were_applied():
    newer = make_catalog(make_upstream("e1"), make_upstream("e2"))
    newer.upstreams_position = 7
    catalog = make_catalog(make_upstream("e1"))
    transfer = make_transfer(catalog)
    whole = decode_changes(encode_changes(newer, "", 1))
    assert transfer.apply(whole, 0.0) and catalog.upstreams_position == 7
    newer.upstreams_position = 9
    same = decode_changes(encode_changes(newer, newer.generation, 1))
    assert transfer.apply(same, 0.0) and catalog.upstreams_position == 9
    assert transfer.apply({**whole, "position": 11}, None)
    assert catalog.upstreams_position == 9  # an old view is not taken
    whole.pop("position")
    assert transfer.apply(whole, 0.0) and catalog.upstreams_position is None
