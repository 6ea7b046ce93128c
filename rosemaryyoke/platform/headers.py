"""Request and response headers of the platform."""

import math
import re

from attrs import frozen

from rosemaryyoke.exchanges.messages import (
    ForwardingOptions,
    ForwardingToHost,
    MalformedRequestHeaders,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
)
from rosemaryyoke.http1 import Headers
from rosemaryyoke.http1.messages import end_to_end_headers
from rosemaryyoke.platform import names

MS_PER_S = 1_000
MIN_DEADLINE_MS = 1
HTTP_MISDIRECTED = 421
HTTP_UNAVAILABLE = 503
IS_LEAVING = b"1"
DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")
VERSION = re.compile(rb"[0-9]{1,15}")
COUNTS = re.compile(rb"([0-9]{1,15})(?:\s*,\s*([0-9]{1,15}))?")
RATE = re.compile(rb"([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]{1,3})?")


@frozen
class PlatformDialect:
    """The platform's header names and formats.

    An event at which the weights change names the new version.
    """

    event_fields: frozenset[bytes] = frozenset({names.SERVED_WEIGHTS.lower()})

    def parse_request_headers(self, headers: Headers) -> RequestMetadata:
        """Parse a caller's routing headers; raise ``MalformedRequestHeaders``."""
        values = {key.lower(): value for key, value in headers}
        try:
            deadline = values.get(names.DEADLINE.lower())
            return RequestMetadata(
                request_id=values.get(names.REQUEST_ID.lower(), b""),
                key=parse_api_key(values.get(names.AUTHORIZATION.lower())),
                deadline_s=int(deadline) / MS_PER_S if deadline else None,
                model=values.get(names.MODEL.lower(), b"").decode("latin-1"),
                parts=parse_prompt_parts(values.get(names.PROMPT_PARTS.lower())),
                output_tokens=parse_max_output_tokens(
                    values.get(names.TOKEN_COUNT.lower())
                ),
                counted_tokens=parse_counted_tokens(
                    values.get(names.TOKEN_COUNT.lower())
                ),
                last_event_id=values.get(names.LAST_EVENT_ID.lower()),
                resumes=values.get(names.RESUMES.lower()),
            )
        except ValueError as error:
            raise MalformedRequestHeaders(str(error)) from error

    def forward_headers(
        self, headers: Headers, directive: ForwardingOptions
    ) -> Headers:
        """Return the request headers to send to an upstream."""
        forwarded = [
            (key, value)
            for key, value in end_to_end_headers(headers)
            if key.lower() not in names.ROUTER_HEADERS
            and key.lower() != b"content-length"
        ]
        if not directive.strip_api_key:
            forwarded += [
                item for item in headers if item[0].lower() == b"authorization"
            ]
        return forwarded + directive_headers(directive)

    def headers_for_host(self, headers: Headers, options: ForwardingToHost) -> Headers:
        """Return a caller's headers, to send to another host.

        That host authenticates the caller, too, so that the API key stays.
        """
        replaced = (
            (names.DEADLINE, format_deadline(options.deadline_s)),
            (names.LAST_EVENT_ID, options.last_event_id),
            (names.RESUMES, options.resumes),
        )
        excluded = {b"content-length", *(name.lower() for name, _ in replaced)}
        kept = [
            (key, value)
            for key, value in end_to_end_headers(headers)
            if key.lower() not in excluded
        ]
        return kept + [(name, value) for name, value in replaced if value is not None]

    def parse_response_headers(self, status: int, headers: Headers) -> ResponseMetadata:
        """Parse the headers of an upstream's response."""
        values = {key.lower(): value for key, value in headers}
        weights = values.get(names.SERVED_WEIGHTS.lower(), b"")
        refused = status == HTTP_UNAVAILABLE
        retry_after = values.get(names.RETRY_AFTER.lower()) if refused else None
        leaving = values.get(names.LEAVING.lower(), b"")
        retry_after_s = parse_seconds(retry_after)
        limit = find_single(headers, names.RATE_LIMIT)
        limit_per_s = parse_rate(limit)
        return ResponseMetadata(
            request_id=values.get(names.REQUEST_ID.lower()),
            sealed=names.RESPONSE_SEAL.lower() in values,
            not_run=names.NOT_EXECUTED.lower() in values or status == HTTP_MISDIRECTED,
            weights_version=int(weights) if VERSION.fullmatch(weights) else None,
            leaving=leaving.strip() == IS_LEAVING,
            retry_after_s=retry_after_s,
            malformed_retry_after=retry_after if retry_after_s is None else None,
            limit_per_s=limit_per_s,
            malformed_limit=limit if limit_per_s is None else None,
            brittle=names.BRITTLE.lower() in values,
        )


def directive_headers(directive: ForwardingOptions) -> Headers:
    """Return the request headers that only the router may set."""
    headers = [
        (names.EXPECTED_INSTANCE, directive.instance.encode()),
        (names.DEADLINE, format_deadline(directive.deadline_s)),
    ]
    optional = (
        (names.ACCOUNT, directive.account),
        (names.EXPECTED_WEIGHTS, directive.weights_version),
        (names.PRIORITY, directive.priority),
        (names.CACHE_SALT, directive.cache_salt),
        (names.KV_FETCH, directive.fetch_from),
        (names.KV_SAVE, directive.save_to),
        (names.LAST_EVENT_ID, directive.last_event_id),
    )
    headers.extend(
        (name, value if isinstance(value, bytes) else str(value).encode())
        for name, value in optional
        if value is not None
    )
    return headers


def format_deadline(deadline_s: float) -> bytes:
    """Return a deadline in milliseconds, at least one."""
    return b"%d" % max(MIN_DEADLINE_MS, int(deadline_s * MS_PER_S))


def parse_api_key(value: bytes | None) -> str | None:
    """Return the API key of a bearer authorization, or None."""
    if value is None or not value.lower().startswith(names.BEARER_PREFIX):
        return None
    return value[len(names.BEARER_PREFIX) :].strip().decode("latin-1")


def parse_seconds(value: bytes | None) -> float | None:
    """Parse a decimal number of seconds; return ``None`` for any other value."""
    if value is None or not DECIMAL.fullmatch(value.strip()):
        return None
    seconds = float(value)
    return seconds if math.isfinite(seconds) else None


def find_single(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of a header; several are joined, as a list of values."""
    values = [value for key, value in headers if key.lower() == name.lower()]
    return b", ".join(values) if values else None


def parse_rate(value: bytes | None) -> float | None:
    """Parse a rate per second, such as ``2.5``; return ``None`` for any other value."""
    if value is None or not RATE.fullmatch(value.strip()):
        return None
    rate = float(value)
    return rate if math.isfinite(rate) else None


def parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    """Parse prompt parts such as ``5c1e07a2:800,91bd3f06:410`` (name and tokens)."""
    if not value:
        return ()
    parts = []
    for item in value.decode("latin-1").split(","):
        name, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def parse_max_output_tokens(value: bytes | None) -> int:
    """Return the output token limit, the second number of ``PROMPT,OUTPUT``."""
    if not value:
        return 0
    _, _, output = value.partition(b",")
    return int(output) if output else 0


def parse_counted_tokens(value: bytes | None) -> int | None:
    """Return the sum of the numbers of ``PROMPT,OUTPUT``; ``None`` for other values.

    Only quotas use the first number, and requests without one need not have it.
    """
    matched = COUNTS.fullmatch((value or b"").strip())
    if matched is None:
        return None
    return int(matched[1]) + int(matched[2] or 0)
