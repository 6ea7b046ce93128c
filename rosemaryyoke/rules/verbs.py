"""The verbs of rules files, with their keys and value parsers."""

import re
from typing import Callable

from attrs import frozen

from rosemaryyoke.core import Registry
from rosemaryyoke.rules.model import (
    ANY,
    ENGINE_KIND,
    SERVICE_KIND,
    STORE_KIND,
    Account,
    Limit,
    Model,
    PlainService,
    Route,
    Rule,
    UnsafeCall,
    Upstream,
)

NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
SHA256 = re.compile(r"^[0-9a-f]{64}$")
ADDRESS = re.compile(r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
METHODS = frozenset({"GET", "POST", "PUT", "PATCH", "DELETE"})

ValueParser = Callable[[str], object]


@frozen
class Key:
    """A key of a verb: its value parser and whether it is required."""

    parse: ValueParser
    required: bool = False
    target: str = ""


@frozen
class Verb:
    """A verb: the rule class that it creates, and its keys."""

    rule: type
    keys: dict[str, Key]


verbs: Registry[Callable[[], Verb]] = Registry("verb")


def parse_name(text: str) -> str:
    """Parse a name."""
    if not NAME.match(text):
        raise ValueError(
            "expected at most 64 letters, digits, dots, dashes or underscores"
        )
    return text


def parse_name_or_any(text: str) -> str:
    """Parse a name or the wildcard ``*``."""
    return text if text == ANY else parse_name(text)


def parse_names(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of names or wildcards."""
    return tuple(parse_name_or_any(part) for part in text.split(","))


def parse_count(text: str) -> int:
    """Parse a non-negative integer."""
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise ValueError("expected a non-negative integer")
    return int(text)


def parse_positive(text: str) -> int:
    """Parse a positive integer."""
    count = parse_count(text)
    if count < 1:
        raise ValueError("expected a positive integer")
    return count


def parse_rate(text: str) -> float:
    """Parse a rate per second."""
    if not re.match(r"^\d{1,9}(\.\d{1,6})?$", text):
        raise ValueError("expected a number such as 12 or 0.5")
    return float(text)


def parse_yes_no(text: str) -> bool:
    """Parse ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise ValueError("expected yes or no")
    return text == "yes"


def parse_address(text: str) -> str:
    """Parse an IPv4 address and port."""
    if not ADDRESS.match(text):
        raise ValueError("expected an address and port such as 10.0.0.1:8000")
    return text


def parse_sha256(text: str) -> bytes:
    """Parse a SHA-256 digest in lower-case hexadecimal."""
    if not SHA256.match(text):
        raise ValueError("expected 64 lower-case hexadecimal digits")
    return bytes.fromhex(text)


def parse_kind(text: str) -> str:
    """Parse the kind of an upstream."""
    if text not in (ENGINE_KIND, SERVICE_KIND, STORE_KIND):
        raise ValueError(f"expected {ENGINE_KIND}, {SERVICE_KIND} or {STORE_KIND}")
    return text


def parse_path(text: str) -> str:
    """Parse an absolute path."""
    if not text.startswith("/"):
        raise ValueError("expected a path that starts with /")
    return text


def parse_unsafe_calls(text: str) -> tuple[UnsafeCall, ...]:
    """Parse a comma-separated list of ``METHOD:/path`` pairs."""
    calls = []
    for part in text.split(","):
        method, colon, path = part.partition(":")
        if not colon or method not in METHODS:
            raise ValueError("expected calls such as POST:/path,PUT:/other")
        calls.append(UnsafeCall(method, parse_path(path)))
    return tuple(calls)


@verbs.register("account")
def account_verb() -> Verb:
    """Return the verb that defines a client account."""
    keys = {"name": Key(parse_name, True), "key_sha256": Key(parse_sha256, True)}
    return Verb(Account, keys)


@verbs.register("model")
def model_verb() -> Verb:
    """Return the verb that defines a model."""
    keys = {
        "name": Key(parse_name, True),
        "weights": Key(parse_name, True),
        "adapters": Key(parse_names),
        "load_concurrency": Key(parse_positive),
        "floor": Key(parse_count),
    }
    return Verb(Model, keys)


@verbs.register("upstream")
def upstream_verb() -> Verb:
    """Return the verb that defines an upstream."""
    keys = {
        "name": Key(parse_name, True),
        "kind": Key(parse_kind, True),
        "address": Key(parse_address, True),
        "data_centre": Key(parse_name, True),
        "serves": Key(parse_name),
        "fencing": Key(parse_yes_no),
        "slots": Key(parse_positive),
    }
    return Verb(Upstream, keys)


@verbs.register("service")
def service_verb() -> Verb:
    """Return the verb that defines a plain service."""
    keys = {
        "name": Key(parse_name, True),
        "unsafe": Key(parse_unsafe_calls),
        "lookup": Key(parse_path),
    }
    return Verb(PlainService, keys)


@verbs.register("route")
def route_verb() -> Verb:
    """Return the verb that defines a route for a model's requests."""
    keys = {
        "model": Key(parse_name, True),
        "account": Key(parse_name_or_any),
        "upstreams": Key(parse_names),
        "priority": Key(parse_count),
        "ttft_ms": Key(parse_positive),
    }
    return Verb(Route, keys)


@verbs.register("limit")
def limit_verb() -> Verb:
    """Return the verb that defines limits of a client account."""
    keys = {
        "account": Key(parse_name_or_any, True),
        "requests_per_s": Key(parse_rate),
        "tokens_per_s": Key(parse_rate),
        "concurrency": Key(parse_count),
    }
    return Verb(Limit, keys)


VERBS: dict[str, Verb] = {name: verbs.get(name)() for name in verbs.names()}


def make_rule(verb: Verb, values: dict[str, object]) -> Rule:
    """Create the rule of a verb from parsed values."""
    return verb.rule(**values)
