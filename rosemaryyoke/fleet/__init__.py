"""A host's view of the upstreams: load, health, estimated caches and placement."""

from rosemaryyoke.fleet.budget import RetryBudget
from rosemaryyoke.fleet.cache_estimate import HashedPart
from rosemaryyoke.fleet.capacity import Figures, SpeedReport
from rosemaryyoke.fleet.fleet import (
    Fleet,
    PromptPrefill,
    UpstreamLoad,
    service_key,
    upstream_key,
)
from rosemaryyoke.fleet.placement import (
    Chooser,
    ComparedQueue,
    NoUpstream,
    Placement,
    PlacementRequest,
)
from rosemaryyoke.fleet.rate_limits import LimitReport
from rosemaryyoke.fleet.room import BrittleReport
from rosemaryyoke.fleet.state import ActiveRequest, UpstreamState
from rosemaryyoke.fleet.stores import CacheStores, StoreEstimate

__all__ = [
    "ActiveRequest",
    "BrittleReport",
    "CacheStores",
    "Chooser",
    "ComparedQueue",
    "Figures",
    "Fleet",
    "HashedPart",
    "LimitReport",
    "NoUpstream",
    "Placement",
    "PlacementRequest",
    "PromptPrefill",
    "RetryBudget",
    "SpeedReport",
    "StoreEstimate",
    "UpstreamLoad",
    "UpstreamState",
    "service_key",
    "upstream_key",
]
