"""Identity and state of a host, as other hosts receive it."""

from attrs import frozen

from rosemaryyoke.http1 import Address


@frozen
class HostState:
    """The addresses and state of a host.

    ``boot`` identifies one start of the process; later starts have greater values.
    Within a boot, the state with the greater ``sequence`` is the newer one.
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
