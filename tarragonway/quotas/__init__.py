"""Division of a client account's quota among its requests by urgency.

It addresses one account that sends several times its quota for some seconds. First
come, first served would then give the units to whichever kind sends the most.
"""

from tarragonway.quotas.classes import ClassShares, QuotaAsk
from tarragonway.quotas.division import ClassDemand, RequestClass, classify, divide

__all__ = [
    "ClassDemand",
    "ClassShares",
    "QuotaAsk",
    "RequestClass",
    "classify",
    "divide",
]
