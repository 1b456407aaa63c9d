"""Endpoints of the services: the platform's list, and which are leaving."""

from tarragonway.endpoints.model import (
    Endpoint,
    EndpointState,
    MarkLeaving,
    ObserveEndpoints,
)
from tarragonway.endpoints.table import EndpointTable

__all__ = [
    "Endpoint",
    "EndpointState",
    "EndpointTable",
    "MarkLeaving",
    "ObserveEndpoints",
]
