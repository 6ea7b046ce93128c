"""Tables of beacons as packed rows, little-endian."""

import socket
import struct
from itertools import chain
from typing import Iterable, Mapping

from rosemaryyoke.fleet import HashedPart, PromptPrefill, UpstreamLoad, upstream_key
from rosemaryyoke.hosts.identity import HostIdentity
from rosemaryyoke.http1 import Address

NAME_ROW = struct.Struct("<I")  # an upstream's key
LOAD_ROW = struct.Struct("<IfII")  # key, requests under way, prefill tokens, tokens
READ_HEAD = struct.Struct("<I?B")  # key, whether it was saved, number of parts
PART_ROW = struct.Struct("<QI")  # a part's key, its tokens
ADDRESS_ROW = struct.Struct("!4sH")  # IP, port
HOST_HEAD = struct.Struct("<QQQ???B")  # boot, sequence, configuration, flags, name size


def encode_names(names: Iterable[str]) -> bytes:
    """Return the table of upstreams' names."""
    return b"".join(NAME_ROW.pack(upstream_key(name)) for name in names)


def decode_names(data: bytes, upstreams: Mapping[int, str]) -> tuple[str, ...]:
    """Return the names of a table that are known."""
    keys = chain.from_iterable(NAME_ROW.iter_unpack(data))
    return tuple(upstreams[key] for key in keys if key in upstreams)


def encode_loads(loads: Iterable[UpstreamLoad]) -> bytes:
    """Return the table of loads."""
    return b"".join(
        LOAD_ROW.pack(
            upstream_key(load.upstream), load.running, load.prefill_tokens, load.tokens
        )
        for load in loads
    )


def decode_loads(data: bytes, upstreams: Mapping[int, str]) -> tuple[UpstreamLoad, ...]:
    """Return the loads of a table, but for upstreams that are not known."""
    return tuple(
        UpstreamLoad(upstreams[key], running, prefill_tokens, tokens)
        for key, running, prefill_tokens, tokens in LOAD_ROW.iter_unpack(data)
        if key in upstreams
    )


def encode_reads(reads: Iterable[PromptPrefill]) -> bytes:
    """Return the table of reads; each is a head and a row for each part."""
    rows = []
    for read in reads:
        key = upstream_key(read.upstream)
        rows.append(READ_HEAD.pack(key, read.saved, len(read.parts)))
        rows += [PART_ROW.pack(part.key, part.tokens) for part in read.parts]
    return b"".join(rows)


def decode_reads(
    data: bytes, upstreams: Mapping[int, str]
) -> tuple[PromptPrefill, ...]:
    """Return the reads of a table, but for upstreams that are not known."""
    reads, place = [], 0
    while place < len(data):
        key, saved, count = READ_HEAD.unpack_from(data, place)
        place += READ_HEAD.size
        end = place + count * PART_ROW.size
        parts = tuple(HashedPart(*row) for row in PART_ROW.iter_unpack(data[place:end]))
        place = end
        if key in upstreams:
            reads.append(PromptPrefill(upstreams[key], parts, saved))
    return tuple(reads)


def encode_address(address: Address) -> bytes:
    """Return the row of an address."""
    return ADDRESS_ROW.pack(socket.inet_aton(address.ip), address.port)


def decode_address(data: bytes, place: int) -> Address:
    """Return the address of a row."""
    ip, port = ADDRESS_ROW.unpack_from(data, place)
    return Address(socket.inet_ntoa(ip), port)


def encode_hosts(hosts: Iterable[HostIdentity]) -> bytes:
    """Return the table of hosts; each is a head, a name and two addresses."""
    rows = []
    for host in hosts:
        name = host.host.encode()
        flags = host.ready, host.leaving, host.store_answers
        rows += [
            HOST_HEAD.pack(
                host.boot, host.sequence, host.configuration, *flags, len(name)
            ),
            name,
            encode_address(host.callers),
            encode_address(host.peers),
        ]
    return b"".join(rows)


def decode_hosts(data: bytes, data_centre: str) -> tuple[HostIdentity, ...]:
    """Return the hosts of a table, which are of one data centre."""
    hosts, place = [], 0
    while place < len(data):
        boot, sequence, configuration, ready, leaving, answers, size = (
            HOST_HEAD.unpack_from(data, place)
        )
        place += HOST_HEAD.size
        name = data[place : place + size].decode()
        place += size
        callers = decode_address(data, place)
        peers = decode_address(data, place + ADDRESS_ROW.size)
        place += 2 * ADDRESS_ROW.size
        hosts.append(
            HostIdentity(
                name,
                boot,
                sequence,
                callers,
                peers,
                data_centre,
                ready,
                leaving,
                answers,
                configuration,
            )
        )
    return tuple(hosts)
