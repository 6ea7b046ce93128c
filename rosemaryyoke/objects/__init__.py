"""Client for the platform's durable object API, with leases and conditional updates."""

from rosemaryyoke.objects.leases import Lease
from rosemaryyoke.objects.objects import (
    LEAVING,
    LIVE,
    Change,
    Changes,
    ListedHost,
    ObjectApi,
    PlatformError,
    StoredObject,
)
from rosemaryyoke.objects.reporting import ReportingObjectApi
from rosemaryyoke.objects.updates import Abandoned, update_object

__all__ = [
    "Abandoned",
    "Change",
    "Changes",
    "LEAVING",
    "LIVE",
    "Lease",
    "ListedHost",
    "ObjectApi",
    "PlatformError",
    "ReportingObjectApi",
    "StoredObject",
    "update_object",
]
