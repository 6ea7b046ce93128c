"""The header that a host adds to a request that it forwards by way of another host."""

from urllib.parse import parse_qsl, urlencode

from attrs import frozen

from rosemaryyoke.http1 import Headers

FORWARDED_HEADER = b"Rosemaryyoke-Forwarded"
MAX_ENVELOPE_BYTES = 1_024  # with the headers that a host adds to the caller's
# The code of an error that the other host generated itself.
ERROR_HEADER = b"Rosemaryyoke-Error"


class MalformedEnvelope(Exception):
    """The header of a forwarded request is missing or invalid."""


@frozen
class Envelope:
    """What the host that forwards a request tells the host that receives it.

    ``configuration`` is the version that the request was accepted under, ``runs`` the
    number of upstreams that may have run it, ``origin`` the key of the software version
    at which a stream may go on, if it is known. ``charged`` tells that the quota of the
    account was charged; hosts of earlier builds do not charge it.
    """

    host: str
    configuration: int = 0
    runs: int = 0
    origin: int | None = None
    charged: bool = False

    def encode(self) -> bytes:
        """Encode the value of the header."""
        fields = {
            "host": self.host,
            "configuration": self.configuration,
            "runs": self.runs,
        }
        if self.origin is not None:
            fields["origin"] = f"{self.origin:x}"
        if self.charged:
            fields["charged"] = 1
        return urlencode(fields).encode()

    @classmethod
    def parse(cls, value: bytes) -> "Envelope":
        """Parse the value of the header; raise ``MalformedEnvelope``."""
        try:
            fields = dict(parse_qsl(value.decode("ascii"), strict_parsing=True))
            origin = fields.get("origin")
            return cls(
                fields["host"],
                int(fields["configuration"]),
                int(fields["runs"]),
                None if origin is None else int(origin, 16),
                fields.get("charged") == "1",
            )
        except (KeyError, ValueError) as error:
            raise MalformedEnvelope(str(error)) from error


def without_envelope(headers: Headers) -> Headers:
    """Return the headers without those that only hosts may send each other."""
    internal = (FORWARDED_HEADER.lower(), ERROR_HEADER.lower())
    return [item for item in headers if item[0].lower() not in internal]
