"""Requests to the leader that wait for a reply with the same sequence number."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

ANSWER_TIMEOUT_S = 0.25


class SequencedReply(Protocol):
    """Reply that bears the sequence number of its request."""

    @property
    def sequence(self) -> int:
        """Sequence number of the request."""
        ...


ReplyT = TypeVar("ReplyT", bound=SequencedReply)


class LeaderCalls(Generic[ReplyT]):
    """Numbers requests, and passes each reply to the caller that waits for it."""

    def __init__(self) -> None:
        self._sequence = itertools.count(1)
        self._pending: dict[int, asyncio.Future[ReplyT]] = {}

    async def call(self, send: Callable[[int], bool]) -> tuple[int, ReplyT | None]:
        """Send a request and return its number, and the reply if one arrives in time.

        Parameters
        ----------
        send : callable
            Sends the request with a sequence number; returns False without a leader.
        """
        sequence = next(self._sequence)
        if not send(sequence):
            return sequence, None
        future: asyncio.Future[ReplyT] = asyncio.get_running_loop().create_future()
        self._pending[sequence] = future
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return sequence, await future
        except TimeoutError:
            return sequence, None
        finally:
            del self._pending[sequence]

    def handle_reply(self, reply: ReplyT) -> None:
        """Pass a reply on; one that nothing waits for any more is dropped."""
        future = self._pending.get(reply.sequence)
        if future is not None and not future.done():
            future.set_result(reply)
