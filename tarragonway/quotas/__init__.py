"""Division of a client account's quota among its requests by urgency.

It addresses one account that sends several times its quota for some seconds. First
come, first served would then give the units to whichever kind sends the most.
"""

from tarragonway.quotas.classes import (
    DIVISION_INTERVAL_S,
    MAX_DIVISION_AGE_S,
    ClassShares,
    QuotaAsk,
)
from tarragonway.quotas.division import ClassDemand, RequestClass, classify, divide

__all__ = [
    "DIVISION_INTERVAL_S",
    "MAX_DIVISION_AGE_S",
    "ClassDemand",
    "ClassShares",
    "QuotaAsk",
    "RequestClass",
    "classify",
    "divide",
]
