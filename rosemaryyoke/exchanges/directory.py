"""Tell callers which addresses to use, and the platform whether this host is ready."""

from typing import Callable, Protocol

from attrs import define, frozen

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1 import Address, Headers, RequestMessage

NO_HOSTS_RETRY_AFTER_S = 0.3
PLAIN_TEXT = (b"Content-Type", b"text/plain; version=0.0.4")


@frozen
class AddressQuery:
    """A caller's question for addresses near its data centre."""

    data_centre: str


class DirectoryCodec(Protocol):
    """Reads questions for addresses and readiness, and writes the answers."""

    response_headers: Headers

    def parse_query(self, target: bytes) -> AddressQuery | None:
        """Return the question of a target, or none where it is another."""

    def encode_response(self, addresses: list[Address], lifetime_s: float) -> bytes:
        """Return the body of an answer."""

    def is_readiness_check(self, target: bytes) -> bool:
        """Tell whether a target asks if this host is ready."""


@define(eq=False)
class Directory:
    """Handlers of the addresses beside the callers' own."""

    codec: DirectoryCodec
    addresses_for: Callable[[str], list[Address]]
    is_ready: Callable[[], bool]
    lifetime_s: float

    def handle_query(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Answer a caller that asks for addresses."""
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
        """Answer the platform's check."""
        if not self.codec.is_readiness_check(message.target):
            caller.send_error(404, "unknown", "no such path")
        elif self.is_ready():
            caller.send_response(200, b"OK", [], b"")
        else:
            caller.send_response(503, b"", [], b"")


def metrics_handler(
    render: Callable[[], bytes],
) -> Callable[[RequestMessage, CallerConnection], None]:
    """Return a handler that shows the metrics as text."""

    def answer(message: RequestMessage, caller: CallerConnection) -> None:
        caller.send_response(200, b"OK", [PLAIN_TEXT], render())

    return answer
