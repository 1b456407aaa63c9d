"""Selection of an endpoint for a request."""

from tarragonway.routing.choice import Candidate, RoutingPolicy, choose_endpoint
from tarragonway.routing.loads import LoadBoard
from tarragonway.routing.subset import select_subset

__all__ = [
    "Candidate",
    "LoadBoard",
    "RoutingPolicy",
    "choose_endpoint",
    "select_subset",
]
