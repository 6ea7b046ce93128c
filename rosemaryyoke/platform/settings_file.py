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
        grace_s=float(bounds["graceS"]),
        lease_s=bounds["leaseMs"] / MILLISECONDS,
        weights_bound_s=bounds["versionMs"] / MILLISECONDS,
        retry_ratio=float(bounds["retryBudgetRatio"]),
        retry_slack=float(bounds["retryBudgetSlack"]),
        retry_window_s=float(bounds["budgetWindowS"]),
        answer_lifetime_max_s=float(bounds["ttl_max_s"]),
    )
