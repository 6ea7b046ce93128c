"""Digests that aggregate a data centre's hosts for the other data centres."""

from itertools import islice
from typing import Iterable, Iterator

from rosemaryyoke.fleet import Fleet, PromptPrefill, SpeedReport
from rosemaryyoke.hosts.codec import Beacon, Digest
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.table import HostTable

HOSTS_PER_DATAGRAM = 20  # keeps a datagram below the size at which IP fragments it
READS_PER_DATAGRAM = 24


def make_digests(
    table: HostTable,
    fleet: Fleet,
    own: Beacon,
    reads: Iterable[PromptPrefill],
    now_s: float,
    with_hosts: bool = True,
    speeds: tuple[SpeedReport, ...] = (),
) -> Iterator[Digest]:
    """Return the parts of this data centre's digest, one for each datagram.

    Loads come first, because they age fastest.
    """
    data_centre = own.data_centre
    local_peers = table.local_peers(table.live_peers(now_s))
    names = {peer.beacon.host for peer in local_peers}
    loading = {*own.loading, *fleet.loading_upstreams(names)}
    loads = tuple(fleet.combined_loads(names))
    yield Digest(
        data_centre,
        has_loads=True,
        loads=loads,
        loading=tuple(loading),
        silent=tuple(fleet.silent_upstreams(names)),
        departures=fleet.departures(),
        bans=fleet.quarantine.reported_bans(),
        limits=fleet.limit_reports(),
        brittle=fleet.brittle_reports(),
        speeds=speeds,
    )
    if with_hosts:
        hosts = [own, *(peer.beacon for peer in local_peers)]
        yield from make_host_digests(data_centre, hosts)
    for part in batched(reads, READS_PER_DATAGRAM):
        yield Digest(data_centre, reads=part)


def make_host_digests(data_centre: str, hosts: Iterable[HostState]) -> Iterator[Digest]:
    """Return the parts of a digest that contain only host states."""
    for part in batched(hosts, HOSTS_PER_DATAGRAM):
        yield Digest(data_centre, hosts=part)


def batched(items: Iterable, size: int) -> Iterator[tuple]:
    """Split the items into tuples of ``size``; the last may be shorter."""
    iterator = iter(items)
    while part := tuple(islice(iterator, size)):
        yield part
