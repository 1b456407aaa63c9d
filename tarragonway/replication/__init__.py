"""Task that runs a replica of the log with its disk, peers and state machine."""

from tarragonway.replication.driver import DriverConfig, LogDriver, Machine, NotLeader
from tarragonway.replication.repair import plan_change

__all__ = ["DriverConfig", "LogDriver", "Machine", "NotLeader", "plan_change"]
