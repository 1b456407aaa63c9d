"""Planned stop of a member: hand the lead over, and leave a group that can spare it."""

import asyncio
from collections.abc import Callable

import structlog

from tarragonway.consensus import Replica, Role
from tarragonway.replication.membership_changes import MIN_VOTERS

RETRY_INTERVAL_TICKS = 4
ANSWER_FLUSH_DELAY_S = 0.2

_log = structlog.get_logger()


class PlannedStop:
    """Prepares the group for the stop of one member.

    In a rolling restart, the member that was stopped before may not be back yet. This
    member therefore waits until a majority is reachable without it. A former leader
    then waits for :data:`ANSWER_FLUSH_DELAY_S`, so that pending answers are sent before
    the caller closes its sockets.

    A group with a spare voter removes this member instead of waiting for others: it may
    be stopped for good, and would then count against the majority. If it is started
    again, it asks to be admitted.

    Parameters
    ----------
    replica : Replica
        This member's replica.
    enqueue : callable
        Queues an action for the task that runs the replica.
    tick_s : float
        Duration of one tick in seconds.
    """

    def __init__(
        self,
        replica: Replica,
        enqueue: Callable[[Callable[[], None]], None],
        tick_s: float,
    ) -> None:
        self._replica = replica
        self._enqueue = enqueue
        self._tick_s = tick_s

    async def run(self, limit_s: float) -> bool:
        """Return whether this member is not the leader any more, within ``limit_s``.

        Half of that time may be spent on the wait for a majority. Requests to other
        members may be lost, so they are repeated.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        if not self._replica.can_leave:
            await self._wait_until_safe(limit_s / 2)
        was_leader = False
        while self._is_bound_to_group and loop.time() - started < limit_s:
            was_leader = was_leader or self._replica.role is Role.LEADER
            self._enqueue(self._depart)
            await asyncio.sleep(RETRY_INTERVAL_TICKS * self._tick_s)
        _log.info(
            "group informed of the planned stop",
            was_leader=was_leader,
            has_left=self._replica.has_left,
            waited_s=round(loop.time() - started, 2),
        )
        if was_leader:
            await asyncio.sleep(ANSWER_FLUSH_DELAY_S)
        return self._replica.role is not Role.LEADER

    @property
    def _is_bound_to_group(self) -> bool:
        """Whether this member leads, or counts although the group can spare it."""
        replica = self._replica
        if replica.role is Role.LEADER:
            return True
        if replica.has_left:
            return False
        return replica.can_leave or replica.has_uncommitted_membership

    def _depart(self) -> None:
        if self._replica.role is Role.LEADER:
            self._replica.transfer_leadership()
        elif self._replica.can_leave:
            self._replica.request_leave()

    async def _wait_until_safe(self, limit_s: float) -> None:
        """Wait until a majority remains reachable without this member."""
        # A member that has just stopped still counts as reachable for this time, and a
        # follower receives the number of reachable voters one heartbeat later.
        if self._replica.membership.size >= MIN_VOTERS:
            await asyncio.sleep(
                (self._replica.unreachable_after_ticks + 2) * self._tick_s
            )
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not self._replica.can_stop_safely and loop.time() - started < limit_s:
            await asyncio.sleep(self._tick_s)
        waited_s = loop.time() - started
        if waited_s > self._tick_s:
            _log.info(
                "stop delayed to keep a majority reachable",
                waited_s=round(waited_s, 2),
                spared=self._replica.can_stop_safely,
            )
