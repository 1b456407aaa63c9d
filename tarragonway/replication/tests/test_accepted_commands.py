"""Number of voters with which a leader accepts commands."""

import random

import pytest

from tarragonway.consensus import DataFolder, Member, Membership, Parameters, Replica
from tarragonway.consensus.files import FolderFiles
from tarragonway.consensus.membership_history import MembershipHistory
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.replication import DriverConfig, LogDriver

A, B, C = (Member(MemberId(f"{n}#1"), ProcessName(n)) for n in "abc")


class ReadyLeader(Replica):
    """Leader that has committed an entry of its term."""

    is_ready_leader = True


# Guards against a group that refuses all changes while a lost voter's place is empty.
@pytest.mark.parametrize(
    ("membership", "accepts"),
    [
        (Membership((A,)), False),
        (Membership((A, B)), False),
        (Membership((A, B, C)), True),
        (Membership((A, B, C)).remove(C.id), True),
    ],
)
def test_commands_are_accepted_once_formed_and_while_reduced(
    tmp_path, membership, accepts
):
    replica = ReadyLeader(A.id, Parameters(), random.Random(1))
    replica._memberships = MembershipHistory(0, membership)
    driver = LogDriver(
        DriverConfig(A, 0.05, 3, 100),
        ClusterId("g"),
        replica,
        DataFolder(FolderFiles(tmp_path)),
        CoordinatorMachine(),
        lambda packet: None,
        Counters(),
    )
    assert driver.is_leader == accepts
