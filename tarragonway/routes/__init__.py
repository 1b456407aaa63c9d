"""The routing configuration: routes, services and client accounts."""

from tarragonway.routes.model import (
    Account,
    Configuration,
    ConnectionLimits,
    EngineTraits,
    Repeatability,
    Route,
    ScalingTraits,
    Service,
    WeightedService,
)
from tarragonway.routes.table import RouteTable

__all__ = [
    "Account",
    "Configuration",
    "ConnectionLimits",
    "EngineTraits",
    "Repeatability",
    "Route",
    "RouteTable",
    "ScalingTraits",
    "Service",
    "WeightedService",
]
