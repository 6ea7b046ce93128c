"""Typed metadata of exchanges, and the codec for the headers that carry it."""

from typing import Collection, Protocol

from attrs import frozen

from rosemaryyoke.http1 import Address, Headers


class MalformedRequestHeaders(Exception):
    """The routing headers of a request are invalid."""


@frozen
class PromptPart:
    """A part of a prompt that other requests may share; its size is in tokens."""

    name: str
    tokens: int


@frozen
class RequestMetadata:
    """Request metadata from the caller's headers.

    ``deadline_s`` is the caller's timeout. ``resumes`` identifies the request that
    brought the first event of the stream that the caller resumes. Only the last of
    ``parts`` belongs to this request or its session alone. ``counted_tokens`` is what
    the request costs of a quota in tokens, ``None`` if the caller does not tell.
    """

    request_id: bytes = b""
    key: str | None = None
    deadline_s: float | None = None
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    counted_tokens: int | None = None
    last_event_id: bytes | None = None
    resumes: bytes | None = None

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the parts that other requests may share."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Return the size of the parts that other requests may share."""
        return sum(part.tokens for part in self.shared_parts)

    @property
    def prompt_tokens(self) -> int:
        """Return the size of the whole prompt."""
        return sum(part.tokens for part in self.parts)


@frozen
class ForwardingOptions:
    """Metadata that this host adds to a request for an upstream.

    ``weights_version`` is the version of the model that the upstream must still serve.
    ``cache_salt`` identifies who may share the cache entries.
    """

    instance: str
    deadline_s: float
    account: str | None = None
    strip_api_key: bool = True
    weights_version: int | None = None
    priority: int | None = None
    cache_salt: bytes | None = None
    fetch_from: Address | None = None
    save_to: Address | None = None
    last_event_id: bytes | None = None


@frozen
class ForwardingToHost:
    """Metadata of a request that this host forwards by way of another host.

    ``deadline_s`` is the time that is left. ``resumes`` identifies the request that
    brought the first event of the stream, if one has begun.
    """

    deadline_s: float
    last_event_id: bytes | None = None
    resumes: bytes | None = None


@frozen
class ResponseMetadata:
    """Metadata from the status and headers of a response.

    ``not_run`` promises that the upstream has not run the request and never will.
    ``leaving`` announces that the upstream will stop. ``retry_after_s`` is how long an
    upstream that refused the request wants no more requests from this host;
    ``malformed_retry_after`` is the value if it cannot be parsed. ``limit_per_s`` is
    the rate of requests that the upstream takes from all hosts together;
    ``malformed_limit`` is the value if it cannot be parsed. ``brittle`` announces that
    the upstream falls over if it has to refuse more than a few requests a second.
    """

    request_id: bytes | None
    sealed: bool
    not_run: bool
    weights_version: int | None = None
    leaving: bool = False
    retry_after_s: float | None = None
    malformed_retry_after: bytes | None = None
    limit_per_s: float | None = None
    malformed_limit: bytes | None = None
    brittle: bool = False


class HeaderCodec(Protocol):
    """Parses callers' and upstreams' headers, and encodes headers for upstreams.

    ``event_fields`` are the names of fields that upstreams add to events.
    """

    event_fields: Collection[bytes]

    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Parse a caller's headers; raise ``MalformedRequestHeaders``."""

    def forward_headers(
        self, headers: Headers, directive: ForwardingOptions
    ) -> Headers:
        """Return the request headers to send to an upstream."""

    def headers_for_host(self, headers: Headers, options: ForwardingToHost) -> Headers:
        """Return a caller's headers, to send to another host."""

    def parse_response_headers(self, status: int, headers: Headers) -> ResponseMetadata:
        """Parse the status and headers of a response."""
