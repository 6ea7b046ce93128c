"""Which silent hosts have ended for good, rather than been cut off."""

import socket
from typing import Iterable

from attrs import define, field

from rosemaryyoke.http1 import Address

# A machine that refuses connections to a host's port runs no process of it. Longer than
# a restart takes, during which the host counts as an lender.
REFUSED_S = 10.0
CONNECT_TIMEOUT_S = 0.2


@define(eq=False)
class Departures:
    """Hosts whose machines have refused connections without a pause.

    Silent hosts count as lenders, since they may be cut off. If many were replaced
    at once, too few lenders would be left until the silent ones are forgotten.
    """

    refused_since_s: dict[str, float] = field(factory=dict)

    def record(self, host: str, refused: bool, now_s: float) -> bool:
        """Record whether a silent host refused; return whether it has ended."""
        if not refused:
            self.refused_since_s.pop(host, None)
            return False
        return now_s - self.refused_since_s.setdefault(host, now_s) >= REFUSED_S

    def keep_only(self, silent: Iterable[str]) -> None:
        """Forget the hosts that are heard again or known no more."""
        kept = set(silent)
        for host in [name for name in self.refused_since_s if name not in kept]:
            del self.refused_since_s[host]


def refuses_connections(address: Address) -> bool:
    """Return whether a machine refuses connections to an address."""
    try:
        with socket.create_connection((address.ip, address.port), CONNECT_TIMEOUT_S):
            return False
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
