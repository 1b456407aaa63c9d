"""When the leader may act towards the platform."""

import msgspec

from tarragonway.core.clock import read_steady
from tarragonway.replication import LogDriver

CONFIRM_FRESH_S = 0.25
LEASE_MARGIN = 1.1
# A confirmed call may be sent for 0.25 s and is reset 1 s later; the rest is margin.
HANDOVER_S = 1.8


class Fence(msgspec.Struct, frozen=True):
    """A confirmed leadership: its fencing number, and until when to act on it."""

    number: int
    end: float

    def is_valid(self) -> bool:
        """Return whether a call may still be sent, also after a suspension."""
        return read_steady() < self.end


class DutyLease:
    """Confirms before each call that this process leads alone.

    A former leader sends a call at most ``CONFIRM_FRESH_S`` after a confirmation that
    no later leader had voted against, and resets the call after its time limit. A new
    leader waits out both, unless there was none before.

    Parameters
    ----------
    driver : LogDriver
        The replicated log.
    lease_s : float
        Time that must lie between the calls of two holders.
    """

    def __init__(self, driver: LogDriver, lease_s: float) -> None:
        self._driver = driver
        self._wait_s = min(lease_s * LEASE_MARGIN, HANDOVER_S)
        self._term = -1
        self._since = 0.0

    def observe(self) -> None:
        """Note the begin of a leadership."""
        if not self._driver.is_leader:
            self._term = -1
        elif self._driver.replica.term != self._term:
            self._term = self._driver.replica.term
            self._since = read_steady()

    @property
    def leads_for_s(self) -> float:
        """Seconds since this leadership began, 0 without one."""
        self.observe()
        return read_steady() - self._since if self._term >= 0 else 0.0

    async def confirm(self) -> Fence | None:
        """Return the fence for one call, or None."""
        waited = self.leads_for_s >= self._wait_s
        if self._term < 0 or not (waited or self._driver.replica.is_first_leader):
            return None
        term = self._term
        asked = read_steady()
        index = await self._driver.confirm()
        self.observe()
        if not isinstance(index, int) or self._term != term:
            return None
        fence = Fence(term, asked + CONFIRM_FRESH_S)
        return fence if fence.is_valid() else None
