"""The routing configuration: routes, services and client accounts."""

from tarragonway.routes.model import (
    Account,
    ChannelLimits,
    Configuration,
    EngineTraits,
    Repeatability,
    Route,
    ScalingTraits,
    Service,
    ServiceShare,
)
from tarragonway.routes.table import RouteTable

__all__ = [
    "Account",
    "ChannelLimits",
    "Configuration",
    "EngineTraits",
    "Repeatability",
    "Route",
    "RouteTable",
    "ScalingTraits",
    "Service",
    "ServiceShare",
]
