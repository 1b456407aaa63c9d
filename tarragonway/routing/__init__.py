"""Selection of an endpoint for a request."""

from tarragonway.routing.loads import LoadTracker
from tarragonway.routing.selection import Candidate, RoutingPolicy, select_endpoint
from tarragonway.routing.subset import select_subset

__all__ = [
    "Candidate",
    "LoadTracker",
    "RoutingPolicy",
    "select_endpoint",
    "select_subset",
]
