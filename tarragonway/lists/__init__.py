"""The operators' two lists: plans held by client accounts, and what a plan may use."""

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
