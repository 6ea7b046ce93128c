"""Address lookups and readiness checks in the platform's format."""

from urllib.parse import parse_qs, urlsplit

import orjson
from attrs import field, frozen

from rosemaryyoke.exchanges.directory import AddressQuery
from rosemaryyoke.http1 import Address, Headers

QUERY_PATH = "/lookup"
READINESS_PATH = "/readiness"


@frozen
class PlatformDirectory:
    """Lookups by name, region and zone, where the zone is the data centre."""

    response_headers: Headers = field(
        factory=lambda: [(b"Content-Type", b"application/json")]
    )

    def parse_query(self, target: bytes) -> AddressQuery | None:
        """Parse a lookup, or return None if the target is not a lookup."""
        parts = urlsplit(target.decode("latin-1"))
        if parts.path != QUERY_PATH:
            return None
        return AddressQuery(parse_qs(parts.query).get("zone", [""])[0])

    def encode_response(self, addresses: list[Address], lifetime_s: float) -> bytes:
        """Return the response body of a lookup."""
        return orjson.dumps(
            {"addresses": [str(item) for item in addresses], "ttlS": lifetime_s}
        )

    def is_readiness_check(self, target: bytes) -> bool:
        """Return whether a target is the readiness check of this host."""
        return target.decode("latin-1") == READINESS_PATH
