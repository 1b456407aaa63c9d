"""Usage duty: reports the requests of each window to the platform."""

import asyncio
from collections.abc import Callable, Iterable

import structlog

from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.lease import DutyLease
from tarragonway.coordinator.machine import (
    CoordinatorMachine,
    DecideUsage,
    MarkReported,
    UsageDecided,
)
from tarragonway.coordinator.usage_windows import UsageWindows
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId, ProcessName
from tarragonway.http1.call import Call, CallClient, CallResponse
from tarragonway.replication import LogDriver

CHECK_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.0
# Number of past windows whose reports are still sent if they are missing.
MAX_CATCH_UP_WINDOWS = 8
MAX_LOGGED_GATEWAYS = 8
STATUS_OK = 200

_log = structlog.get_logger()

MakeUsageCall = Callable[[str, int, int, dict[AccountId, int]], Call]


class UsageReporter:
    """Decides the counts of each window once, and reports exactly these.

    The counts are committed to the log before the first report, so that a later leader
    repeats the same report.

    Parameters
    ----------
    holder : str
        Name of this process in its calls to the platform.
    windows : UsageWindows
        Times of the windows.
    driver, machine, lease, gateway_reports, clock
        The replicated log, its state machine, the lease for calls to the platform, the
        gateways' reports, the wall clock.
    list_connected : callable
        Returns the names of the gateways with an open link to this process.
    client : CallClient
        Connection to the platform.
    make_call : callable
        Returns the call that reports a window.
    counters : Counters
        Receives ``usage.*`` counters.
    """

    def __init__(
        self,
        holder: str,
        windows: UsageWindows,
        driver: LogDriver,
        machine: CoordinatorMachine,
        lease: DutyLease,
        gateway_reports: GatewayReports,
        clock: WallClock,
        list_connected: Callable[[], Iterable[ProcessName]],
        client: CallClient,
        make_call: MakeUsageCall,
        counters: Counters,
    ) -> None:
        self._holder = holder
        self._windows = windows
        self._driver = driver
        self._machine = machine
        self._lease = lease
        self._gateway_reports = gateway_reports
        self._clock = clock
        self._list_connected = list_connected
        self._client = client
        self._make_call = make_call
        self._counters = counters

    async def run(self) -> None:
        """Report the windows that are due until the task is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for window in self._list_unreported():
                # Reports and leadership may have been lost during the calls before.
                if self._driver.is_leader and self._is_decidable(window):
                    await self._report(window)

    def _list_unreported(self) -> list[int]:
        """Return the windows that are over and have no acknowledged report."""
        current = int(self._clock.now() // self._windows.window_s)
        first = current - MAX_CATCH_UP_WINDOWS
        if self._machine.last_window < 0:
            first = current - 1
        return [
            window
            for window in range(first, current)
            if not self._machine.is_reported(window)
        ]

    def _is_decidable(self, window: int) -> bool:
        return window in self._machine.usage or self._windows.is_decidable(
            window,
            self._clock.now(),
            self._lease.leadership_age_s,
            not self._list_missing_gateways(window),
        )

    def _list_missing_gateways(self, window: int) -> list[ProcessName]:
        """Return the gateways whose last counts of a window are not known yet."""
        return self._gateway_reports.list_unreported_since(
            self._windows.get_last_report(window),
            self._list_connected(),
            asyncio.get_running_loop().time(),
        )

    async def _report(self, window: int) -> None:
        counts = self._machine.usage.get(window)
        if counts is None:
            counts = await self._decide(window)
            if counts is None:
                return
        token = await self._lease.confirm()
        if token is None:
            return
        call = self._make_call(self._holder, token.number, window, counts)
        answer = await self._client.call(call, CALL_TIMEOUT_S, token.is_valid)
        done = isinstance(answer, CallResponse) and answer.status == STATUS_OK
        self._counters.increment("usage.reported" if done else "usage.failed")
        _log.info(
            "call to report usage ended",
            window=window,
            counts=counts,
            fence=token.number,
            answer=repr(answer)[:120],
        )
        if done:
            await self._driver.propose(MarkReported(window))

    async def _decide(self, window: int) -> dict[AccountId, int] | None:
        """Commit the counts of a window; return None if that failed."""
        counts = self._gateway_reports.sum_window(window)
        self._log_proposal(window, counts)
        decided = await self._driver.propose(DecideUsage(window, counts))
        match decided:
            case UsageDecided():
                return decided.counts
            case _:
                self._counters.increment("usage.undecided")
                _log.info(
                    "usage counts not committed", window=window, reason=repr(decided)
                )
                return None

    def _log_proposal(self, window: int, counts: dict[AccountId, int]) -> None:
        now = asyncio.get_running_loop().time()
        unreported = self._list_missing_gateways(window)
        _log.info(
            "usage counts proposed",
            window=window,
            requests=sum(counts.values()),
            counted_gateways=self._gateway_reports.count_gateways(window),
            live_gateways=len(self._gateway_reports.list_live(now)),
            unreported=unreported[:MAX_LOGGED_GATEWAYS],
            waited_s=round(self._clock.now() - self._windows.get_end(window), 2),
            leader_for_s=round(self._lease.leadership_age_s, 2),
        )
