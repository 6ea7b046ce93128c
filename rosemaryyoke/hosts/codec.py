"""Encode and decode beacons and digests as Cap'n Proto datagrams."""

import struct
import time
from pathlib import Path
from typing import Any, Mapping

import capnp
from attrs import frozen

from rosemaryyoke.fleet import BrittleReport, LimitReport, PromptPrefill, UpstreamLoad
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.packed_rows import (
    add_unreachable,
    add_views,
    decode_brittle,
    decode_hosts,
    decode_incarnations,
    decode_limits,
    decode_loads,
    decode_reads,
    decode_services,
    decode_upstream_names,
    encode_brittle,
    encode_hosts,
    encode_incarnations,
    encode_limits,
    encode_loads,
    encode_reads,
    encode_services,
    encode_unreachable,
    encode_upstream_names,
    encode_views,
)
from rosemaryyoke.http1 import Address
from rosemaryyoke.quarantine import Ban, PromptOutcome
from rosemaryyoke.quarantine.rows import (
    decode_bans,
    decode_outcomes,
    encode_bans,
    encode_fingerprints,
    encode_outcomes,
)

SCHEMA = capnp.load(str(Path(__file__).with_name("beacon.capnp")))


DECODING_ERRORS = (
    capnp.KjException,
    struct.error,
    ValueError,
    OSError,
    MemoryError,
)


class MalformedBeacon(Exception):
    """A datagram that cannot be decoded as a beacon or a digest."""


@frozen
class Beacon(HostState):
    """The state that a host broadcasts about itself.

    ``loading`` names the upstreams that the host ordered to load weights, ``silent``
    those that do not respond to it. ``departures`` are the keys of the incarnations of
    upstreams that announced their leaving. ``era`` is the newest era of the store that
    is known to the host.
    """

    loads: tuple[UpstreamLoad, ...] = ()
    known_addresses: tuple[Address, ...] = ()
    loading: tuple[str, ...] = ()
    reads: tuple[PromptPrefill, ...] = ()
    silent: tuple[str, ...] = ()
    departures: tuple[int, ...] = ()
    era: int = 0
    bans: tuple[Ban, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    brittle: tuple[BrittleReport, ...] = ()


@frozen
class Digest:
    """One part of the aggregated state of a data centre; loads are sums over hosts."""

    data_centre: str
    hosts: tuple[HostState, ...] = ()
    has_loads: bool = False
    loads: tuple[UpstreamLoad, ...] = ()
    loading: tuple[str, ...] = ()
    reads: tuple[PromptPrefill, ...] = ()
    silent: tuple[str, ...] = ()
    departures: tuple[int, ...] = ()
    bans: tuple[Ban, ...] = ()
    limits: tuple[LimitReport, ...] = ()
    brittle: tuple[BrittleReport, ...] = ()


@frozen
class QuarantineNotice:
    """What a host tells all others about prompts that crash engines."""

    host: str
    outcomes: tuple[PromptOutcome, ...] = ()
    bans: tuple[Ban, ...] = ()


def encode_beacon(beacon: Beacon) -> bytes:
    """Encode a beacon as a datagram."""
    message = SCHEMA.Beacon.new_message(
        host=beacon.host,
        boot=beacon.boot,
        sequence=beacon.sequence,
        callers=str(beacon.client_address),
        peers=str(beacon.peer_address),
        dataCentre=beacon.data_centre,
        ready=beacon.ready,
        leaving=beacon.leaving,
        storeAnswers=beacon.store_reachable,
        configuration=beacon.configuration,
        known=[str(address) for address in beacon.known_addresses],
        loads=encode_loads(beacon.loads),
        loading=encode_upstream_names(beacon.loading),
        reads=encode_reads(beacon.reads),
        silent=encode_upstream_names(beacon.silent),
        departures=encode_incarnations(beacon.departures),
        era=beacon.era,
        bans=encode_bans(beacon.bans, time.monotonic()),
        limits=encode_limits(beacon.limits, time.monotonic()),
        unreachable=encode_services(beacon.unreachable),
        brittle=encode_brittle(beacon.brittle, time.monotonic()),
        cutOff=beacon.cut_off,
        view=encode_views([beacon], time.monotonic()),
    )
    return message.to_bytes_packed()


def decode_beacon(data: bytes, names_by_key: Mapping[int, str]) -> Beacon:
    """Decode a beacon; raise ``MalformedBeacon`` if the datagram is invalid.

    Rows for upstreams whose key is not in ``names_by_key`` are ignored.
    """
    try:
        message = SCHEMA.Beacon.from_bytes_packed(data)
        beacon = Beacon(
            message.host,
            message.boot,
            message.sequence,
            Address.parse(message.callers),
            Address.parse(message.peers),
            message.dataCentre,
            message.ready,
            message.leaving,
            message.storeAnswers,
            message.configuration,
            decode_loads(message.loads, names_by_key),
            tuple(Address.parse(item) for item in message.known),
            decode_upstream_names(message.loading, names_by_key),
            decode_reads(message.reads, names_by_key),
            decode_upstream_names(message.silent, names_by_key),
            decode_incarnations(message.departures),
            message.era,
            decode_bans(message.bans, time.monotonic()),
            decode_limits(message.limits, names_by_key, time.monotonic()),
            brittle=decode_brittle(message.brittle, time.monotonic()),
            unreachable=decode_services(message.unreachable),
            cut_off=message.cutOff,
        )
        return add_views((beacon,), message.view, time.monotonic())[0]
    except DECODING_ERRORS as error:
        raise MalformedBeacon(str(error)) from error


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest as a datagram."""
    return SCHEMA.Digest.new_message(
        dataCentre=digest.data_centre,
        hosts=encode_hosts(digest.hosts),
        tellsLoads=digest.has_loads,
        loads=encode_loads(digest.loads),
        loading=encode_upstream_names(digest.loading),
        reads=encode_reads(digest.reads),
        silent=encode_upstream_names(digest.silent),
        departures=encode_incarnations(digest.departures),
        bans=encode_bans(digest.bans, time.monotonic()),
        limits=encode_limits(digest.limits, time.monotonic()),
        unreachable=encode_unreachable(digest.hosts),
        brittle=encode_brittle(digest.brittle, time.monotonic()),
        views=encode_views(digest.hosts, time.monotonic()),
    ).to_bytes_packed()


def decode_digest(data: bytes, names_by_key: Mapping[int, str]) -> Digest:
    """Decode a digest; raise ``MalformedBeacon`` if the datagram is invalid."""
    try:
        message = SCHEMA.Digest.from_bytes_packed(data)
        data_centre = message.dataCentre
        return Digest(
            data_centre,
            decode_digest_hosts(message),
            message.tellsLoads,
            decode_loads(message.loads, names_by_key),
            decode_upstream_names(message.loading, names_by_key),
            decode_reads(message.reads, names_by_key),
            decode_upstream_names(message.silent, names_by_key),
            decode_incarnations(message.departures),
            decode_bans(message.bans, time.monotonic()),
            decode_limits(message.limits, names_by_key, time.monotonic()),
            decode_brittle(message.brittle, time.monotonic()),
        )
    except DECODING_ERRORS as error:
        raise MalformedBeacon(str(error)) from error


def decode_digest_hosts(message: Any) -> tuple[HostState, ...]:
    """Decode the hosts of a digest, each with what other tables say of it."""
    hosts = decode_hosts(message.hosts, message.dataCentre)
    hosts = add_unreachable(hosts, message.unreachable)
    return add_views(hosts, message.views, time.monotonic())


def encode_notice(notice: QuarantineNotice) -> bytes:
    """Encode a notice as a datagram."""
    now_s = time.monotonic()
    return SCHEMA.QuarantineNotice.new_message(
        host=notice.host,
        outcomes=encode_outcomes(notice.outcomes, now_s),
        bans=encode_bans(notice.bans, now_s),
        fingerprints=encode_fingerprints(notice.outcomes),
    ).to_bytes_packed()


def decode_notice(data: bytes) -> QuarantineNotice:
    """Decode a notice; raise ``MalformedBeacon`` if the datagram is invalid."""
    now_s = time.monotonic()
    try:
        message = SCHEMA.QuarantineNotice.from_bytes_packed(data)
        return QuarantineNotice(
            message.host,
            decode_outcomes(message.outcomes, now_s, message.fingerprints),
            decode_bans(message.bans, now_s),
        )
    except DECODING_ERRORS as error:
        raise MalformedBeacon(str(error)) from error
