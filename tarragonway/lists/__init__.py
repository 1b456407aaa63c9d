"""The operators' two lists: the plan of each client account, and the plans' limits."""

from tarragonway.lists.check import check_lists
from tarragonway.lists.diff import compute_diff
from tarragonway.lists.model import (
    Account,
    AccountList,
    Lists,
    Plan,
    PlanList,
    Service,
    ServiceKind,
)

__all__ = [
    "Account",
    "AccountList",
    "Lists",
    "Plan",
    "PlanList",
    "Service",
    "ServiceKind",
    "check_lists",
    "compute_diff",
]
