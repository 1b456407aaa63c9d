"""Raft replicated log: a replica without input or output, and its durable storage."""

from tarragonway.consensus.log import RaftLog
from tarragonway.consensus.members import Member, Membership
from tarragonway.consensus.messages import (
    Entry,
    EntryKind,
    HardState,
    LogTail,
    Message,
    Packet,
    Snapshot,
)
from tarragonway.consensus.model import Output, Parameters, ReadReady, Role
from tarragonway.consensus.replica import Replica
from tarragonway.consensus.storage import DataFolder, Recovered

__all__ = [
    "DataFolder",
    "Entry",
    "EntryKind",
    "HardState",
    "LogTail",
    "Member",
    "Membership",
    "Message",
    "Output",
    "Packet",
    "Parameters",
    "RaftLog",
    "ReadReady",
    "Recovered",
    "Replica",
    "Role",
    "Snapshot",
]
