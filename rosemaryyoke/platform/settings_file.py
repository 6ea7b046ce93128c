"""The platform's settings file, read into the settings of a routing host."""

import os
from pathlib import Path
from typing import Any

import orjson
from result import Err, Ok, Result

from rosemaryyoke.exchanges.settings import RoutingSettings
from rosemaryyoke.http1 import Address
from rosemaryyoke.platform.names import SETTINGS_VARIABLE

MILLISECONDS = 1_000
SECONDS = 1
RATIO = 1
BOUNDS = {
    "graceS": ("grace_s", SECONDS),
    "leaseMs": ("lease_s", MILLISECONDS),
    "versionMs": ("weights_bound_s", MILLISECONDS),
    "retryBudgetRatio": ("retry_ratio", RATIO),
    "retryBudgetSlack": ("retry_slack", RATIO),
    "budgetWindowS": ("retry_window_s", SECONDS),
    "ttl_max_s": ("answer_lifetime_max_s", SECONDS),
}


def settings_path() -> Path | None:
    """Return where the platform put the settings file, or none."""
    path = os.environ.get(SETTINGS_VARIABLE)
    return Path(path) if path else None


def load_routing_settings(path: Path) -> Result[RoutingSettings, str]:
    """Return the settings of a file, or the first fault with its field's name."""
    try:
        return Ok(read_settings(orjson.loads(path.read_bytes())))
    except KeyError as error:
        return Err(f"settings: the field {error} is missing")
    except (OSError, ValueError, TypeError, AttributeError) as error:
        return Err(f"settings: {error}")


def read_settings(value: dict[str, Any]) -> RoutingSettings:
    """Return the settings of a document; fields that are not known are ignored."""
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
        **read_bounds(bounds),
    )


def read_bounds(bounds: dict[str, Any]) -> dict[str, float]:
    """Return the agreed bounds that a deployment states; the others keep defaults."""
    return {
        name: bounds[field] / unit
        for field, (name, unit) in BOUNDS.items()
        if bounds.get(field) is not None
    }
