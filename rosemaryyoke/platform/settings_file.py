"""Reads the platform's settings file into the settings of a routing host."""

import os
from pathlib import Path
from typing import Any

import orjson
from result import Err, Ok, Result

from rosemaryyoke.exchanges.settings import RoutingSettings
from rosemaryyoke.hosts.pacer import DEFAULT_LINK_MBPS
from rosemaryyoke.http1 import Address
from rosemaryyoke.platform.names import SETTINGS_VARIABLE

MILLISECONDS = 1_000
SECONDS = 1
RATIO = 1
BOUNDS = {
    "graceS": ("grace_s", SECONDS),
    "drainMs": ("drain_s", MILLISECONDS),
    "configApplyMs": ("apply_s", MILLISECONDS),
    "leaseMs": ("lease_s", MILLISECONDS),
    "versionMs": ("weights_bound_s", MILLISECONDS),
    "retryBudgetRatio": ("retry_ratio", RATIO),
    "retryBudgetSlack": ("retry_slack", RATIO),
    "budgetWindowS": ("retry_window_s", SECONDS),
    "quotaWindowS": ("quota_window_s", SECONDS),
    "quotaOverage": ("quota_overage", RATIO),
    "quotaSlack": ("quota_slack", RATIO),
    "ttl_max_s": ("answer_lifetime_max_s", SECONDS),
}

LIMITS = {
    "memoryMb": ("memory_mb", RATIO),
    "writeStallMs": ("write_stall_s", MILLISECONDS),
}


def settings_path() -> Path | None:
    """Return the path of the settings file from the environment, or None."""
    path = os.environ.get(SETTINGS_VARIABLE)
    return Path(path) if path else None


def load_routing_settings(path: Path) -> Result[RoutingSettings, str]:
    """Load a settings file, or return an error that names the first missing field."""
    try:
        return Ok(read_settings(orjson.loads(path.read_bytes())))
    except KeyError as error:
        return Err(f"settings: missing field {error}")
    except (OSError, ValueError, TypeError, AttributeError) as error:
        return Err(f"settings: {error}")


def read_settings(value: dict[str, Any]) -> RoutingSettings:
    """Read the settings from a JSON document, ignoring unknown fields."""
    listen = value["listen"]
    bounds = value["bounds"]
    return RoutingSettings(
        name=value["nodeName"],
        data_centre=value["zone"],
        region=value["region"],
        callers=Address.parse(listen["front"]),
        readiness=Address.parse(listen["readiness"]),
        directory=Address.parse(listen["directory"]),
        peers=Address.parse(listen["control"]),
        seeds=tuple(Address.parse(item) for item in value.get("seeds") or ()),
        store=Address.parse(value["platform"]["address"]),
        link_mbps=value.get("limits", {}).get("linkMbps") or DEFAULT_LINK_MBPS,
        **read_limits(value.get("limits", {})),
        **read_bounds(bounds),
    )


def read_limits(limits: dict[str, Any]) -> dict[str, float]:
    """Read the limits of the host; those that are not set keep their defaults."""
    return {
        name: limits[field] / unit
        for field, (name, unit) in LIMITS.items()
        if limits.get(field)
    }


def read_bounds(bounds: dict[str, Any]) -> dict[str, float]:
    """Read the bounds that the deployment sets; the others keep their defaults."""
    return {
        name: bounds[field] / unit
        for field, (name, unit) in BOUNDS.items()
        if bounds.get(field) is not None
    }
