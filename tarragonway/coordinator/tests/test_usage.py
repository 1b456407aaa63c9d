"""Counts of usage windows around changes of leader, on virtual time."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.machine import (
    CoordinatorMachine,
    DecideUsage,
    MarkReported,
)
from tarragonway.coordinator.usage import UsageReporter
from tarragonway.coordinator.usage_windows import NEW_LEADER_GRACE_S, UsageWindows
from tarragonway.core.counters import Counters
from tarragonway.http1.call import CallResponse
from tarragonway.links.messages import GatewayReport, WindowCounts
from tarragonway.replication import NotLeader

WINDOW_S = 5.0
LATE_S = 10.0
# The window under test, and the one after it; all before are reported.
FIRST, SECOND = 100, 101
START_S = FIRST * WINDOW_S
END_S = START_S + WINDOW_S
REPORT_INTERVAL_S = 0.25
# Gateways learn of a new leader, and their links to it are opened again, within this.
MAX_FIRST_REPORT_S = 1.0
CALL_S = 0.02


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock jumps to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self._now_s = START_S
        select = self._selector.select

        def advance(timeout):
            self._now_s += timeout or 0.0
            return select(0)

        self._selector.select = advance

    def time(self):
        return self._now_s


class Leader:
    """The usage duty of one coordinator, which leads from ``elected_at`` on."""

    def __init__(self, loop, elected_at, call_s=CALL_S, calls_after=0.0):
        self.loop = loop
        self.calls_after = calls_after
        self.call_s = call_s
        self.elected_at = elected_at
        self.machine = CoordinatorMachine()
        for window in range(FIRST - 10, FIRST):
            self.machine.apply(DecideUsage(window, {}))
            self.machine.apply(MarkReported(window))
        self.connected = []
        self.calls = []
        self.is_leader_now = True
        clock = SimpleNamespace(now=loop.time, correct=lambda seconds: None)
        driver = SimpleNamespace(replica=SimpleNamespace(term=2), propose=self.propose)
        lease = SimpleNamespace(confirm=self.confirm)
        self.driver, self.lease = driver, lease
        self.reports = GatewayReports(driver, lease, clock)
        self.duty = UsageReporter(
            "c0",
            UsageWindows(WINDOW_S, LATE_S),
            driver,
            self.machine,
            lease,
            self.reports,
            clock,
            lambda: self.connected,
            SimpleNamespace(call=self.call),
            lambda holder, fence, window, counts: (window, counts),
            Counters(),
        )

    def observe(self):
        age_s = self.loop.time() - self.elected_at
        self.driver.is_leader = self.is_leader_now and age_s >= 0
        self.lease.leadership_age_s = age_s if self.driver.is_leader else 0.0

    async def propose(self, command):
        await asyncio.sleep(0.001)
        if not self.driver.is_leader:
            return NotLeader("not the leader")
        return self.machine.apply(command)

    async def confirm(self):
        if self.loop.time() < self.calls_after:
            return None
        return SimpleNamespace(number=2, is_valid=lambda: True)

    async def call(self, call, timeout_s, is_valid):
        await asyncio.sleep(self.call_s)
        self.calls.append((self.loop.time(), *call))
        return CallResponse(200, b"")

    def report(self, name, windows):
        usage = tuple(WindowCounts(w, counts) for w, counts in windows.items())
        now = self.loop.time()
        report = GatewayReport(name, 1, now, 2, 0, usage, ())
        self.reports.handle_report(report, 0, 0.0, now)

    async def run(self, until_s):
        duty = asyncio.create_task(self.duty.run())
        while self.loop.time() < until_s:
            self.observe()
            await asyncio.sleep(0.01)
        assert not duty.done()
        duty.cancel()


async def run_gateway(leader, name, first_report_s, windows):
    delay_s = leader.elected_at - leader.loop.time() + first_report_s
    await asyncio.sleep(max(0.0, delay_s))
    leader.connected.append(name)
    while True:
        leader.report(name, windows)
        await asyncio.sleep(REPORT_INTERVAL_S)


def play(scenario):
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(scenario(loop))
    finally:
        loop.close()


# Guards against a new leader that decides a window from the reports of no gateway, or
# only of those that have found it first.
@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    elected_at=st.floats(START_S, START_S + 3 * WINDOW_S),
    first_reports_s=st.lists(st.floats(0.0, MAX_FIRST_REPORT_S), min_size=1),
)
def test_new_leader_counts_every_gateway_and_is_on_time(elected_at, first_reports_s):
    async def scenario(loop):
        leader = Leader(loop, elected_at)
        async with asyncio.TaskGroup() as group:
            gateways = [
                group.create_task(
                    run_gateway(leader, f"g{n}", delay_s, {FIRST: {"a": n + 1}})
                )
                for n, delay_s in enumerate(first_reports_s)
            ]
            await leader.run(max(END_S, elected_at) + 4.0)
            for gateway in gateways:
                gateway.cancel()
        return leader

    leader = play(scenario)
    total = sum(range(1, len(first_reports_s) + 1))
    reported = [(at, counts) for at, window, counts in leader.calls if window == FIRST]
    assert [counts for _, counts in reported] == [{"a": total}]
    bound_s = max(END_S + 1.0, elected_at + NEW_LEADER_GRACE_S) + 0.5
    assert reported[0][0] <= bound_s


# Guards against a wait without end for a gateway that is connected and does not report.
@pytest.mark.parametrize("elected_s", [-50.0, 7.0, 9.9, 13.0])
def test_silent_gateway_does_not_hold_up_the_report(elected_s):
    elected_at = START_S + elected_s

    async def scenario(loop):
        leader = Leader(loop, elected_at)
        leader.connected.append("silent")
        gateway = asyncio.create_task(run_gateway(leader, "g", 0.1, {FIRST: {"a": 3}}))
        await leader.run(END_S + WINDOW_S + LATE_S)
        gateway.cancel()
        return leader

    calls = [call for call in play(scenario).calls if call[1] == FIRST]
    assert [counts for _, _, counts in calls] == [{"a": 3}]
    due_s = END_S + LATE_S
    assert calls[0][0] <= max(due_s - 1.0, elected_at + NEW_LEADER_GRACE_S + 0.5)


# Guards against windows that are decided after the reports on which they were found to
# be complete have been dropped, during a slow call for a window before.
def test_leadership_lost_during_a_slow_call_drops_the_windows_that_follow():
    async def scenario(loop):
        counts = {FIRST: {"a": 1}, SECOND: {"a": 2}}
        leader = Leader(loop, START_S - 50.0, 1.0, calls_after=START_S + 11.0)
        gateway = asyncio.create_task(run_gateway(leader, "g", 0.0, counts))
        duty = asyncio.create_task(leader.run(START_S + 16.0))
        await asyncio.sleep(11.5)
        leader.is_leader_now = False
        leader.reports.clear()
        gateway.cancel()
        await asyncio.sleep(0.1)
        leader.is_leader_now, leader.elected_at = True, loop.time()
        await asyncio.sleep(0.8)
        gateway = asyncio.create_task(run_gateway(leader, "g", 0.0, counts))
        await duty
        gateway.cancel()
        return leader

    leader = play(scenario)
    assert leader.machine.usage[SECOND] == {"a": 2}
