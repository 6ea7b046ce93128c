"""Overlay topology: the peers to which a host opens links.

Hosts are ordered on a ring by the hash of their name, and each links to successors at
geometrically growing offsets. Updates reach N hosts in O(log N) hops over a bounded
number of links. Based on Stoica et al., "Chord", 2001.
"""

import hashlib
from typing import Iterable

OFFSET_BASE = 6
MAX_LINKS = 4


def ring_position(name: str) -> bytes:
    """Return a host's position on the ring, a hash of its name."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def link_targets(local_name: str, names: Iterable[str]) -> list[str]:
    """Return the names of the hosts to which the local host opens links."""
    ring = sorted({local_name, *names}, key=ring_position)
    position = ring.index(local_name)
    targets = []
    offset = 1
    while offset < len(ring) and len(targets) < MAX_LINKS:
        targets.append(ring[(position + offset) % len(ring)])
        offset *= OFFSET_BASE
    if len(targets) == 1 and len(ring) > 2:
        targets.append(ring[(position + 2) % len(ring)])
    return targets
