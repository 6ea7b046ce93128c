"""What a host tells other data centres of all hosts of its own."""

from itertools import islice
from typing import Iterable, Iterator

from rosemaryyoke.fleet import Fleet, PromptPrefill
from rosemaryyoke.hosts.codec import Beacon, Digest
from rosemaryyoke.hosts.identity import HostIdentity
from rosemaryyoke.hosts.table import HostTable

HOSTS_TOLD = 20  # in one datagram, which is not to be cut into fragments
READS_TOLD = 24


def make_digests(
    table: HostTable,
    fleet: Fleet,
    own: Beacon,
    reads: Iterable[PromptPrefill],
    now_s: float,
) -> Iterator[Digest]:
    """Return the parts of a digest, each for a datagram of its own."""
    centre = own.data_centre
    near = table.near(table.live(now_s))
    names = {peer.beacon.host for peer in near}
    yield from digest_hosts(centre, [own, *(peer.beacon for peer in near)])
    loading = {*own.loading, *fleet.loading_upstreams(names)}
    loads = tuple(fleet.combined_loads(names))
    yield Digest(
        centre,
        tells_loads=True,
        loads=loads,
        loading=tuple(loading),
        silent=tuple(fleet.silent_upstreams(names)),
    )
    for part in slices(reads, READS_TOLD):
        yield Digest(centre, reads=part)


def digest_hosts(data_centre: str, hosts: Iterable[HostIdentity]) -> Iterator[Digest]:
    """Return the parts of a digest that tell of the hosts alone."""
    for part in slices(hosts, HOSTS_TOLD):
        yield Digest(data_centre, hosts=part)


def slices(items: Iterable, size: int) -> Iterator[tuple]:
    """Return the items in tuples of a size, the last of which may be shorter."""
    iterator = iter(items)
    while part := tuple(islice(iterator, size)):
        yield part
