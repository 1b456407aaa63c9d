"""The task that runs a replica of the log: disk, peers, state machine, membership."""

from tarragonway.replication.driver import DriverConfig, LogDriver, Machine, NotLeader
from tarragonway.replication.repair import plan_change

__all__ = ["DriverConfig", "LogDriver", "Machine", "NotLeader", "plan_change"]
