"""Configuration and upstream registrations used to route exchanges."""

from rosemaryyoke.catalog.catalog import Catalog
from rosemaryyoke.catalog.follower import CatalogSource, Follower
from rosemaryyoke.catalog.model import (
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

__all__ = [
    "Catalog",
    "CatalogSource",
    "ClientAccount",
    "Configuration",
    "ConnectionLimits",
    "EngineTraits",
    "ExchangeRoute",
    "Follower",
    "Quota",
    "SAFE",
    "STREAM",
    "ServiceTraits",
    "Target",
    "UNSAFE",
    "Upstream",
    "WantedWeights",
]
