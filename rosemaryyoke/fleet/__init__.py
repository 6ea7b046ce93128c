"""Upstreams as a host sees them: load, health, beliefs and placement."""

from rosemaryyoke.fleet.belief import ReadPart
from rosemaryyoke.fleet.budget import RetryBudget
from rosemaryyoke.fleet.fleet import Fleet, OwnLoad, PromptRead, upstream_key
from rosemaryyoke.fleet.placement import (
    Chooser,
    NoUpstream,
    Placement,
    PlacementRequest,
)
from rosemaryyoke.fleet.state import UpstreamState, Work
from rosemaryyoke.fleet.stores import CacheStores, StoreBelief

__all__ = [
    "CacheStores",
    "Chooser",
    "Fleet",
    "NoUpstream",
    "OwnLoad",
    "Placement",
    "PlacementRequest",
    "PromptRead",
    "ReadPart",
    "RetryBudget",
    "StoreBelief",
    "UpstreamState",
    "Work",
    "upstream_key",
]
