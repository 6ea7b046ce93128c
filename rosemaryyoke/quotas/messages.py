"""Datagrams between hosts about quotas."""

from typing import Any, Callable, TypeVar

import orjson
from attrs import astuple, frozen

# Kinds of datagrams: the first byte.
LOAN_REQUEST = b"V"
LOAN_REPLY = b"W"
ASK = b"G"
ANSWER = b"H"

GRANTED = 0
DENIED = 1
ELSEWHERE = 2  # the host doesn't hold the role

Row = TypeVar("Row")


@frozen
class LoanRequest:
    """Asks a lender for its share of a shard, or gives it back."""

    shard: int
    sequence: int
    release: bool = False


@frozen
class LoanReply:
    """A lender's answer; ``holder`` is the host to which its share is lent."""

    shard: int
    sequence: int
    granted: bool
    holder: str
    known: int


@frozen
class Ask:
    """Asks for the cost of a request, or gives it back if ``returned``.

    The quota and the version of the configuration are those that the asking host knows.
    """

    number: int
    account: str
    cost: float
    version: int
    rate_per_s: float
    burst: float
    in_tokens: bool = False
    returned: bool = False

    def __attrs_post_init__(self) -> None:
        if not (self.rate_per_s > 0 and self.burst >= 0 and self.cost > 0):
            raise ValueError("an ask with an impossible amount")


@frozen
class Answer:
    """Answers an ask.

    ``wait_s`` is after how long the client should come back, ``ready_s`` until when
    nothing will be admitted, ``holder`` the host that holds the role, if it is known.
    """

    number: int
    verdict: int
    level: float = 0.0
    wait_s: float = 0.0
    ready_s: float = 0.0
    holder: str = ""


@frozen
class Datagram:
    """Rows from a process of a host, whose name and start time it tells."""

    host: str
    boot: int
    rows: tuple


ROW_TYPES: dict[bytes, tuple[type, tuple]] = {
    LOAN_REQUEST: (LoanRequest, (int, int, bool)),
    LOAN_REPLY: (LoanReply, (int, int, bool, str, int)),
    ASK: (Ask, (int, str, float, int, float, float, bool, bool)),
    ANSWER: (Answer, (int, int, float, float, float, str)),
}


def encode(kind: bytes, host: str, boot: int, rows: list) -> bytes:
    """Encode a datagram of some kind, with the byte that names it."""
    return kind + orjson.dumps([host, boot, [astuple(row) for row in rows]])


def decode(kind: bytes, data: bytes) -> Datagram:
    """Decode the rows behind the kind of a datagram; raise ``ValueError``."""
    row_type, types = ROW_TYPES[kind]
    host, boot, rows = require(orjson.loads(data), (str, int, list))
    return Datagram(host, boot, tuple(row_type(*require(row, types)) for row in rows))


def require(values: Any, types: tuple[Callable, ...]) -> list:
    """Return a list of values of the given types; raise ``ValueError``."""
    if not isinstance(values, list) or len(values) != len(types):
        raise ValueError("a row has the wrong number of fields")
    for value, expected in zip(values, types):
        accepted = (int, float) if expected is float else expected
        if not isinstance(value, accepted) or isinstance(value, bool) != (
            expected is bool
        ):
            raise ValueError(f"unexpected field {value!r}")
    return values
