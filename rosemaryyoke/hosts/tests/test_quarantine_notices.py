"""What hosts tell each other of prompts that crash engines."""

import time

import pytest

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core.ages import MAX_AGE_MS, age_ms
from rosemaryyoke.fleet import Fleet
from rosemaryyoke.hosts import BeaconService, HostTable
from rosemaryyoke.hosts.beacons import (
    BANS_PER_NOTICE,
    OUTCOMES_PER_NOTICE,
    QUARANTINE_NOTICE,
)
from rosemaryyoke.hosts.codec import (
    Digest,
    MalformedBeacon,
    QuarantineNotice,
    decode_beacon,
    decode_digest,
    decode_notice,
    encode_beacon,
    encode_digest,
    encode_notice,
)
from rosemaryyoke.hosts.tests.test_table import OWN, make_beacon
from rosemaryyoke.quarantine import Ban, PromptOutcome
from rosemaryyoke.quarantine.outcomes import MAX_KEYS
from rosemaryyoke.quarantine.quarantine import MAX_REPORTED_BANS

MAX_DATAGRAM_BYTES = 1_400  # below the size at which IP fragments a datagram
HOSTS = 195
ROUNDING_S = 0.05


def make_outcome(request=1, keys=(5, 2**64 - 1), age_s=1.5, crashed=True):
    ended_s = time.monotonic() - age_s
    sent_s = ended_s - 0.5
    return PromptOutcome(request, 2**32 - 1, tuple(keys), sent_s, ended_s, crashed)


def test_notice_round_trip():
    outcomes = make_outcome(), make_outcome(2, (7,), crashed=False)
    bans = (Ban(frozenset({1, 2}), time.monotonic() - 20.0, 3),)
    notice = decode_notice(encode_notice(QuarantineNotice("h1", outcomes, bans)))
    assert notice.host == "h1"
    for sent, received in zip(outcomes, notice.outcomes, strict=True):
        assert (sent.request, sent.upstream, sent.keys, sent.crashed) == (
            received.request,
            received.upstream,
            received.keys,
            received.crashed,
        )
        assert abs(sent.sent_s - received.sent_s) < ROUNDING_S
        assert abs(sent.ended_s - received.ended_s) < ROUNDING_S
    (ban,) = notice.bans
    assert (ban.keys, ban.level) == (bans[0].keys, 3)
    assert abs(ban.began_s - bans[0].began_s) < ROUNDING_S


def test_beacons_and_digests_repeat_bans():
    bans = (Ban(frozenset({1, 2}), time.monotonic() - 20.0, 3),)
    beacon = decode_beacon(encode_beacon(make_beacon(2, bans=bans)), {})
    digest = decode_digest(encode_digest(Digest("z2", has_loads=True, bans=bans)), {})
    for message in (beacon, digest):
        (ban,) = message.bans
        assert (ban.keys, ban.level) == (bans[0].keys, 3)


def test_full_notices_fit_into_a_datagram():
    keys = tuple(2**64 - number for number in range(1, MAX_KEYS + 1))
    outcomes = tuple(make_outcome(n, keys) for n in range(OUTCOMES_PER_NOTICE))
    bans = tuple(Ban(frozenset(keys), 0.0, 9) for _ in range(BANS_PER_NOTICE))
    for notice in (
        QuarantineNotice("front-kamloops-1", outcomes=outcomes),
        QuarantineNotice("front-kamloops-1", bans=bans),
    ):
        assert len(encode_notice(notice)) < MAX_DATAGRAM_BYTES
    assert BANS_PER_NOTICE >= MAX_REPORTED_BANS


@pytest.mark.parametrize("cut", [1, 5, 9])
def test_truncated_rows_are_malformed(cut):
    data = encode_notice(QuarantineNotice("h1", (make_outcome(),)))
    with pytest.raises(MalformedBeacon):
        decode_notice(data[:-cut])


def test_ban_without_parts_is_malformed():
    notice = QuarantineNotice("h1", bans=(Ban(frozenset(), 0.0),))
    with pytest.raises(MalformedBeacon):
        decode_notice(encode_notice(notice))


def test_age_is_bounded():
    assert age_ms(10.0, 5.0) == 0
    assert age_ms(0.0, 1e9) == MAX_AGE_MS


class Outgoing:
    """A socket that keeps what is sent."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        """Keep a datagram."""
        self.sent.append((data, address))


# Guards against hosts of other data centres that learn of crashes by slow digests only.
def test_crash_is_told_to_all_hosts_of_a_large_fleet_at_once():
    now_s = time.monotonic()
    table = HostTable(OWN, "h1", "z1")
    for number in range(2, HOSTS + 1):
        centre = f"z{number % 6}"
        table.update_host(make_beacon(number, data_centre=centre), now_s, True)
    service = BeaconService(table, Fleet(Catalog()), None)
    service.udp_socket = Outgoing()
    # A host ignores crashes from before its own start.
    other = BeaconService(table, Fleet(Catalog()), None)
    service.fleet.quarantine.record_crash(make_outcome(age_s=0.0))
    service.send_due_notices()
    sent = service.udp_socket.sent
    assert len({address for _, address in sent}) == len(sent) == HOSTS - 1
    assert all(data.startswith(QUARANTINE_NOTICE) for data, _ in sent)
    other.handle_datagram(sent[0][0][:1], sent[0][0][1:])
    assert len(other.fleet.quarantine.evidence.crashes) == 1
