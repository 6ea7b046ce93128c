"""Roll-outs of model weights: which engine loads which version, on whose order."""

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
