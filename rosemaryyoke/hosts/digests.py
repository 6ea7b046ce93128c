"""What a host tells other data centres of all hosts of its own."""

from itertools import islice
from typing import Iterable, Iterator

from rosemaryyoke.fleet import Fleet, PromptRead
from rosemaryyoke.hosts.codec import Beacon, Digest
from rosemaryyoke.hosts.identity import HostState
from rosemaryyoke.hosts.table import HostTable

HOSTS_PER_DATAGRAM = 20  # in one datagram, which is not to be cut into fragments
READS_PER_DATAGRAM = 24


def make_digests(
    table: HostTable,
    fleet: Fleet,
    own: Beacon,
    reads: Iterable[PromptRead],
    now_s: float,
) -> Iterator[Digest]:
    """Return the parts of a digest, each for a datagram of its own."""
    data_centre = own.data_centre
    near = table.local_peers(table.live_peers(now_s))
    names = {peer.beacon.host for peer in near}
    yield from make_host_digests(data_centre, [own, *(peer.beacon for peer in near)])
    loading = {*own.loading, *fleet.loading_of(names)}
    loads = tuple(fleet.loads_of(names))
    yield Digest(
        data_centre,
        has_loads=True,
        loads=loads,
        loading=tuple(loading),
        silent=tuple(fleet.silent_of(names)),
    )
    for part in batched(reads, READS_PER_DATAGRAM):
        yield Digest(data_centre, reads=part)


def make_host_digests(data_centre: str, hosts: Iterable[HostState]) -> Iterator[Digest]:
    """Return the parts of a digest that tell of the hosts alone."""
    for part in batched(hosts, HOSTS_PER_DATAGRAM):
        yield Digest(data_centre, hosts=part)


def batched(items: Iterable, size: int) -> Iterator[tuple]:
    """Return the items in tuples of a size, the last of which may be shorter."""
    iterator = iter(items)
    while part := tuple(islice(iterator, size)):
        yield part
