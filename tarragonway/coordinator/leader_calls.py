"""Answers to operators' calls that depend on the leadership of this process."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.http1.client import Headers
from tarragonway.http1.response import Request, ResponseWriter
from tarragonway.replication import LogDriver, NotLeader

CONFIRMATION_TIMEOUT_S = 0.9
LEADER_TIMEOUT_S = 0.7
LEADER_POLL_INTERVAL_S = 0.05
JSON_HEADERS: Headers = [(b"content-type", b"application/json")]

_log = structlog.get_logger()


class LeaderCalls:
    """Confirms to operators' calls that this process leads, or redirects them.

    Parameters
    ----------
    driver : LogDriver
        The replicated log.
    find_leader : callable
        Returns the operator address of another process that leads, or "".
    counters : Counters
        Receives ``operator.*`` counters.
    """

    def __init__(
        self, driver: LogDriver, find_leader: Callable[[], str], counters: Counters
    ) -> None:
        self._driver = driver
        self._find_leader = find_leader
        self._counters = counters

    async def require_leader(self, request: Request, writer: ResponseWriter) -> bool:
        """Return whether this process leads; if not, the call is answered."""
        if await self._wait_for_leader():
            return True
        leader = self._find_leader()
        if not leader:
            await self.send_unconfirmed(writer, NotLeader("no leader is known"))
            return False
        self._counters.increment("operator.redirected")
        location = f"http://{leader}{request.target}".encode()
        await writer.send(307, [*JSON_HEADERS, (b"location", location)], b"{}")
        return False

    async def confirm_leadership(
        self, request: Request, writer: ResponseWriter
    ) -> bool:
        """Return whether this process leads and has applied what is committed.

        If not, the call is answered.
        """
        if not await self.require_leader(request, writer):
            return False
        index = await self.await_confirmation(self._driver.confirm_read_index())
        if not isinstance(index, int):
            await self.send_unconfirmed(writer, index)
            return False
        await self._driver.wait_applied(index)
        return True

    async def await_confirmation(self, confirmation: Awaitable[Any]) -> Any:
        """Return the log's answer; :class:`NotLeader` if it does not come in time."""
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
                return await confirmation
        except TimeoutError:
            return NotLeader("not confirmed in time")

    async def send_unconfirmed(self, writer: ResponseWriter, result: object) -> None:
        """Answer a call whose effect is not known with 503."""
        self._counters.increment("operator.unsure")
        reason = result.reason if isinstance(result, NotLeader) else "unexpected"
        _log.info("operator's call not confirmed; answered 503", reason=reason)
        body = msgspec.json.encode({"error": reason})
        await writer.send(503, [*JSON_HEADERS, (b"retry-after", b"0.3")], body)

    async def _wait_for_leader(self) -> bool:
        """Wait until a leader is known; return whether it is this process.

        Return False if none is known after :data:`LEADER_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + LEADER_TIMEOUT_S
        while loop.time() < end:
            if self._driver.is_leader:
                return True
            if self._find_leader():
                return False
            await asyncio.sleep(LEADER_POLL_INTERVAL_S)
        return False
