"""Beacons as datagrams, encoded with Cap'n Proto."""

import struct
from pathlib import Path
from typing import Mapping

import capnp
from attrs import frozen

from rosemaryyoke.fleet import OwnLoad, PromptRead
from rosemaryyoke.hosts.tables import (
    decode_loads,
    decode_names,
    decode_reads,
    encode_loads,
    encode_names,
    encode_reads,
)
from rosemaryyoke.http1 import Address

SCHEMA = capnp.load(str(Path(__file__).with_name("beacon.capnp")))


class MalformedBeacon(Exception):
    """A datagram that is no beacon."""


@frozen
class Beacon:
    """What a host tells of itself.

    ``boot`` names one start of the process; a greater ``sequence`` of it is newer.
    ``loading`` names the upstreams that the host ordered to load weights.
    """

    host: str
    boot: int
    sequence: int
    callers: Address
    peers: Address
    data_centre: str
    ready: bool = False
    leaving: bool = False
    store_answers: bool = False
    configuration: int = 0
    loads: tuple[OwnLoad, ...] = ()
    known: tuple[Address, ...] = ()
    loading: tuple[str, ...] = ()
    reads: tuple[PromptRead, ...] = ()


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
        )
    except (capnp.KjException, struct.error, ValueError, OSError, MemoryError) as error:
        raise MalformedBeacon(str(error)) from error
