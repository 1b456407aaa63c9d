"""Pace of endpoints: how long work takes there, relative to a usual endpoint."""

from tarragonway.pace.combination import CombinedPaces
from tarragonway.pace.messages import MAX_SENT_PACES, EndpointPace, MeasuredPace
from tarragonway.pace.model import MAX_PACE, MIN_PACE, limit_pace
from tarragonway.pace.service_times import ServiceTimes
from tarragonway.pace.tracker import PaceTracker
from tarragonway.pace.usual_loads import (
    ENGINE_LOAD_HALF_LIFE_S,
    PLAIN_LOAD_HALF_LIFE_S,
    UsualLoads,
)

__all__ = [
    "ENGINE_LOAD_HALF_LIFE_S",
    "MAX_PACE",
    "MAX_SENT_PACES",
    "MIN_PACE",
    "CombinedPaces",
    "EndpointPace",
    "MeasuredPace",
    "PLAIN_LOAD_HALF_LIFE_S",
    "PaceTracker",
    "ServiceTimes",
    "UsualLoads",
    "limit_pace",
]
