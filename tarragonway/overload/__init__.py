"""Load shedding by priority and client account.

It addresses services whose endpoints can serve less than all accounts together offer
within their quotas. Endpoints would then serve the requests of all ranks equally late.
"""

from tarragonway.overload.messages import AdmittedRow, OfferedRow, OfferedService
from tarragonway.overload.planner import SheddingPlanner
from tarragonway.overload.shares import LoadKey, OfferedLoad, admit
from tarragonway.overload.shedder import LoadShedder

__all__ = [
    "AdmittedRow",
    "LoadKey",
    "LoadShedder",
    "OfferedLoad",
    "OfferedRow",
    "OfferedService",
    "SheddingPlanner",
    "admit",
]
