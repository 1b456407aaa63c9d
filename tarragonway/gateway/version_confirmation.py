"""Confirmation of the versions in service by the leader, for resumed streams."""

import asyncio
import itertools
from collections.abc import Callable

from tarragonway.core.counters import Counters
from tarragonway.links.messages import VersionsReply, VersionsRequest
from tarragonway.versions import ServiceVersions

CONFIRMATION_TIMEOUT_S = 0.25


class VersionConfirmer:
    """Asks the leader for the versions in service, with one request at a time.

    Callers that arrive while a request is under way share the next one, since the
    answer to the current one may be older than their streams.

    Parameters
    ----------
    send_to_leader : callable
        Sends a request; returns False if no leader is known or connected.
    counters : Counters
        Receives ``origins.*`` counters.
    """

    def __init__(
        self, send_to_leader: Callable[[VersionsRequest], bool], counters: Counters
    ) -> None:
        self._send_to_leader = send_to_leader
        self._counters = counters
        self._sequence = itertools.count(1)
        self._current: tuple[int, asyncio.Future] | None = None
        self._waiting: list[asyncio.Future] = []
        self._task: asyncio.Task | None = None

    async def confirm(self) -> ServiceVersions | None:
        """Return all versions that were in service before this call.

        Return None if the leader does not answer in time, or is not the leader any
        more.
        """
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._ask_until_answered())
        return await future

    def handle_reply(self, reply: VersionsReply) -> None:
        """Handle the leader's answer; late answers are dropped."""
        if self._current is not None and self._current[0] == reply.sequence:
            answer = self._current[1]
            if not answer.done():
                answer.set_result(reply.versions)

    async def _ask_until_answered(self) -> None:
        while self._waiting:
            waiting, self._waiting = self._waiting, []
            versions = await self._ask()
            for future in waiting:
                if not future.done():
                    future.set_result(versions)

    async def _ask(self) -> ServiceVersions | None:
        sequence = next(self._sequence)
        answer: asyncio.Future = asyncio.get_running_loop().create_future()
        self._current = sequence, answer
        if not self._send_to_leader(VersionsRequest(sequence)):
            self._counters.increment("origins.unconfirmed")
            return None
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
                return await answer
        except TimeoutError:
            self._counters.increment("origins.unconfirmed")
            return None
