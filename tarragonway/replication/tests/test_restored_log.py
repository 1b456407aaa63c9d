"""What a process that has just started knows of the log that it has stored."""

import asyncio
import random

import pytest

from tarragonway.consensus import (
    DataFolder,
    Entry,
    EntryKind,
    Member,
    Membership,
    Parameters,
    RaftLog,
    Replica,
)
from tarragonway.consensus.files import FolderFiles
from tarragonway.consensus.membership_history import MembershipHistory
from tarragonway.coordinator.machine import (
    CoordinatorMachine,
    PutConfiguration,
    PutHeldParts,
)
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.core.numbers import encode_integer
from tarragonway.replication import DriverConfig, LogDriver


def make_driver(folder, stored):
    entries = [Entry(n + 1, 1, EntryKind.NOOP, b"") for n in range(stored)]
    replica = Replica(
        MemberId("a#1"),
        Parameters(1000),
        random.Random(1),
        log=RaftLog(0, 0, entries),
    )
    return LogDriver(
        DriverConfig(Member(MemberId("a#1"), ProcessName("a")), 0.01, 1, 100),
        ClusterId("c"),
        replica,
        DataFolder(FolderFiles(folder)),
        CoordinatorMachine(),
        lambda packet: None,
        Counters(),
    )


@pytest.mark.parametrize(("stored", "applied"), [(0, True), (3, False)])
async def test_stored_entries_are_not_applied_at_the_start(tmp_path, stored, applied):
    assert make_driver(tmp_path, stored).has_applied_restored_log is applied


async def test_entries_that_a_leader_has_removed_need_not_be_applied(tmp_path):
    driver = make_driver(tmp_path, 3)
    driver.applied = 2
    assert not driver.has_applied_restored_log
    driver.replica._log.truncate(3)
    assert driver.has_applied_restored_log


# Guards against a command without an encoding that ends the task which runs the log.
async def test_command_that_cannot_be_encoded_fails_alone(tmp_path):
    driver = make_driver(tmp_path, 0)
    members = (Member(MemberId("a#1"), ProcessName("a")),)
    driver.replica._memberships = MembershipHistory(0, Membership(members))
    driver.replica._start_election(pre=False)
    task = asyncio.create_task(driver.run())
    with pytest.raises(OverflowError):
        await driver.propose(PutConfiguration(10**30, b""))
    stored = await driver.propose(PutConfiguration(encode_integer(10**30), b"a"))
    assert stored.revision == 10**30
    assert not task.done()
    task.cancel()
    await asyncio.wait([task])


# Guards against a leader that decides from a state without its predecessors' changes,
# such as while its disk stands still, and proposes to undo them.
async def test_process_leads_once_it_has_applied_the_former_leaders_entries(
    tmp_path, monkeypatch
):
    driver = make_driver(tmp_path, 0)
    held = {"f": ("e1", "e2", "e3")}
    payload = driver.machine.encode_command(PutHeldParts({}, held), 0)
    members = (Member(MemberId("a#1"), ProcessName("a")),)
    driver.replica._memberships = MembershipHistory(0, Membership(members))
    driver.replica._log.append(Entry(1, 1, EntryKind.COMMAND, payload))
    driver.replica._start_election(pre=False)
    disk_works = asyncio.Event()
    monkeypatch.setattr(driver, "_make_durable", lambda output: disk_works.wait())
    applied = asyncio.Event()
    driver.on_state_change = applied.set
    task = asyncio.create_task(driver.run())
    await asyncio.sleep(0.05)
    assert driver.replica.is_ready_leader and not driver.machine.held_contents
    assert not driver.is_leader
    disk_works.set()
    await applied.wait()
    assert driver.is_leader and driver.machine.held_contents == held
    task.cancel()
    await asyncio.wait([task])
