"""Task that runs a replica of the log with its disk, peers and state machine."""

from tarragonway.replication.driver import DriverConfig, LogDriver, Machine, NotLeader
from tarragonway.replication.membership_changes import plan_membership_change

__all__ = [
    "DriverConfig",
    "LogDriver",
    "Machine",
    "NotLeader",
    "plan_membership_change",
]
