"""Quotas of client accounts, across all hosts together."""

from rosemaryyoke.quotas.bucket import QuotaBounds, QuotaBucket
from rosemaryyoke.quotas.node import Decision, PendingRequest, QuotaNode

__all__ = [
    "Decision",
    "PendingRequest",
    "QuotaBounds",
    "QuotaBucket",
    "QuotaNode",
]
