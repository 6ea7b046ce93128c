"""Tables of beacons as packed rows, little-endian."""

import socket
import struct
from itertools import chain
from typing import Iterable, Mapping

from rosemaryyoke.fleet import OwnLoad, PromptRead, ReadPart, upstream_key
from rosemaryyoke.hosts.identity import HostState
from rosemaryyoke.http1 import Address

UPSTREAM_KEY_ROW = struct.Struct("<I")  # an upstream's key
LOAD_ROW = struct.Struct("<IfII")  # key, requests under way, prefill tokens, tokens
READ_HEADER = struct.Struct("<I?B")  # key, whether it was saved, number of parts
PART_ROW = struct.Struct("<QI")  # a part's key, its tokens
ADDRESS_ROW = struct.Struct("!4sH")  # IP, port
HOST_HEADER = struct.Struct(
    "<QQQ???B"
)  # boot, sequence, configuration, flags, name size


def encode_upstream_names(names: Iterable[str]) -> bytes:
    """Return the table of upstreams' names."""
    return b"".join(UPSTREAM_KEY_ROW.pack(upstream_key(name)) for name in names)


def decode_upstream_names(
    data: bytes, names_by_key: Mapping[int, str]
) -> tuple[str, ...]:
    """Return the names of a table that are known."""
    keys = chain.from_iterable(UPSTREAM_KEY_ROW.iter_unpack(data))
    return tuple(names_by_key[key] for key in keys if key in names_by_key)


def encode_loads(loads: Iterable[OwnLoad]) -> bytes:
    """Return the table of loads."""
    return b"".join(
        LOAD_ROW.pack(
            upstream_key(load.upstream), load.running, load.prefill_tokens, load.tokens
        )
        for load in loads
    )


def decode_loads(data: bytes, names_by_key: Mapping[int, str]) -> tuple[OwnLoad, ...]:
    """Return the loads of a table, but for upstreams that are not known."""
    return tuple(
        OwnLoad(names_by_key[key], running, prefill_tokens, tokens)
        for key, running, prefill_tokens, tokens in LOAD_ROW.iter_unpack(data)
        if key in names_by_key
    )


def encode_reads(reads: Iterable[PromptRead]) -> bytes:
    """Return the table of reads; each is a head and a row for each part."""
    rows = []
    for read in reads:
        key = upstream_key(read.upstream)
        rows.append(READ_HEADER.pack(key, read.saved, len(read.parts)))
        rows += [PART_ROW.pack(part.key, part.tokens) for part in read.parts]
    return b"".join(rows)


def decode_reads(
    data: bytes, names_by_key: Mapping[int, str]
) -> tuple[PromptRead, ...]:
    """Return the reads of a table, but for upstreams that are not known."""
    reads, offset = [], 0
    while offset < len(data):
        key, saved, count = READ_HEADER.unpack_from(data, offset)
        offset += READ_HEADER.size
        end = offset + count * PART_ROW.size
        parts = tuple(ReadPart(*row) for row in PART_ROW.iter_unpack(data[offset:end]))
        offset = end
        if key in names_by_key:
            reads.append(PromptRead(names_by_key[key], parts, saved))
    return tuple(reads)


def encode_address(address: Address) -> bytes:
    """Return the row of an address."""
    return ADDRESS_ROW.pack(socket.inet_aton(address.ip), address.port)


def decode_address(data: bytes, offset: int) -> Address:
    """Return the address of a row."""
    ip, port = ADDRESS_ROW.unpack_from(data, offset)
    return Address(socket.inet_ntoa(ip), port)


def encode_hosts(hosts: Iterable[HostState]) -> bytes:
    """Return the table of hosts; each is a head, a name and two addresses."""
    rows = []
    for host in hosts:
        name = host.host.encode()
        flags = host.ready, host.leaving, host.store_reachable
        rows += [
            HOST_HEADER.pack(
                host.boot, host.sequence, host.configuration, *flags, len(name)
            ),
            name,
            encode_address(host.client_address),
            encode_address(host.peer_address),
        ]
    return b"".join(rows)


def decode_hosts(data: bytes, data_centre: str) -> tuple[HostState, ...]:
    """Return the hosts of a table, which are of one data centre."""
    hosts, offset = [], 0
    while offset < len(data):
        boot, sequence, configuration, ready, leaving, answers, size = (
            HOST_HEADER.unpack_from(data, offset)
        )
        offset += HOST_HEADER.size
        name = data[offset : offset + size].decode()
        offset += size
        client_address = decode_address(data, offset)
        peer_address = decode_address(data, offset + ADDRESS_ROW.size)
        offset += 2 * ADDRESS_ROW.size
        hosts.append(
            HostState(
                name,
                boot,
                sequence,
                client_address,
                peer_address,
                data_centre,
                ready,
                leaving,
                answers,
                configuration,
            )
        )
    return tuple(hosts)
