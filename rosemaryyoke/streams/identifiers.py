"""Identifiers of streams: they name where a stream runs, sealed for one account."""

import base64
import hashlib
import hmac

import orjson
from attrs import frozen

SEAL_BYTES = 16
MAX_IDENTIFIER_CHARS = 1024


@frozen
class StreamIdentifier:
    """The engine, incarnation and request that a stream came from."""

    engine: str
    incarnation: str
    request: str
    weights: str


@frozen
class StreamPosition:
    """A stream and the number of tokens that the caller has of it."""

    identifier: StreamIdentifier
    received: int


def sign_identifier(identifier: StreamIdentifier, account: str, shared_key: str) -> str:
    """Return the identifier as text that only this account can use."""
    parts = [
        identifier.engine,
        identifier.incarnation,
        identifier.request,
        identifier.weights,
    ]
    body = base64.urlsafe_b64encode(orjson.dumps(parts)).decode().rstrip("=")
    return f"{body}.{_signature(body, account, shared_key)}"


def verify_identifier(
    text: str, account: str, shared_key: str
) -> StreamIdentifier | None:
    """Return the identifier, or none where it was not sealed for the account."""
    body, dot, signature = text.partition(".")
    if not dot or len(text) > MAX_IDENTIFIER_CHARS or not text.isascii():
        return None
    if not hmac.compare_digest(signature, _signature(body, account, shared_key)):
        return None
    parts = orjson.loads(base64.urlsafe_b64decode(body + "=" * (-len(body) % 4)))
    return StreamIdentifier(*parts)


def parse_position(text: str, account: str, shared_key: str) -> StreamPosition | None:
    """Return the position that a Last-Event-ID names, or none."""
    sealed, colon, count = text.rpartition(":")
    if not colon or not (count.isascii() and count.isdigit()) or len(count) > 9:
        return None
    identifier = verify_identifier(sealed, account, shared_key)
    if identifier is None:
        return None
    return StreamPosition(identifier, int(count))


def _signature(body: str, account: str, shared_key: str) -> str:
    message = f"{len(account)}:{account}:{body}".encode()
    digest = hmac.new(shared_key.encode(), message, hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:SEAL_BYTES]).decode().rstrip("=")
