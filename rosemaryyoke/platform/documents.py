"""Decodes objects of the platform's store into catalog types."""

from typing import Any, Callable

import orjson
from absl import logging
from attrs import define
from result import Err, Ok, Result

from rosemaryyoke.catalog import (
    SAFE,
    STREAM,
    UNSAFE,
    ClientAccount,
    Configuration,
    ConnectionLimits,
    EngineTraits,
    ExchangeRoute,
    Quota,
    ServiceTraits,
    Target,
    Upstream,
    WantedWeights,
)
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects.objects import StoredObject
from rosemaryyoke.platform.names import (
    CONFIGURATION_KIND,
    UPSTREAMS_KIND,
    WEIGHTS_KIND,
)
from rosemaryyoke.platform.store import PlatformStore

MS_PER_S = 1_000
MAX_EXACT_INT = 2**53 - 1  # of JSON numbers
ROUTE_KINDS = {"safe": SAFE, "unsafe": UNSAFE, "streaming": STREAM}
DRAINING_BY_STATE = {"ready": False, "draining": True}
TOKENS_UNIT = "tokens"
DEFAULT_PRIORITY = 5  # the least urgent


@define(eq=False)
class PlatformSource:
    """Maps the catalog's kinds to the platform's store and decodes their objects."""

    feed: PlatformStore
    configuration_kind: str = CONFIGURATION_KIND
    upstreams_kind: str = UPSTREAMS_KIND
    weights_kind: str = WEIGHTS_KIND

    def decode_configuration(self, stored: StoredObject) -> Result[Configuration, str]:
        """Decode a configuration, or return an error message."""
        return decode(read_configuration, stored.body)

    def decode_upstream(self, stored: StoredObject) -> Result[Upstream, str]:
        """Decode an upstream, or return an error message."""
        return decode(lambda value: read_upstream(stored.name, value), stored.body)

    def decode_wanted(self, stored: StoredObject) -> Result[WantedWeights, str]:
        """Decode the wanted weights of a model, or return an error message."""
        return decode(read_wanted, stored.body)


def decode(read: Callable[[Any], Any], body: bytes) -> Result[Any, str]:
    """Parse JSON and apply ``read`` to it, or return an error message."""
    try:
        return Ok(read(orjson.loads(body)))
    except (KeyError, TypeError, ValueError, AttributeError, OSError) as error:
        return Err(f"{type(error).__name__}: {error}")


def read_configuration(value: dict) -> Configuration:
    """Read a configuration."""
    return Configuration(
        version=require_int(value["version"]),
        routes=tuple(read_route(item) for item in value["routes"]),
        services={item["name"]: read_service(item) for item in value["services"]},
        accounts=tuple(read_account(item) for item in value.get("tenants") or ()),
        limits=read_limits(value.get("limits") or {}),
    )


def read_route(value: dict) -> ExchangeRoute:
    """Read a route; ``trafficSplit`` gives the weight of each target service.

    An unknown kind is treated as unsafe, so its requests are not retried.
    """
    split = value.get("trafficSplit") or [{"service": value.get("service")}]
    targets = tuple(
        Target(require_text(item["service"]), float(item.get("weight", 1)))
        for item in split
    )
    return ExchangeRoute(
        name=require_text(value["name"]),
        host=require_text(value["host"]).lower(),
        path_prefix=require_text(value["pathPrefix"]),
        kind=ROUTE_KINDS.get(value["kind"], UNSAFE),
        targets=targets,
        timeout_s=value["timeoutMs"] / MS_PER_S,
        objective_s=value.get("targetLatencyMs", 1_000) / MS_PER_S,
        priority=require_int(value.get("priority", DEFAULT_PRIORITY)),
        max_attempts=max(1, require_int(value.get("maxAttempts", 1))),
        public=bool(value.get("public", False)),
        resumable=bool(value.get("resumable", False)),
    )


def read_service(value: dict) -> ServiceTraits:
    """Read a service, which is a KV cache store if it has ``kvStoreAddr``."""
    store = value.get("kvStoreAddr")
    engine = value.get("engine")
    return ServiceTraits(
        name=require_text(value["name"]),
        health_path=value.get("healthPath") or "/health",
        max_connections=require_int(value.get("maxConnections") or 0),
        engine=read_engine(engine) if engine else None,
        store=Address.parse(store) if store else None,
        store_tokens=require_int(value.get("kvCapacityTokens") or 0) if store else 0,
    )


def read_engine(value: dict) -> EngineTraits:
    """Read the traits shared by all engines of a service."""
    return EngineTraits(
        slots=require_int(value["slots"]),
        cache_tokens=require_int(value["kvCapacityTokens"]),
        token_bytes=require_int(value.get("tokenKvBytes", 0)),
        link_mbps=float(value.get("linkMbps", 0)),
        models=tuple(require_text(item["name"]) for item in value.get("models") or ()),
    )


def read_account(value: dict) -> ClientAccount:
    """Read a client account, called tenant on the wire."""
    priority = value.get("priority")
    return ClientAccount(
        name=require_text(value["name"]),
        keys=tuple(require_text(key) for key in value.get("apiKeys") or ()),
        priority=None if priority is None else require_int(priority),
        isolated=bool(value.get("isolated", False)),
        quota=read_quota(value),
    )


def read_quota(value: dict) -> Quota | None:
    """Read the quota of an account; ``None`` without a rate, or if it is malformed.

    A malformed quota must not keep the rest of the configuration from use.
    """
    try:
        quota = read_declared_quota(value)
    except (TypeError, ValueError) as error:
        logging.warning("quota of account %r ignored: %s", value.get("name"), error)
        return None
    return quota if quota.rate_per_s else None


def read_declared_quota(value: dict) -> Quota:
    """Read the quota of an account as written, also one with a rate of 0.

    Raise ``TypeError`` or ``ValueError`` if it is malformed.
    """
    return Quota(
        rate_per_s=require_amount(value.get("ratePerS") or 0),
        burst=require_amount(value.get("burst") or 0),
        in_tokens=value.get("unit") == TOKENS_UNIT,
        uncounted_tokens=require_amount(value.get("uncachedTokens") or 0),
    )


def require_amount(value: object) -> float:
    """Return a finite number that is not negative, else raise an error.

    Messages are logged and never contain other values: they may be misplaced keys.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    if not 0 <= value <= MAX_EXACT_INT:
        raise ValueError(f"number {value!r} is out of range")
    return float(value)


def read_limits(value: dict) -> ConnectionLimits:
    """Read the size and timeout limits for callers' connections."""
    default = ConnectionLimits()
    head_ms = value.get("headerTimeoutMs", default.head_timeout_s * MS_PER_S)
    idle_ms = value.get("idleTimeoutMs", default.idle_timeout_s * MS_PER_S)
    return ConnectionLimits(
        head_bytes=require_int(value.get("maxHeaderBytes", default.head_bytes)),
        body_bytes=require_int(value.get("maxBodyBytes", default.body_bytes)),
        head_timeout_s=head_ms / MS_PER_S,
        idle_timeout_s=idle_ms / MS_PER_S,
    )


def read_upstream(name: str, value: dict) -> Upstream:
    """Read an upstream; its ``version`` field is the version of its software."""
    models = value.get("models") or []
    software = value.get("version")
    return Upstream(
        name=name,
        service=require_text(value["service"]),
        address=require_address(value["address"]),
        data_centre=require_text(value["zone"]),
        slots=require_int(value["slots"]),
        draining=DRAINING_BY_STATE[value["state"]],
        cold_s=float(value.get("coldRemainingMs") or 0) / MS_PER_S,
        weights=read_weights(models),
        born_ms=require_int(value.get("born", 0)),
        software=software if isinstance(software, str) else "",
    )


def read_weights(models: list[dict]) -> dict[str, int]:
    """Read the version that an engine serves of each model."""
    return {require_text(item["name"]): require_int(item["version"]) for item in models}


def read_wanted(value: dict) -> WantedWeights:
    """Read the wanted weights of a model."""
    return WantedWeights(require_text(value["model"]), require_int(value["version"]))


def require_text(value: object) -> str:
    """Return the value if it is a non-empty string, else raise ``TypeError``."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"expected a non-empty string, got {value!r}")
    return value


def require_address(value: object) -> Address:
    """Return an address to connect to; raise ``TypeError`` or ``ValueError``."""
    address = Address.parse(require_text(value))
    if not address.port:
        raise ValueError("no connection can be opened to port 0")
    return address


def require_int(value: object) -> int:
    """Return a number truncated to an integer; raise ``TypeError`` for other types.

    Raise ``ValueError`` for numbers that not every program holds exactly.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected a number, got {value!r}")
    if abs(value) > MAX_EXACT_INT:
        raise ValueError(f"number {value!r} is too large")
    return int(value)
