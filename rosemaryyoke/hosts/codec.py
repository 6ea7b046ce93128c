"""Beacons as datagrams, encoded with Cap'n Proto."""

from pathlib import Path
from typing import Mapping

import capnp
from attrs import frozen

from rosemaryyoke.fleet import OwnLoad, PromptRead, ReadPart, upstream_key
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
        loading=[upstream_key(name) for name in beacon.loading],
    )
    for item, load in zip(message.init("loads", len(beacon.loads)), beacon.loads):
        item.upstream = upstream_key(load.upstream)
        item.running = load.running
        item.prefill = load.prefill_tokens
        item.tokens = load.tokens
    for item, read in zip(message.init("reads", len(beacon.reads)), beacon.reads):
        item.upstream = upstream_key(read.upstream)
        item.keys = [part.key for part in read.parts]
        item.tokens = [part.tokens for part in read.parts]
        item.saved = read.saved
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
            tuple(
                OwnLoad(
                    upstreams[item.upstream], item.running, item.prefill, item.tokens
                )
                for item in message.loads
                if item.upstream in upstreams
            ),
            tuple(Address.parse(item) for item in message.known),
            tuple(upstreams[key] for key in message.loading if key in upstreams),
            tuple(
                decode_read(item, upstreams[item.upstream])
                for item in message.reads
                if item.upstream in upstreams
            ),
        )
    except (capnp.KjException, ValueError, OSError, MemoryError) as error:
        raise MalformedBeacon(str(error)) from error


def decode_read(item, upstream: str) -> PromptRead:
    """Return a read of a beacon."""
    parts = tuple(ReadPart(*pair) for pair in zip(item.keys, item.tokens))
    return PromptRead(upstream, parts, item.saved)
