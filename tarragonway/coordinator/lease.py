"""Lease that guards the leader's calls to the platform."""

import msgspec

from tarragonway.core.clock import read_monotonic
from tarragonway.replication import LogDriver

CONFIRMATION_VALIDITY_S = 0.25
LEASE_MARGIN_FACTOR = 1.1
# A former leader may send a call up to 0.25 s after asking for its confirmation, and
# resets the call after 1 s without an answer; the rest is margin.
MAX_HANDOVER_DELAY_S = 1.8


class FencingToken(msgspec.Struct, frozen=True):
    """Fencing token of a confirmed leader, and the time until which it may be used.

    ``number`` is the term; ``valid_until`` is a time of
    :func:`read_monotonic` in seconds.
    """

    number: int
    valid_until: float

    def is_valid(self) -> bool:
        """Return whether a call may still be sent.

        The clock also advances while the machine is suspended.
        """
        return read_monotonic() < self.valid_until


class DutyLease:
    """Confirms before each call to the platform that this process is the only leader.

    A leader asks a majority to confirm that there is no later leader, sends the call at
    most :data:`CONFIRMATION_VALIDITY_S` after asking, and resets it after its timeout.
    A new leader makes no call until both times have passed for its predecessor, unless
    it is the group's first leader.

    Parameters
    ----------
    driver : LogDriver
        The replicated log.
    lease_s : float
        Length of a lease in seconds. A new leader waits for this time and a margin, but
        at most :data:`MAX_HANDOVER_DELAY_S`.
    """

    def __init__(self, driver: LogDriver, lease_s: float) -> None:
        self._driver = driver
        self._wait_s = min(lease_s * LEASE_MARGIN_FACTOR, MAX_HANDOVER_DELAY_S)
        self._term = -1
        self._leader_since = 0.0

    def observe(self) -> None:
        """Record the term and start of a new leadership, or the end of the last."""
        if not self._driver.is_leader:
            self._term = -1
        elif self._driver.replica.term != self._term:
            self._term = self._driver.replica.term
            self._leader_since = read_monotonic()

    @property
    def leadership_age_s(self) -> float:
        """Seconds since this process became leader, 0 if it is not the leader."""
        self.observe()
        return read_monotonic() - self._leader_since if self._term >= 0 else 0.0

    async def confirm(self) -> FencingToken | None:
        """Return the fencing token for one call.

        Returns
        -------
        FencingToken or None
            None if this process is not the leader, if calls of a former leader may
            still be in progress, or if the confirmation failed or came too late.
        """
        is_handover_done = self.leadership_age_s >= self._wait_s
        if self._term < 0 or not (
            is_handover_done or self._driver.replica.is_first_ready_leader
        ):
            return None
        term = self._term
        requested_at = read_monotonic()
        index = await self._driver.confirm_read_index()
        self.observe()
        if not isinstance(index, int) or self._term != term:
            return None
        token = FencingToken(term, requested_at + CONFIRMATION_VALIDITY_S)
        return token if token.is_valid() else None
