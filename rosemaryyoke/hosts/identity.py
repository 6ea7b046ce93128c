"""What a host is, and how it stands."""

from attrs import frozen

from rosemaryyoke.http1 import Address


@frozen
class HostState:
    """A host, its addresses and its state.

    ``boot`` names one start of the process; a greater ``sequence`` of it is newer.
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
