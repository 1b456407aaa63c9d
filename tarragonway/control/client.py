"""Client that sends commands to the leader of the control processes."""

import asyncio
import itertools
from collections.abc import Callable

import msgspec

from tarragonway.control.messages import ControlCall, ControlRedirect, ControlReply
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.state import Command, Result

ATTEMPT_TIMEOUT_S = 0.5
RETRY_DELAY_S = 0.05


_ReplyQueue = asyncio.Queue[ControlReply | ControlRedirect]


class ControlUnavailable(msgspec.Struct, frozen=True):
    """Sentinel: no leader replied in time; the command may still be applied."""

    reason: str


class ControlClient:
    """Finds the leader and resends a command until a reply with its result arrives.

    Commands are idempotent, so that resending one after a lost reply is harmless.

    Parameters
    ----------
    control : list of ProcessName
        Names of all control processes.
    send : callable
        Sends a call to one control process.
    counters : Counters
        Receives the ``control.*`` counters.
    """

    def __init__(
        self,
        control: list[ProcessName],
        send: Callable[[ProcessName, ControlCall], object],
        counters: Counters,
    ) -> None:
        self._control = list(control)
        self._target = self._control[0]
        self._send = send
        self._counters = counters
        self._calls = itertools.count(1)
        self._reply_queues: dict[int, _ReplyQueue] = {}

    async def call(
        self, command: Command, timeout_s: float
    ) -> Result | ControlUnavailable:
        """Return a command's result, or ControlUnavailable after ``timeout_s``.

        A reply to any attempt counts, even if it arrives after a later attempt was
        sent.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        replies: _ReplyQueue = asyncio.Queue()
        calls: list[int] = []
        try:
            while (left_s := deadline - loop.time()) > 0:
                calls.append(self._send_call(command, replies))
                match await self._wait_for_reply(
                    replies, min(ATTEMPT_TIMEOUT_S, left_s)
                ):
                    case ControlReply(_, result):
                        return result
                    case ControlRedirect(_, leader) if leader:
                        self._target = leader
                    case _:
                        self._select_next_target()
                        await asyncio.sleep(min(RETRY_DELAY_S, left_s))
        finally:
            for call in calls:
                self._reply_queues.pop(call, None)
        self._counters.increment("control.no_answer")
        return ControlUnavailable(f"no leader replied within {timeout_s:.3g} s")

    @property
    def target(self) -> ProcessName:
        """Name of the presumed leader, to which the next command is sent."""
        return self._target

    def set_leader(self, leader: ProcessName) -> None:
        """Send further commands to ``leader``, which replied as the leader."""
        self._target = leader

    def handle_reply(self, reply: ControlReply | ControlRedirect) -> None:
        """Handle a reply from the mailbox; a reply to a finished call is ignored."""
        replies = self._reply_queues.pop(reply.call, None)
        if replies is not None:
            replies.put_nowait(reply)

    def _send_call(self, command: Command, replies: _ReplyQueue) -> int:
        call = next(self._calls)
        self._reply_queues[call] = replies
        self._send(self._target, ControlCall(call, command))
        return call

    async def _wait_for_reply(
        self, replies: _ReplyQueue, timeout_s: float
    ) -> ControlReply | ControlRedirect | None:
        try:
            async with asyncio.timeout(timeout_s):
                return await replies.get()
        except TimeoutError:
            self._counters.increment("control.repeats")
            return None

    def _select_next_target(self) -> None:
        """Send the next attempt to the control process that follows in the list."""
        position = self._control.index(self._target)
        self._target = self._control[(position + 1) % len(self._control)]
