"""Packed binary rows for the tables of beacons and digests.

Rows are little-endian; addresses are in network byte order.
"""

import math
import socket
import struct
from itertools import chain
from typing import Iterable, Mapping

from attrs import evolve

from rosemaryyoke.core.ages import MAX_AGE_MS, age_ms, time_of_age
from rosemaryyoke.fleet import (
    BrittleReport,
    HashedPart,
    LimitReport,
    PromptPrefill,
    UpstreamLoad,
    upstream_key,
)
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.http1 import Address

NO_LIMIT = -1.0
UPSTREAM_KEY_ROW = struct.Struct("<I")  # upstream key
BRITTLE_ROW = struct.Struct("<II")  # service key, age in ms
SERVICE_KEY_ROW = struct.Struct("<I")
# Position of the host in its table, whether it is cut off, number of service keys.
UNREACHABLE_HEADER = struct.Struct("<B?H")
INCARNATION_KEY_ROW = struct.Struct("<Q")  # key of an upstream's incarnation
LOAD_ROW = struct.Struct("<IfII")  # upstream key, requests, prefill tokens, tokens
# Upstream key, requests a second (negative if there is no limit any more), age in ms.
LIMIT_ROW = struct.Struct("<IdI")
READ_HEADER = struct.Struct("<I?B")  # upstream key, saved flag, part count
PART_ROW = struct.Struct("<QI")  # part key, token count
ADDRESS_ROW = struct.Struct("!4sH")  # IPv4 address, port
VIEW_ROW = struct.Struct("<?I")  # whether the host reads the store, age of its view
# Boot, sequence, configuration, ready, leaving, store reachable, name length.
HOST_HEADER = struct.Struct("<QQQ???B")


def encode_upstream_names(names: Iterable[str]) -> bytes:
    """Encode upstream names as a table of their keys."""
    return b"".join(UPSTREAM_KEY_ROW.pack(upstream_key(name)) for name in names)


def decode_upstream_names(
    data: bytes, names_by_key: Mapping[int, str]
) -> tuple[str, ...]:
    """Decode a table of upstream keys, ignoring unknown keys."""
    keys = chain.from_iterable(UPSTREAM_KEY_ROW.iter_unpack(data))
    return tuple(names_by_key[key] for key in keys if key in names_by_key)


def encode_brittle(reports: Iterable[BrittleReport], now_s: float) -> bytes:
    """Encode a table of the services with brittle upstreams."""
    return b"".join(
        BRITTLE_ROW.pack(item.service_key, age_ms(item.observed_s, now_s))
        for item in reports
    )


def decode_brittle(data: bytes, now_s: float) -> tuple[BrittleReport, ...]:
    """Decode a table of the services with brittle upstreams."""
    return tuple(
        BrittleReport(key, time_of_age(age, now_s))
        for key, age in BRITTLE_ROW.iter_unpack(data)
    )


def encode_services(keys: Iterable[int]) -> bytes:
    """Encode a table of the keys of services."""
    return b"".join(SERVICE_KEY_ROW.pack(key) for key in sorted(keys))


def decode_services(data: bytes) -> frozenset[int]:
    """Decode a table of the keys of services."""
    return frozenset(chain.from_iterable(SERVICE_KEY_ROW.iter_unpack(data)))


def encode_unreachable(hosts: Iterable[HostState]) -> bytes:
    """Encode which services hosts do not reach; those that reach all have no row."""
    return b"".join(
        UNREACHABLE_HEADER.pack(position, host.cut_off, len(host.unreachable))
        + encode_services(host.unreachable)
        for position, host in enumerate(hosts)
        if host.unreachable
    )


def add_unreachable(hosts: tuple[HostState, ...], data: bytes) -> tuple[HostState, ...]:
    """Return the hosts with the services that they do not reach."""
    changed, offset = list(hosts), 0
    while offset < len(data):
        position, cut_off, count = UNREACHABLE_HEADER.unpack_from(data, offset)
        offset += UNREACHABLE_HEADER.size
        end = offset + count * SERVICE_KEY_ROW.size
        if position >= len(changed) or end > len(data):
            raise ValueError("a row for a host that is not in the table")
        changed[position] = evolve(
            changed[position],
            unreachable=decode_services(data[offset:end]),
            cut_off=cut_off,
        )
        offset = end
    return tuple(changed)


def encode_views(hosts: Iterable[HostState], now_s: float) -> bytes:
    """Encode a table of the hosts' views of the store, one row for each host."""
    return b"".join(
        VIEW_ROW.pack(
            host.reads_store,
            (
                MAX_AGE_MS
                if math.isinf(host.view_as_of_s)
                else age_ms(host.view_as_of_s, now_s)
            ),
        )
        for host in hosts
    )


def add_views(
    hosts: tuple[HostState, ...], data: bytes, now_s: float
) -> tuple[HostState, ...]:
    """Return the hosts with their views; earlier builds send none."""
    if not data:
        return hosts
    rows = [*VIEW_ROW.iter_unpack(data)]
    if len(rows) != len(hosts):
        raise ValueError(f"{len(rows)} views of {len(hosts)} hosts")
    return tuple(
        evolve(
            host,
            reads_store=reads_store,
            view_as_of_s=-math.inf if age == MAX_AGE_MS else time_of_age(age, now_s),
        )
        for host, (reads_store, age) in zip(hosts, rows)
    )


def encode_incarnations(keys: Iterable[int]) -> bytes:
    """Encode a table of the keys of upstreams' incarnations."""
    return b"".join(INCARNATION_KEY_ROW.pack(key) for key in keys)


def decode_incarnations(data: bytes) -> tuple[int, ...]:
    """Decode a table of the keys of upstreams' incarnations."""
    return tuple(chain.from_iterable(INCARNATION_KEY_ROW.iter_unpack(data)))


def encode_loads(loads: Iterable[UpstreamLoad]) -> bytes:
    """Encode a table of upstream loads."""
    return b"".join(
        LOAD_ROW.pack(
            upstream_key(load.upstream), load.running, load.prefill_tokens, load.tokens
        )
        for load in loads
    )


def decode_loads(
    data: bytes, names_by_key: Mapping[int, str]
) -> tuple[UpstreamLoad, ...]:
    """Decode a table of loads, ignoring unknown upstreams."""
    return tuple(
        UpstreamLoad(names_by_key[key], running, prefill_tokens, tokens)
        for key, running, prefill_tokens, tokens in LOAD_ROW.iter_unpack(data)
        if key in names_by_key
    )


def encode_limits(reports: Iterable[LimitReport], now_s: float) -> bytes:
    """Encode a table of the limits that upstreams name."""
    return b"".join(
        LIMIT_ROW.pack(
            upstream_key(report.upstream),
            NO_LIMIT if report.limit_per_s is None else report.limit_per_s,
            age_ms(report.observed_s, now_s),
        )
        for report in reports
    )


def decode_limits(
    data: bytes, names_by_key: Mapping[int, str], now_s: float
) -> tuple[LimitReport, ...]:
    """Decode a table of limits, ignoring unknown upstreams."""
    return tuple(
        LimitReport(
            names_by_key[key],
            limit_per_s if limit_per_s >= 0.0 else None,
            time_of_age(age, now_s),
        )
        for key, limit_per_s, age in LIMIT_ROW.iter_unpack(data)
        if key in names_by_key
    )


def encode_reads(reads: Iterable[PromptPrefill]) -> bytes:
    """Encode a table of prompt reads: a header and one row per part for each."""
    rows = []
    for read in reads:
        key = upstream_key(read.upstream)
        rows.append(READ_HEADER.pack(key, read.saved, len(read.parts)))
        rows += [PART_ROW.pack(part.key, part.tokens) for part in read.parts]
    return b"".join(rows)


def decode_reads(
    data: bytes, names_by_key: Mapping[int, str]
) -> tuple[PromptPrefill, ...]:
    """Decode a table of prompt reads, ignoring unknown upstreams."""
    reads, offset = [], 0
    while offset < len(data):
        key, saved, count = READ_HEADER.unpack_from(data, offset)
        offset += READ_HEADER.size
        end = offset + count * PART_ROW.size
        parts = tuple(
            HashedPart(*row) for row in PART_ROW.iter_unpack(data[offset:end])
        )
        offset = end
        if key in names_by_key:
            reads.append(PromptPrefill(names_by_key[key], parts, saved))
    return tuple(reads)


def encode_address(address: Address) -> bytes:
    """Encode an address as a row."""
    return ADDRESS_ROW.pack(socket.inet_aton(address.ip), address.port)


def decode_address(data: bytes, offset: int) -> Address:
    """Decode the address row at an offset."""
    ip, port = ADDRESS_ROW.unpack_from(data, offset)
    return Address(socket.inet_ntoa(ip), port)


def encode_hosts(hosts: Iterable[HostState]) -> bytes:
    """Encode a table of hosts: a header, a name and two addresses for each."""
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
    """Decode a table of hosts, all of which are in one data centre."""
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
