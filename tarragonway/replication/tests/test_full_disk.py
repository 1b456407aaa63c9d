"""A group of one whose disk refuses writes for some time."""

import asyncio
import errno
import random

from tarragonway.consensus import DataFolder, Member, Membership, Parameters, Replica
from tarragonway.consensus.membership_history import MembershipHistory
from tarragonway.consensus.tests.cluster import FakeDisk
from tarragonway.coordinator.machine import CoordinatorMachine, PutConfiguration
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.replication import DriverConfig, LogDriver

MEMBER = Member(MemberId("a#1"), ProcessName("a"))


class FullDisk(FakeDisk):
    """Files that refuse to grow while ``is_full``."""

    is_full = False

    def append(self, name, data):
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().append(name, data)


def make_leader(disk):
    replica = Replica(MEMBER.id, Parameters(1000), random.Random(1))
    replica._memberships = MembershipHistory(0, Membership((MEMBER,)))
    replica._start_election(pre=False)
    return LogDriver(
        DriverConfig(MEMBER, 0.01, 1, 100),
        ClusterId("c"),
        replica,
        DataFolder(disk),
        CoordinatorMachine(),
        lambda packet: None,
        Counters(),
    )


# Guards against a leader that cannot write and does not show it.
async def test_leader_with_full_disk_shows_it_and_goes_on_once_there_is_room():
    disk = FullDisk()
    driver = make_leader(disk)
    task = asyncio.create_task(driver.run())
    await driver.propose(PutConfiguration(1, b"a"))
    assert driver.disk_refusal_s == 0
    disk.is_full = True
    proposal = asyncio.create_task(driver.propose(PutConfiguration(2, b"b")))
    await asyncio.sleep(0.3)
    assert driver.disk_refusal_s >= 0.2
    assert driver._counters.snapshot()["log.disk_refused_leader"] >= 1
    assert not proposal.done()
    disk.is_full = False
    assert (await proposal).revision == 2
    assert driver.disk_refusal_s == 0
    task.cancel()
    await asyncio.wait([task])
