"""Hedged requests: when a late request is sent to a second endpoint as well.

Load pattern: endpoints whose speed changes several times a second, so that a few
requests take far longer than was estimated when they were sent.
"""

from tarragonway.hedging.budget import HedgeBudget
from tarragonway.hedging.decision import (
    EndpointFigures,
    HedgeDenial,
    HedgedRequest,
    check_endpoints,
    check_request,
    may_hedge,
)
from tarragonway.hedging.delays import HedgeDelays

__all__ = [
    "EndpointFigures",
    "HedgeBudget",
    "HedgeDelays",
    "HedgeDenial",
    "HedgedRequest",
    "check_endpoints",
    "check_request",
    "may_hedge",
]
