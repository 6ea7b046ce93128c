"""Headers of requests and answers on the platform."""

from attrs import frozen

from rosemaryyoke.exchanges.messages import (
    ForwardingOptions,
    MalformedRequestHeaders,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from rosemaryyoke.http1 import Headers
from rosemaryyoke.http1.messages import end_to_end_headers
from rosemaryyoke.platform import names

MILLISECONDS = 1_000
LEAST_DEADLINE_MS = 1
HTTP_MISDIRECTED = 421


@frozen
class PlatformDialect:
    """The platform's header names and formats."""

    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Return what a caller asks; raise ``MalformedAsk``."""
        values = {key.lower(): value for key, value in headers}
        try:
            deadline = values.get(names.DEADLINE.lower())
            return RequestMetadata(
                request_id=values.get(names.REQUEST_ID.lower(), b""),
                key=read_key(values.get(names.KEY.lower())),
                deadline_s=int(deadline) / MILLISECONDS if deadline else None,
                model=values.get(names.MODEL.lower(), b"").decode("latin-1"),
                parts=read_parts(values.get(names.PROMPT_PARTS.lower())),
                output_tokens=read_output(values.get(names.TOKEN_COUNT.lower())),
                last_event_id=values.get(names.LAST_EVENT.lower()),
            )
        except ValueError as error:
            raise MalformedRequestHeaders(str(error)) from error

    def forward_headers(
        self, headers: Headers, directive: ForwardingOptions
    ) -> Headers:
        """Return the headers of a request as an upstream gets them."""
        kept = [
            (key, value)
            for key, value in end_to_end_headers(headers)
            if key.lower() not in names.ROUTER_HEADERS
            and key.lower() != b"content-length"
        ]
        if not directive.strip_api_key:
            kept += [item for item in headers if item[0].lower() == b"authorization"]
        return kept + directive_headers(directive)

    def parse_response_headers(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return what an answer's head says."""
        values = {key.lower(): value for key, value in headers}
        weights = values.get(names.WEIGHTS_SERVED.lower(), b"")
        return ResponseMetadata(
            request_id=values.get(names.REQUEST_ID.lower()),
            sealed=names.SEAL.lower() in values,
            not_run=names.NOT_RUN.lower() in values or status == HTTP_MISDIRECTED,
            weights_version=int(weights) if weights.isdigit() else None,
        )


def directive_headers(directive: ForwardingOptions) -> Headers:
    """Return the headers that only the router may set."""
    deadline_ms = int(directive.deadline_s * MILLISECONDS)
    headers = [
        (names.INSTANCE, directive.instance.encode()),
        (names.DEADLINE, b"%d" % max(LEAST_DEADLINE_MS, deadline_ms)),
    ]
    optional = (
        (names.ACCOUNT, directive.account),
        (names.WEIGHTS, directive.weights_version),
        (names.PRIORITY, directive.priority),
        (names.SALT, directive.cache_salt),
        (names.FETCH_FROM, directive.fetch_from),
        (names.SAVE_TO, directive.save_to),
        (names.LAST_EVENT, directive.last_event_id),
    )
    headers.extend(
        (name, value if isinstance(value, bytes) else str(value).encode())
        for name, value in optional
        if value is not None
    )
    return headers


def read_key(value: bytes | None) -> str | None:
    """Return the API key of an authorization, or none."""
    if value is None or not value.lower().startswith(names.KEY_SCHEME):
        return None
    return value[len(names.KEY_SCHEME) :].strip().decode("latin-1")


def read_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt from entries as ``5c1e07a2:800,91bd3f06:410``."""
    if not value:
        return ()
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def read_output(value: bytes | None) -> int:
    """Return the most tokens of the answer, the second of ``PROMPT,OUTPUT``."""
    if not value:
        return 0
    _, _, output = value.partition(b",")
    return int(output) if output else 0
