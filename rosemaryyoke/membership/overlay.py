"""Which peers a host keeps links to.

Hosts stand on a ring by the digest of their name; each links to those a few places
ahead. The places grow geometrically, so that news crosses N hosts in O(log N) hops
over a fixed number of links. Source of the idea: Stoica et al., "Chord", 2001.
"""

import hashlib
from typing import Iterable

OFFSET_BASE = 6
MAX_LINKS = 4


def ring_position(name: str) -> bytes:
    """Return a host's place on the ring."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def link_targets(local_name: str, names: Iterable[str]) -> list[str]:
    """Return the hosts that a host opens links to."""
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
