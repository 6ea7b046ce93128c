"""What a host is, and how it stands."""

from attrs import frozen

from rosemaryyoke.http1 import Address


@frozen
class HostIdentity:
    """A host, its addresses and its state.

    ``boot`` names one start of the process; a greater ``sequence`` of it is newer.
    """

    host: str
    boot: int
    sequence: int
    callers: Address
    peers: Address
    data_centre: str
    ready: bool = False
    leaving: bool = False
    store_answers: bool = False
    configuration: int = 0
