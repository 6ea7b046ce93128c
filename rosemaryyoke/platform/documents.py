"""Objects of the platform's store, read into the product's declarations."""

from typing import Any, Callable

import orjson
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

MILLISECONDS = 1_000
KINDS = {"safe": SAFE, "unsafe": UNSAFE, "streaming": STREAM}
STATES = {"ready": False, "draining": True}
LEAST_URGENT = 5


@define(eq=False)
class PlatformSource:
    """Where the catalog's kinds lie in the platform's store."""

    feed: PlatformStore
    configuration_kind: str = CONFIGURATION_KIND
    upstreams_kind: str = UPSTREAMS_KIND
    weights_kind: str = WEIGHTS_KIND

    def decode_configuration(self, stored: StoredObject) -> Result[Configuration, str]:
        """Return the configuration of an object, or what is wrong with it."""
        return decode(read_configuration, stored.body)

    def decode_upstream(self, stored: StoredObject) -> Result[Upstream, str]:
        """Return the upstream of an object, or what is wrong with it."""
        return decode(lambda value: read_upstream(stored.name, value), stored.body)

    def decode_wanted(self, stored: StoredObject) -> Result[WantedWeights, str]:
        """Return the wanted weights of an object, or what is wrong with them."""
        return decode(read_wanted, stored.body)


def decode(read: Callable[[Any], Any], body: bytes) -> Result[Any, str]:
    """Return what a reader makes of a JSON text, or what is wrong with it."""
    try:
        return Ok(read(orjson.loads(body)))
    except (KeyError, TypeError, ValueError, AttributeError, OSError) as error:
        return Err(f"{type(error).__name__}: {error}")


def read_configuration(value: dict) -> Configuration:
    """Return the configuration of a document."""
    return Configuration(
        version=whole(value["version"]),
        routes=tuple(read_route(item) for item in value["routes"]),
        services={item["name"]: read_service(item) for item in value["services"]},
        accounts=tuple(read_account(item) for item in value.get("tenants") or ()),
        limits=read_limits(value.get("limits") or {}),
    )


def read_route(value: dict) -> ExchangeRoute:
    """Return a route; its share of each service is the wire's ``trafficSplit``.

    A kind that is not known may not be repeated.
    """
    split = value.get("trafficSplit") or [{"service": value.get("service")}]
    targets = tuple(
        Target(text(item["service"]), float(item.get("weight", 1))) for item in split
    )
    return ExchangeRoute(
        name=text(value["name"]),
        host=text(value["host"]).lower(),
        path_prefix=text(value["pathPrefix"]),
        kind=KINDS.get(value["kind"], UNSAFE),
        targets=targets,
        timeout_s=value["timeoutMs"] / MILLISECONDS,
        objective_s=value.get("targetLatencyMs", 1_000) / MILLISECONDS,
        priority=whole(value.get("priority", LEAST_URGENT)),
        max_attempts=max(1, whole(value.get("maxAttempts", 1))),
        public=bool(value.get("public", False)),
        resumable=bool(value.get("resumable", False)),
    )


def read_service(value: dict) -> ServiceTraits:
    """Return a service, or a KV cache store where it has an address of its own."""
    store = value.get("kvStoreAddr")
    engine = value.get("engine")
    return ServiceTraits(
        name=text(value["name"]),
        health_path=value.get("healthPath") or "/health",
        max_connections=whole(value.get("maxConnections") or 0),
        engine=read_engine(engine) if engine else None,
        store=Address.parse(store) if store else None,
        store_tokens=whole(value.get("kvCapacityTokens") or 0) if store else 0,
    )


def read_engine(value: dict) -> EngineTraits:
    """Return what a service's engines have in common."""
    return EngineTraits(
        slots=whole(value["slots"]),
        cache_tokens=whole(value["kvCapacityTokens"]),
        token_bytes=whole(value.get("tokenKvBytes", 0)),
        link_mbps=float(value.get("linkMbps", 0)),
        models=tuple(text(item["name"]) for item in value.get("models") or ()),
    )


def read_account(value: dict) -> ClientAccount:
    """Return a client account, the wire's tenant."""
    priority = value.get("priority")
    return ClientAccount(
        name=text(value["name"]),
        keys=tuple(text(key) for key in value.get("apiKeys") or ()),
        priority=None if priority is None else whole(priority),
        isolated=bool(value.get("isolated", False)),
    )


def read_limits(value: dict) -> ConnectionLimits:
    """Return what a caller may send."""
    default = ConnectionLimits()
    head_ms = value.get("headerTimeoutMs", default.head_timeout_s * MILLISECONDS)
    idle_ms = value.get("idleTimeoutMs", default.idle_timeout_s * MILLISECONDS)
    return ConnectionLimits(
        head_bytes=whole(value.get("maxHeaderBytes", default.head_bytes)),
        body_bytes=whole(value.get("maxBodyBytes", default.body_bytes)),
        head_timeout_s=head_ms / MILLISECONDS,
        idle_timeout_s=idle_ms / MILLISECONDS,
    )


def read_upstream(name: str, value: dict) -> Upstream:
    """Return an upstream; ``version`` on the wire is that of its software."""
    models = value.get("models") or []
    return Upstream(
        name=name,
        service=text(value["service"]),
        address=Address.parse(text(value["address"])),
        data_centre=text(value["zone"]),
        slots=whole(value["slots"]),
        draining=STATES[value["state"]],
        cold_s=float(value.get("coldRemainingMs") or 0) / MILLISECONDS,
        weights={text(item["name"]): whole(item["version"]) for item in models},
    )


def read_wanted(value: dict) -> WantedWeights:
    """Return the named weights of a model."""
    return WantedWeights(text(value["model"]), whole(value["version"]))


def text(value: object) -> str:
    """Return a value that is a text with characters; raise ``TypeError`` else."""
    if not isinstance(value, str) or not value:
        raise TypeError(f"a text is needed, not {value!r}")
    return value


def whole(value: object) -> int:
    """Return a value that is a whole number; raise ``TypeError`` else."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"a number is needed, not {value!r}")
    return int(value)
