"""Beacons as datagrams, encoded with Cap'n Proto."""

import struct
from pathlib import Path
from typing import Mapping

import capnp
from attrs import frozen

from rosemaryyoke.fleet import PromptPrefill, UpstreamLoad
from rosemaryyoke.hosts.identity import HostIdentity
from rosemaryyoke.hosts.tables import (
    decode_hosts,
    decode_loads,
    decode_names,
    decode_reads,
    encode_hosts,
    encode_loads,
    encode_names,
    encode_reads,
)
from rosemaryyoke.http1 import Address

SCHEMA = capnp.load(str(Path(__file__).with_name("beacon.capnp")))


class MalformedBeacon(Exception):
    """A datagram that is no beacon."""


@frozen
class Beacon(HostIdentity):
    """What a host tells of itself.

    ``loading`` names the upstreams that the host ordered to load weights, ``silent``
    those from which it gets no answers.
    """

    loads: tuple[UpstreamLoad, ...] = ()
    known: tuple[Address, ...] = ()
    loading: tuple[str, ...] = ()
    reads: tuple[PromptPrefill, ...] = ()
    silent: tuple[str, ...] = ()


@frozen
class Digest:
    """A part of what is told of all hosts of a data centre; loads are their sums."""

    data_centre: str
    hosts: tuple[HostIdentity, ...] = ()
    tells_loads: bool = False
    loads: tuple[UpstreamLoad, ...] = ()
    loading: tuple[str, ...] = ()
    reads: tuple[PromptPrefill, ...] = ()
    silent: tuple[str, ...] = ()


def encode_beacon(beacon: Beacon) -> bytes:
    """Return a beacon's datagram."""
    message = SCHEMA.Beacon.new_message(
        host=beacon.host,
        boot=beacon.boot,
        sequence=beacon.sequence,
        callers=str(beacon.callers),
        peers=str(beacon.peers),
        dataCentre=beacon.data_centre,
        ready=beacon.ready,
        leaving=beacon.leaving,
        storeAnswers=beacon.store_answers,
        configuration=beacon.configuration,
        known=[str(address) for address in beacon.known],
        loads=encode_loads(beacon.loads),
        loading=encode_names(beacon.loading),
        reads=encode_reads(beacon.reads),
        silent=encode_names(beacon.silent),
    )
    return message.to_bytes_packed()


def decode_beacon(data: bytes, upstreams: Mapping[int, str]) -> Beacon:
    """Return the beacon of a datagram; raise ``MalformedBeacon``.

    ``upstreams`` are names by their keys; what is told of others is left out.
    """
    try:
        message = SCHEMA.Beacon.from_bytes_packed(data)
        return Beacon(
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
            decode_loads(message.loads, upstreams),
            tuple(Address.parse(item) for item in message.known),
            decode_names(message.loading, upstreams),
            decode_reads(message.reads, upstreams),
            decode_names(message.silent, upstreams),
        )
    except (capnp.KjException, struct.error, ValueError, OSError, MemoryError) as error:
        raise MalformedBeacon(str(error)) from error


def encode_digest(digest: Digest) -> bytes:
    """Return a digest's datagram."""
    return SCHEMA.Digest.new_message(
        dataCentre=digest.data_centre,
        hosts=encode_hosts(digest.hosts),
        tellsLoads=digest.tells_loads,
        loads=encode_loads(digest.loads),
        loading=encode_names(digest.loading),
        reads=encode_reads(digest.reads),
        silent=encode_names(digest.silent),
    ).to_bytes_packed()


def decode_digest(data: bytes, upstreams: Mapping[int, str]) -> Digest:
    """Return the digest of a datagram; raise ``MalformedBeacon``."""
    try:
        message = SCHEMA.Digest.from_bytes_packed(data)
        data_centre = message.dataCentre
        return Digest(
            data_centre,
            decode_hosts(message.hosts, data_centre),
            message.tellsLoads,
            decode_loads(message.loads, upstreams),
            decode_names(message.loading, upstreams),
            decode_reads(message.reads, upstreams),
            decode_names(message.silent, upstreams),
        )
    except (capnp.KjException, struct.error, ValueError, OSError, MemoryError) as error:
        raise MalformedBeacon(str(error)) from error
