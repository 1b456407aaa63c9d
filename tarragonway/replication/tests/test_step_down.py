"""Leadership transfer and the wait for a majority when a member stops."""

import asyncio
import random

import pytest

from tarragonway.consensus import (
    DataFolder,
    Member,
    Membership,
    Parameters,
    Replica,
    Role,
)
from tarragonway.consensus.files import FolderFiles
from tarragonway.consensus.membership_history import MembershipHistory
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ClusterId, MemberId, ProcessName
from tarragonway.replication import DriverConfig, LogDriver


class SlowToStepDown(Replica):
    """Steps down only at the transfer request number ``transfers_needed``."""

    transfers = 0
    transfers_needed = 2

    def transfer_leadership(self):
        self.transfers += 1
        if self.transfers >= self.transfers_needed:
            self.role = Role.FOLLOWER
        return None


@pytest.fixture
async def driver(tmp_path):
    replica = SlowToStepDown(MemberId("a#1"), Parameters(1000), random.Random(1))
    replica.role = Role.LEADER
    own = Member(MemberId("a#1"), ProcessName("a"))
    driver = LogDriver(
        DriverConfig(own, 0.01, 1, 100),
        ClusterId("c"),
        replica,
        DataFolder(FolderFiles(tmp_path)),
        CoordinatorMachine(),
        lambda packet: None,
        Counters(),
    )
    task = asyncio.create_task(driver.run())
    yield driver
    task.cancel()
    await asyncio.wait([task])


async def test_lost_transfer_request_is_repeated(driver):
    assert await driver.step_down(1.0)
    assert driver.replica.transfers == 2


async def test_step_down_ends_at_its_limit(driver):
    driver.replica.transfers_needed = 1000
    assert not await driver.step_down(0.1)


class NeededForMajority(SlowToStepDown):
    """One of the last two of three voters, until the third is back.

    The third is back after ``back_after`` checks.
    """

    checks = 0
    first_check_at = None
    back_after = 5

    @property
    def can_stop_safely(self):
        self.checks += 1
        self.first_check_at = self.first_check_at or asyncio.get_running_loop().time()
        return self.checks > self.back_after


async def test_member_needed_for_a_majority_runs_until_another_is_back(driver):
    driver.replica.__class__ = NeededForMajority
    assert await driver.step_down(10.0)
    assert driver.replica.checks > NeededForMajority.back_after


async def test_member_that_stays_needed_stops_within_its_limit(driver):
    driver.replica.__class__ = NeededForMajority
    driver.replica.back_after = 10**9
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert await driver.step_down(1.0)
    assert 0.5 <= loop.time() - started < 1.0


async def test_wait_covers_a_member_that_has_just_stopped(driver):
    """A rolling restart stops the next member 0.4 s after the previous one.

    The previous member still counts as reachable then, so the first check must wait.
    """
    members = tuple(Member(MemberId(f"{n}#1"), ProcessName(n)) for n in "abc")
    driver.replica._memberships = MembershipHistory(0, Membership(members))
    driver.replica.__class__ = NeededForMajority
    loop = asyncio.get_running_loop()
    started = loop.time()
    await driver.step_down(10.0)
    assert (
        driver.replica.first_check_at - started
        >= driver.replica.unreachable_after_ticks * 0.01
    )
