import asyncio
import math
from types import SimpleNamespace

import msgspec
import pytest

from tarragonway.coordinator.machine import CoordinatorMachine, PutConfiguration
from tarragonway.coordinator.rollouts import RolloutCoordinator
from tarragonway.coordinator.tests.test_part_holds import FakeLink
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint
from tarragonway.links.link import encode_message
from tarragonway.links.messages import GatewayReport
from tarragonway.replication import NotLeader
from tarragonway.rollouts import (
    RolloutCounts,
    RolloutOrder,
    RolloutOrders,
    RolloutState,
    RouteCounts,
    VersionCounts,
)
from tarragonway.rollouts.decision import RolloutPolicy
from tarragonway.rollouts.store import BeginRollout

LOG_MS = math.log(100)


def make_rows(old=4, new=4):
    return [
        ListedEndpoint(
            f"e{n}",
            f"e{n}",
            "s",
            f"10.0.0.{n + 1}:1",
            "a",
            4,
            False,
            version="v1" if n < old else "v2",
        )
        for n in range(old + new)
    ]


class FakeLog:
    """Driver of a leader; proposals wait while ``holds`` is true."""

    def __init__(self, machine, term):
        self.machine = machine
        self.is_leader = True
        self.has_applied_restored_log = True
        self.replica = SimpleNamespace(term=term)
        self.holds = False
        self.proposed = []

    async def propose(self, command):
        self.proposed.append(command)
        while self.holds:
            await asyncio.sleep(0.01)
        if not self.is_leader:
            return NotLeader("no longer the leader")
        return self.machine.apply(command)


class Leader:
    """One coordinator's rollouts, with gateways that report on request."""

    def __init__(self, machine, term=1, age_s=9.0, share=0.1):
        self.machine, self.log = machine, FakeLog(machine, term)
        self.lease = SimpleNamespace(leadership_age_s=age_s)
        self.view, self.links = EndpointView(), {}
        self.view.apply_full_list(make_rows())
        self.live = {"g1", "g2"}
        self.rollouts = RolloutCoordinator(
            RolloutPolicy(share, 50.0),
            self.log,
            machine,
            self.lease,
            WallClock(),
            SimpleNamespace(list_live=lambda now: sorted(self.live)),
            self.view,
            lambda: True,
            self.links,
            Counters(),
        )

    def report(self, name, new, *, share=0.1, in_flight=0, number=1):
        """Handle a gateway's report, and return the share in the reply."""
        old = VersionCounts(2000, 2000, 5, 10, 2000 * LOG_MS)
        counts = RolloutCounts(number, {"r": RouteCounts(old, new)}, in_flight, share)
        report = GatewayReport(name, 1, 0.0, 1, 0, (), (), rollouts=(counts,))
        now = asyncio.get_running_loop().time()
        replies = self.rollouts.handle_report(report, now)
        return replies[0].share if replies else None

    async def update(self):
        self.rollouts.update()
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def set_share_one(self):
        progress = self.rollouts._progress[1]
        progress.decision = msgspec.structs.replace(progress.decision, share=1.0)

    @property
    def state(self):
        return self.machine.rollouts.rollouts["s"].state


GOOD = VersionCounts(30, 30, 0, 0, 30 * LOG_MS)
BAD = VersionCounts(30, 30, 12, 0, 18 * LOG_MS)


@pytest.fixture
def machine():
    machine = CoordinatorMachine()
    machine.apply(PutConfiguration(1, b""))
    order = RolloutOrder("s", "v2", 12.0)
    machine.apply(BeginRollout(order, WallClock().now(), 10.0))
    return machine


@pytest.fixture
def leader(machine):
    return Leader(machine)


def copy_machine(machine):
    copied = CoordinatorMachine()
    copied.restore(machine.encode())
    return copied


async def test_share_rises_from_zero_once_endpoints_are_listed(leader):
    leader.view.apply_full_list(make_rows(new=0))
    await leader.update()
    assert leader.report("g1", VersionCounts(), share=0.0) == 0.0
    leader.view.apply_full_list(make_rows())
    await leader.update()
    assert 0 < leader.report("g1", VersionCounts(), share=0.0) <= 0.5


# Guards against a bad version whose share waits for the commit of the end.
async def test_bad_version_gets_share_zero_before_the_end_is_committed(leader):
    await leader.update()
    leader.log.holds = True
    leader.report("g1", BAD)
    await leader.update()
    assert leader.state is RolloutState.IN_PROGRESS
    assert leader.report("g2", GOOD) == 0.0
    leader.log.holds = False
    await asyncio.sleep(0.05)
    assert leader.state is RolloutState.ROLLED_BACK
    assert leader.report("g1", BAD) is None


# Guards against a good version that follows the reports of one gateway only.
async def test_bad_responses_of_several_gateways_add_up(leader):
    await leader.update()
    part = VersionCounts(4, 4, 2, 0, 2 * LOG_MS)
    for name in ("g1", "g2", "g3", "g4"):
        leader.report(name, part)
    await leader.update()
    assert leader.state is RolloutState.ROLLED_BACK


# Guards against old endpoints that are stopped while a gateway has a request there.
async def test_completed_only_when_every_live_gateway_has_confirmed(leader):
    await leader.update()
    leader.set_share_one()
    await leader.update()
    # These reports were sent before the gateways had the share.
    assert leader.report("g1", GOOD) == 1.0
    assert leader.report("g2", GOOD) == 1.0
    await leader.update()
    assert not leader.log.proposed
    leader.report("g1", GOOD, share=1.0)
    leader.report("g2", GOOD, share=1.0, in_flight=1)
    await leader.update()
    assert not leader.log.proposed
    leader.links[FakeLink()] = "g3"
    leader.report("g2", GOOD, share=1.0)
    await leader.update()
    assert not leader.log.proposed
    leader.links.clear()
    await leader.update()
    assert leader.state is RolloutState.COMPLETED
    assert leader.machine.rollouts.rollouts["s"].replaced == ("v1",)


# Guards against a confirmation from before a share that has fallen in between.
async def test_confirmations_end_with_the_share(leader):
    await leader.update()
    leader.set_share_one()
    await leader.update()
    for share in (0.1, 1.0):
        leader.report("g1", GOOD, share=share)
    leader.view.apply_full_list(make_rows(new=0))
    await leader.update()
    leader.view.apply_full_list(make_rows())
    await leader.update()
    leader.set_share_one()
    leader.live = {"g1"}
    await leader.update()
    assert not leader.log.proposed


# Guards against a rollout that is lost with the leader that accepted it.
async def test_new_leader_goes_on_with_the_order(machine):
    leader = Leader(copy_machine(machine), term=2)
    await leader.update()
    assert leader.report("g1", VersionCounts(), share=0.0) > 0


# Guards against a leader killed between its judgement and the first reply: the next one
# judges from the reports, even before it may raise a share.
async def test_new_leader_judges_a_bad_version_at_once(leader, machine):
    await leader.update()
    leader.report("g1", BAD)
    successor = Leader(copy_machine(machine), term=2, age_s=0.1)
    await successor.update()
    assert successor.report("g1", BAD, share=0.3) == 0.3
    successor.log.holds = True
    await successor.update()
    assert successor.report("g2", GOOD, share=0.3) == 0.0
    successor.log.holds = False
    await asyncio.sleep(0.05)
    assert successor.state is RolloutState.ROLLED_BACK


# Guards against a new leader that raises or drops a share before it has the reports.
async def test_new_leader_keeps_each_share_until_it_has_reports(machine):
    successor = Leader(machine, term=2, age_s=0.1)
    await successor.update()
    for name, share in (("g1", 0.2), ("g2", 0.0)):
        assert successor.report(name, GOOD, share=share) == share
    await successor.update()
    assert successor.report("g1", GOOD, share=0.2) == 0.2
    successor.lease.leadership_age_s = 2.0
    await successor.update()
    assert successor.report("g2", GOOD, share=0.0) > 0


# Guards against a leader killed between the last report and the commit of the end: old
# endpoints must not stop on its successor's word before the gateways confirm again.
async def test_leader_killed_before_the_end_is_committed(leader, machine):
    successor = Leader(copy_machine(machine), term=2, age_s=0.1)
    await leader.update()
    leader.set_share_one()
    await leader.update()
    leader.log.holds = True
    for share in (0.3, 1.0):
        for name in ("g1", "g2"):
            leader.report(name, GOOD, share=share)
    await leader.update()
    assert len(leader.log.proposed) == 1
    leader.log.is_leader = leader.log.holds = False
    await asyncio.sleep(0.05)
    assert leader.state is RolloutState.IN_PROGRESS

    await successor.update()
    for name in ("g1", "g2"):
        assert successor.report(name, GOOD, share=1.0) == 1.0
    await successor.update()
    assert not successor.log.proposed
    successor.lease.leadership_age_s = 2.0
    await successor.update()
    assert not successor.log.proposed
    for _ in range(2):
        for name in ("g1", "g2"):
            assert successor.report(name, GOOD, share=1.0) == 1.0
    await successor.update()
    assert successor.state is RolloutState.COMPLETED


# Guards against an end that is proposed by a former leader, or only once.
async def test_uncommitted_end_is_proposed_again(leader):
    await leader.update()
    leader.report("g1", BAD)
    leader.log.is_leader = True
    refused = leader.log.propose

    async def refuse(command):
        return NotLeader("another leader's entry took the command's place")

    leader.log.propose = refuse
    await leader.update()
    assert leader.state is RolloutState.IN_PROGRESS
    leader.log.propose = refused
    await leader.update()
    assert leader.state is RolloutState.ROLLED_BACK


# Guards against a former leader that decides from the reports of before.
async def test_lost_leadership_clears_what_was_reported(leader):
    await leader.update()
    leader.report("g1", BAD)
    leader.log.is_leader = False
    await leader.update()
    leader.log.is_leader, leader.log.replica.term = True, 3
    await leader.update()
    assert not leader.log.proposed


async def test_order_without_endpoints_is_rolled_back_at_its_deadline(leader):
    leader.view.apply_full_list(make_rows(new=0))
    await leader.update()
    leader.rollouts._progress[1]._begun_at -= 12.1
    await leader.update()
    assert leader.state is RolloutState.ROLLED_BACK


# Guards against share 1 without evidence, given to gateways that connect again.
async def test_share_stays_zero_while_no_gateway_reports(leader):
    leader.live = set()
    await leader.update()
    leader.rollouts._progress[1]._begun_at -= 9.0
    await leader.update()
    assert leader.report("g1", VersionCounts(), share=0.0) == 0.0
    leader.rollouts._progress[1]._begun_at -= 9.0
    await leader.update()
    assert leader.state is RolloutState.ROLLED_BACK


# Guards against an order that does not end while the platform's list is unreadable.
async def test_order_ends_without_a_list(leader):
    leader.rollouts._has_current_list = lambda: False
    await leader.update()
    leader.rollouts._progress[1]._begun_at -= 12.1
    leader.lease.leadership_age_s = 2.0
    await leader.update()
    assert leader.state is RolloutState.IN_PROGRESS
    leader.lease.leadership_age_s = 6.0
    await leader.update()
    assert leader.state is RolloutState.ROLLED_BACK


# Guards against a fault of the decision that ends the coordinator, or leaves a share.
async def test_failing_decision_sets_the_share_to_zero(leader):
    await leader.update()
    assert leader.report("g1", GOOD) > 0
    leader.rollouts._progress[1].decide = None
    await leader.update()
    assert leader.report("g1", GOOD) == 0.0


# Guards against a gateway that accepts requests before it knows the orders, and against
# orders of a process that has not applied its log.
async def test_every_coordinator_sends_the_orders(leader, machine):
    leader.log.is_leader = False
    leader.log.has_applied_restored_log = False
    link = FakeLink()
    leader.rollouts.send_orders(link)
    assert link.sent == []
    leader.log.has_applied_restored_log = True
    leader.rollouts.send_orders(link)
    orders = RolloutOrders(1, tuple(machine.rollouts.rollouts.values()))
    assert link.sent == [orders]
    leader.links[link] = "g1"
    await leader.update()
    await leader.update()
    assert link.sent[1:] == [encode_message(orders)]


async def test_nothing_is_sent_without_bounds(machine):
    leader, link = Leader(machine, share=0.0), FakeLink()
    leader.links[link] = "g1"
    leader.rollouts.send_orders(link)
    await leader.update()
    assert link.sent == []
    assert leader.report("g1", GOOD) is None


# Guards against counts of an earlier rollout that decide on a later one.
async def test_counts_of_another_rollout_are_ignored(leader):
    await leader.update()
    leader.report("g1", BAD, number=7)
    await leader.update()
    assert not leader.log.proposed
