"""Weights roll-outs: which engine loads what, and who may order it."""

from rosemaryyoke.rollout.messages import (
    EngineReport,
    Engines,
    OrderOutcome,
    RunningRequests,
    WeightsOrder,
)

__all__ = ["EngineReport", "Engines", "OrderOutcome", "RunningRequests", "WeightsOrder"]
