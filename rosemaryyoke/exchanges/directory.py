"""Handlers for address lookups, readiness checks and metrics."""

from typing import Callable, Protocol

from attrs import define, frozen

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1 import Address, Headers, RequestMessage

NO_HOSTS_RETRY_AFTER_S = 0.3
PLAIN_TEXT = (b"Content-Type", b"text/plain; version=0.0.4")


@frozen
class AddressQuery:
    """A lookup of host addresses near a data centre."""

    data_centre: str


class DirectoryCodec(Protocol):
    """Parses lookups and readiness checks, and encodes lookup responses."""

    response_headers: Headers

    def parse_query(self, target: bytes) -> AddressQuery | None:
        """Parse a lookup target; return ``None`` for any other target."""

    def encode_response(self, addresses: list[Address], lifetime_s: float) -> bytes:
        """Encode the body of a lookup response."""

    def is_readiness_check(self, target: bytes) -> bool:
        """Return whether a target is that of the readiness check."""


@define(eq=False)
class Directory:
    """Handlers for lookups and readiness checks."""

    codec: DirectoryCodec
    addresses_for: Callable[[str], list[Address]]
    is_ready: Callable[[], bool]
    lifetime_s: float

    def handle_query(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Respond to an address lookup."""
        query = self.codec.parse_query(message.target)
        if query is None:
            caller.send_error(404, "unknown", "no such path")
            return
        addresses = self.addresses_for(query.data_centre)
        if not addresses:
            caller.send_error(
                503, "no_hosts", "no host takes callers", NO_HOSTS_RETRY_AFTER_S
            )
            return
        body = self.codec.encode_response(addresses, self.lifetime_s)
        caller.send_response(200, b"OK", self.codec.response_headers, body)

    def handle_readiness(
        self, message: RequestMessage, caller: CallerConnection
    ) -> None:
        """Respond to a readiness check."""
        if not self.codec.is_readiness_check(message.target):
            caller.send_error(404, "unknown", "no such path")
        elif self.is_ready():
            caller.send_response(200, b"OK", [], b"")
        else:
            caller.send_response(503, b"", [], b"")


def metrics_handler(
    render: Callable[[], bytes],
) -> Callable[[RequestMessage, CallerConnection], None]:
    """Return a handler that serves the metrics as text."""

    def answer(message: RequestMessage, caller: CallerConnection) -> None:
        caller.send_response(200, b"OK", [PLAIN_TEXT], render())

    return answer
