"""Typed messages of a routed exchange, and the dialect that reads and writes them."""

from typing import Protocol

from attrs import frozen

from rosemaryyoke.http1 import Address, Headers


class MalformedRequestHeaders(Exception):
    """A request whose routing headers cannot be read."""


@frozen
class PromptPart:
    """A part of a prompt that other requests may share, in tokens."""

    name: str
    tokens: int


@frozen
class RequestMetadata:
    """What a caller's headers say of its request.

    ``deadline_s`` is how long the caller waits. Only the last of ``parts`` belongs to
    this request or its session alone.
    """

    request_id: bytes = b""
    key: str | None = None
    deadline_s: float | None = None
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    last_event_id: bytes | None = None

    @property
    def shared_tokens(self) -> int:
        """Return the size of the parts that other requests may share."""
        return sum(part.tokens for part in self.parts[:-1])

    @property
    def prompt_tokens(self) -> int:
        """Return the size of the whole prompt."""
        return sum(part.tokens for part in self.parts)


@frozen
class ForwardingOptions:
    """What this host tells an upstream beside the caller's own request.

    ``weights`` is the version of the model that the upstream must still serve.
    ``salt`` names who may share the cache entries.
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
class ResponseMetadata:
    """What an answer's status and headers say.

    ``not_run`` promises that the upstream has not run the request and never will.
    """

    request_id: bytes | None
    sealed: bool
    not_run: bool
    weights_version: int | None = None


class HeaderCodec(Protocol):
    """Reads callers' and upstreams' headers, and writes what upstreams are told."""

    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Return what a caller asks; raise ``MalformedAsk``."""

    def forward_headers(
        self, headers: Headers, directive: ForwardingOptions
    ) -> Headers:
        """Return the headers of a request as an upstream gets them."""

    def parse_response_headers(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an answer's head says."""
