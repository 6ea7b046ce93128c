"""Signed stream identifiers, which locate a stream and are valid for one account."""

import base64
import hashlib
import hmac

import orjson
from attrs import frozen

SIGNATURE_BYTES = 16
MAX_IDENTIFIER_CHARS = 1024


@frozen
class StreamIdentifier:
    """The engine, engine incarnation, request and weights that produced a stream."""

    engine: str
    incarnation: str
    request: str
    weights: str


@frozen
class StreamPosition:
    """A stream and the number of its tokens that the caller has received."""

    identifier: StreamIdentifier
    received: int


def sign_identifier(identifier: StreamIdentifier, account: str, shared_key: str) -> str:
    """Return the identifier as signed text that only this account can use."""
    fields = [
        identifier.engine,
        identifier.incarnation,
        identifier.request,
        identifier.weights,
    ]
    payload = base64.urlsafe_b64encode(orjson.dumps(fields)).decode().rstrip("=")
    return f"{payload}.{_signature(payload, account, shared_key)}"


def verify_identifier(
    text: str, account: str, shared_key: str
) -> StreamIdentifier | None:
    """Return the identifier, or ``None`` if it was not signed for the account."""
    payload, separator, signature = text.partition(".")
    if not separator or len(text) > MAX_IDENTIFIER_CHARS or not text.isascii():
        return None
    if not hmac.compare_digest(signature, _signature(payload, account, shared_key)):
        return None
    fields = orjson.loads(base64.urlsafe_b64decode(payload + "=" * (-len(payload) % 4)))
    return StreamIdentifier(*fields)


def parse_position(text: str, account: str, shared_key: str) -> StreamPosition | None:
    """Parse a Last-Event-ID; return ``None`` if it is invalid."""
    signed_identifier, separator, count = text.rpartition(":")
    if not separator or not (count.isascii() and count.isdigit()) or len(count) > 9:
        return None
    identifier = verify_identifier(signed_identifier, account, shared_key)
    if identifier is None:
        return None
    return StreamPosition(identifier, int(count))


def _signature(payload: str, account: str, shared_key: str) -> str:
    message = f"{len(account)}:{account}:{payload}".encode()
    digest = hmac.new(shared_key.encode(), message, hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:SIGNATURE_BYTES]).decode().rstrip("=")
