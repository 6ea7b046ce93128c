"""Weights roll-outs: which engine loads what, and who may order it."""

from rosemaryyoke.rollout.messages import (
    EngineClient,
    EngineReport,
    OrderOutcome,
    RunningRequests,
    WeightsOrder,
)

__all__ = [
    "EngineClient",
    "EngineReport",
    "OrderOutcome",
    "RunningRequests",
    "WeightsOrder",
]
