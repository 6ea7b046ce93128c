"""Tell callers which addresses to use, and the platform whether this host is ready."""

from typing import Callable, Protocol

from attrs import define, frozen

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1 import Address, Headers, RequestMessage

UNKNOWN_RETRY_S = 0.3
PLAIN_TEXT = (b"Content-Type", b"text/plain; version=0.0.4")


@frozen
class AddressQuery:
    """A caller's question for addresses near its data centre."""

    data_centre: str


class DirectoryDialect(Protocol):
    """Reads questions for addresses and readiness, and writes the answers."""

    answer_headers: Headers

    def read_query(self, target: bytes) -> AddressQuery | None:
        """Return the question of a target, or none where it is another."""

    def write_answer(self, addresses: list[Address], lifetime_s: float) -> bytes:
        """Return the body of an answer."""

    def asks_readiness(self, target: bytes) -> bool:
        """Tell whether a target asks if this host is ready."""


@define(eq=False)
class Directory:
    """Handlers of the addresses beside the callers' own."""

    dialect: DirectoryDialect
    addresses_for: Callable[[str], list[Address]]
    is_ready: Callable[[], bool]
    lifetime_s: float

    def answer_query(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Answer a caller that asks for addresses."""
        query = self.dialect.read_query(message.target)
        if query is None:
            caller.refuse(404, "unknown", "no such path")
            return
        addresses = self.addresses_for(query.data_centre)
        if not addresses:
            caller.refuse(503, "no_hosts", "no host takes callers", UNKNOWN_RETRY_S)
            return
        body = self.dialect.write_answer(addresses, self.lifetime_s)
        caller.answer(200, b"OK", self.dialect.answer_headers, body)

    def answer_readiness(
        self, message: RequestMessage, caller: CallerConnection
    ) -> None:
        """Answer the platform's check."""
        if not self.dialect.asks_readiness(message.target):
            caller.refuse(404, "unknown", "no such path")
        elif self.is_ready():
            caller.answer(200, b"OK", [], b"")
        else:
            caller.answer(503, b"", [], b"")


def metrics_handler(
    render: Callable[[], bytes],
) -> Callable[[RequestMessage, CallerConnection], None]:
    """Return a handler that shows the metrics as text."""

    def answer(message: RequestMessage, caller: CallerConnection) -> None:
        caller.answer(200, b"OK", [PLAIN_TEXT], render())

    return answer
