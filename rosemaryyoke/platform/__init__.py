"""The platform's object API: messages, adapters, conditional updates."""

from rosemaryyoke.platform.adapters import HttpObjectApi, platform_adapters
from rosemaryyoke.platform.leases import Lease
from rosemaryyoke.platform.objects import (
    LEAVING,
    LIVE,
    Change,
    Changes,
    ListedHost,
    ObjectApi,
    PlatformError,
    StoredObject,
)
from rosemaryyoke.platform.updates import Abandoned, update_object

__all__ = [
    "Abandoned",
    "Change",
    "Changes",
    "HttpObjectApi",
    "LEAVING",
    "LIVE",
    "Lease",
    "ListedHost",
    "ObjectApi",
    "PlatformError",
    "StoredObject",
    "platform_adapters",
    "update_object",
]
