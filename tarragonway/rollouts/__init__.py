"""Rollouts: gradual moves of a service's traffic to another software version."""

from tarragonway.rollouts.messages import (
    RolloutCounts,
    RolloutOrders,
    RolloutShare,
    RouteCounts,
    VersionCounts,
)
from tarragonway.rollouts.model import (
    MAX_DEADLINE_S,
    InvalidOrderError,
    Rollout,
    RolloutOrder,
    RolloutState,
)

__all__ = [
    "MAX_DEADLINE_S",
    "InvalidOrderError",
    "Rollout",
    "RolloutCounts",
    "RolloutOrder",
    "RolloutOrders",
    "RolloutShare",
    "RolloutState",
    "RouteCounts",
    "VersionCounts",
]
