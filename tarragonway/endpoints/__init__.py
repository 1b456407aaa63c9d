"""Endpoints: which there are, and which are leaving."""

from tarragonway.endpoints.model import Endpoint, EndpointState, MarkLeaving, Observe
from tarragonway.endpoints.table import EndpointTable

__all__ = ["Endpoint", "EndpointState", "EndpointTable", "MarkLeaving", "Observe"]
