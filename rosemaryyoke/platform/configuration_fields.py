"""Fields of configuration documents and their types, for checks of whole documents.

Hosts read documents more leniently. Messages never contain values: they may be keys.
"""

from typing import Any, Callable, Iterator

from attrs import frozen

from rosemaryyoke.checks import ERROR, WARNING, Finding, Place
from rosemaryyoke.http1 import Address
from rosemaryyoke.platform.documents import MAX_EXACT_INT, ROUTE_KINDS, TOKENS_UNIT

REQUESTS_UNIT = "requests"
TYPE_NAMES = {
    dict: "an object",
    list: "a list",
    str: "a string",
    int: "a number",
    float: "a number",
    bool: "true or false",
    type(None): "null",
}

Validate = Callable[[Any], str | None]  # returns what is expected instead, if anything


@frozen
class FieldType:
    """The type of a field, and whether it must be present or may be null or empty."""

    validate: Validate
    required: bool = False
    nullable: bool = False


def is_number(value: object) -> bool:
    """Return whether a JSON value is a number that every program holds."""
    is_numeric = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_numeric and abs(value) <= MAX_EXACT_INT


def expect_text(value: object) -> str | None:
    """Expect a non-empty string."""
    return None if isinstance(value, str) and value else "a non-empty string"


def expect_flag(value: object) -> str | None:
    """Expect true or false."""
    return None if isinstance(value, bool) else "true or false"


def expect_amount(value: object) -> str | None:
    """Expect a number that is not negative."""
    valid = is_number(value) and value >= 0
    return None if valid else "a number from 0 on"


def expect_positive(value: object) -> str | None:
    """Expect a positive number."""
    return None if is_number(value) and value > 0 else "a number above 0"


def expect_count(value: object) -> str | None:
    """Expect an integer that is not negative."""
    valid = is_number(value) and value >= 0 and value == int(value)
    return None if valid else "an integer from 0 on"


def expect_positive_count(value: object) -> str | None:
    """Expect a positive integer."""
    valid = is_number(value) and value >= 1 and value == int(value)
    return None if valid else "an integer from 1 on"


def expect_list(value: object) -> str | None:
    """Expect a list."""
    return None if isinstance(value, list) else "a list"


def expect_object(value: object) -> str | None:
    """Expect an object."""
    return None if isinstance(value, dict) else "an object"


def expect_address(value: object) -> str | None:
    """Expect an IPv4 address and port."""
    try:
        return None if Address.parse(value).port else "a port other than 0"
    except (TypeError, ValueError):
        return "an address and port such as 10.0.0.1:80"


DOCUMENT = {
    "version": FieldType(expect_count, required=True),
    "routes": FieldType(expect_list, required=True),
    "services": FieldType(expect_list, required=True),
    "tenants": FieldType(expect_list, nullable=True),
    "limits": FieldType(expect_object, nullable=True),
}
ROUTE = {
    "name": FieldType(expect_text, required=True),
    "host": FieldType(expect_text, required=True),
    "pathPrefix": FieldType(expect_text, required=True),
    "kind": FieldType(expect_text, required=True),
    "timeoutMs": FieldType(expect_positive, required=True),
    "targetLatencyMs": FieldType(expect_positive),
    "priority": FieldType(expect_count),
    "maxAttempts": FieldType(expect_count),
    "public": FieldType(expect_flag),
    "resumable": FieldType(expect_flag),
    "service": FieldType(expect_text, nullable=True),
    "trafficSplit": FieldType(expect_list, nullable=True),
}
TARGET = {
    "service": FieldType(expect_text, required=True),
    "weight": FieldType(expect_amount),
}
SERVICE = {
    "name": FieldType(expect_text, required=True),
    "healthPath": FieldType(expect_text, nullable=True),
    "maxConnections": FieldType(expect_count, nullable=True),
    "engine": FieldType(expect_object, nullable=True),
    "kvStoreAddr": FieldType(expect_address, nullable=True),
    "kvCapacityTokens": FieldType(expect_count, nullable=True),
}
ENGINE = {
    "slots": FieldType(expect_positive_count, required=True),
    "kvCapacityTokens": FieldType(expect_count, required=True),
    "tokenKvBytes": FieldType(expect_count),
    "linkMbps": FieldType(expect_amount),
    "models": FieldType(expect_list, nullable=True),
}
MODEL = {"name": FieldType(expect_text, required=True)}
ACCOUNT = {
    "name": FieldType(expect_text, required=True),
    "apiKeys": FieldType(expect_list, nullable=True),
    "priority": FieldType(expect_count, nullable=True),
    "isolated": FieldType(expect_flag),
    "unit": FieldType(expect_text, nullable=True),
    "ratePerS": FieldType(expect_amount, nullable=True),
    "burst": FieldType(expect_amount, nullable=True),
    "uncachedTokens": FieldType(expect_amount, nullable=True),
}
LIMITS = {
    "maxHeaderBytes": FieldType(expect_positive_count),
    "maxBodyBytes": FieldType(expect_count),
    "headerTimeoutMs": FieldType(expect_positive),
    "idleTimeoutMs": FieldType(expect_positive),
}


def find_malformed_fields(value: object) -> Iterator[Finding]:
    """Yield an error for each missing field or wrong type of a document."""
    yield from check_object((), value, DOCUMENT)
    if not isinstance(value, dict):
        return
    for place, route in items(("routes",), value):
        yield from check_object(place, route, ROUTE)
        if isinstance(route, dict):
            yield from check_targets(place, route)
            yield from check_known(place, route, "kind", tuple(ROUTE_KINDS))
    for place, service in items(("services",), value):
        yield from check_object(place, service, SERVICE)
        engine = service.get("engine") if isinstance(service, dict) else None
        if isinstance(engine, dict) and engine:
            yield from check_object((*place, "engine"), engine, ENGINE)
            for position, model in items((*place, "engine", "models"), engine):
                yield from check_object(position, model, MODEL)
    for place, account in items(("tenants",), value):
        yield from check_object(place, account, ACCOUNT)
        if isinstance(account, dict):
            for position, key in items((*place, "apiKeys"), account):
                yield from check_value(position, key, expect_text)
            units = (TOKENS_UNIT, REQUESTS_UNIT)
            yield from check_known(place, account, "unit", units)
    limits = value.get("limits")
    if isinstance(limits, dict):
        yield from check_object(("limits",), limits, LIMITS)


def items(place: Place, parent: dict) -> Iterator[tuple[Place, Any]]:
    """Yield the items of a list, which is the last field of a place, with places."""
    found = parent.get(place[-1])
    if isinstance(found, list):
        for index, item in enumerate(found):
            yield (*place, index), item


def check_object(
    place: Place, value: object, types: dict[str, FieldType]
) -> Iterator[Finding]:
    """Check the fields of an object; fields without a type are ignored."""
    if not isinstance(value, dict):
        yield from check_value(place, value, expect_object)
        return
    for name, field_type in types.items():
        if name not in value:
            if field_type.required:
                message = f"the field {name!r} is missing"
                yield Finding(ERROR, "missing_field", place, message)
        elif not (field_type.nullable and value[name] in (None, "")):
            yield from check_value((*place, name), value[name], field_type.validate)


def check_value(place: Place, value: object, validate: Validate) -> Iterator[Finding]:
    """Check the type of a value."""
    expected = validate(value)
    if expected is None:
        return
    found = TYPE_NAMES[type(value)]
    message = f"expected {expected}"
    if found not in expected and not (isinstance(value, str) and "string" in expected):
        message += f", found {found}"
    yield Finding(ERROR, "malformed_field", place, message)


def check_targets(place: Place, route: dict) -> Iterator[Finding]:
    """Check the targets of a route, in either form."""
    if not route.get("trafficSplit") and not route.get("service"):
        message = "the route has no service"
        yield Finding(ERROR, "missing_field", place, message)
    for position, target in items((*place, "trafficSplit"), route):
        yield from check_object(position, target, TARGET)


def check_known(
    place: Place, entry: dict, name: str, known: tuple[str, ...]
) -> Iterator[Finding]:
    """Warn of a word that hosts do not know and treat as the strictest or default."""
    value = entry.get(name)
    if isinstance(value, str) and value and value not in known:
        used = "unsafe" if name == "kind" else REQUESTS_UNIT
        message = f"unknown value, treated as {used!r}; known: {', '.join(known)}"
        yield Finding(WARNING, f"unknown_{name}", (*place, name), message)
