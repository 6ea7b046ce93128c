"""Identity and state of a host, as other hosts receive it."""

import math

from attrs import field, frozen

from rosemaryyoke.http1 import Address


@frozen
class HostState:
    """The addresses and state of a host.

    ``boot`` identifies one start of the process; later starts have greater values.
    Within a boot, the state with the greater ``sequence`` is the newer one.
    ``unreachable`` are the keys of the services that the host reaches no upstream of;
    it is ``cut_off`` if these are all. ``reads_store`` tells whether the store has
    answered the host lately, and ``view_as_of_s`` when the store confirmed its view to
    it or another host, on the clock of the host that has this state.
    """

    host: str
    boot: int
    sequence: int
    client_address: Address
    peer_address: Address
    data_centre: str
    ready: bool = False
    leaving: bool = False
    store_reachable: bool = False
    configuration: int = 0
    unreachable: frozenset[int] = field(default=frozenset(), kw_only=True)
    cut_off: bool = field(default=False, kw_only=True)
    reads_store: bool = field(default=False, kw_only=True)
    view_as_of_s: float = field(default=-math.inf, kw_only=True)
