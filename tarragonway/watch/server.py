"""Server of the watch in a control process.

One linearizable read answers all polls that arrived before it started, so that the
leader's work grows with the number of control processes, not of entry processes.

References
----------
KEP-5237, "Convert route controller to watch-based reconciliation": changes are pushed,
and an infrequent full check (here a digest) repairs missed changes.
"""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.replication import LogDriver, NotLeader
from tarragonway.watch.messages import WatchPoll, WatchPush, WatchReply

SUBSCRIPTION_RETENTION_S = 5.0
CONFIRM_RETRY_DELAY_S = 0.05


class _QueuedPoll(msgspec.Struct, frozen=True):
    sender: ProcessName
    body: WatchPoll


class WatchServer:
    """Answers polls and pushes changes to entry processes that have polled recently.

    Parameters
    ----------
    driver : LogDriver
        Driver of the replica whose state is sent.
    confirm : callable
        Returns a log index that covers every acknowledged command, or NotLeader.
    send : callable
        Sends a message to an entry process.
    counters : Counters
        Receives ``watch.*`` counters.
    """

    def __init__(
        self,
        driver: LogDriver,
        confirm: Callable[[], Awaitable[int | NotLeader]],
        send: Callable[[ProcessName, WatchReply | WatchPush], object],
        counters: Counters,
    ) -> None:
        self._driver = driver
        self._confirm = confirm
        self._send = send
        self._counters = counters
        self._polls: list[_QueuedPoll] = []
        self._wake = asyncio.Event()
        self._subscribers: dict[ProcessName, tuple[int, float]] = {}

    def handle_poll(self, sender: ProcessName, poll: WatchPoll) -> None:
        """Queue one poll."""
        self._polls.append(_QueuedPoll(sender, poll))
        self._wake.set()

    async def run(self) -> None:
        """Answer polls until the task is cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            polls, self._polls = self._polls, []
            index = await self._confirm()
            if isinstance(index, NotLeader):
                # These polls stay unanswered; their senders poll again.
                self._counters.increment("watch.unconfirmed")
                await asyncio.sleep(CONFIRM_RETRY_DELAY_S)
                continue
            await self._driver.wait_applied(index)
            for poll in polls:
                self._answer(poll)

    def push_changes(self) -> None:
        """Send new changes to all entry processes that have polled recently."""
        machine = self._driver.machine
        version = machine.content.version
        now = asyncio.get_running_loop().time()
        for name, (base, polled_at) in list(self._subscribers.items()):
            if now - polled_at > SUBSCRIPTION_RETENTION_S:
                del self._subscribers[name]
                continue
            changes = machine.list_changes(base)
            if changes:
                self._subscribers[name] = (version, polled_at)
                self._send(name, WatchPush(base, version, tuple(changes)))
                self._counters.increment("watch.pushes")

    def _answer(self, poll: _QueuedPoll) -> None:
        machine = self._driver.machine
        version = machine.content.version
        self._counters.increment("watch.polls")
        now = asyncio.get_running_loop().time()
        self._subscribers[poll.sender] = (version, now)
        changes = machine.list_changes(poll.body.version)
        stale = poll.body.digest and self._digest_differs(poll.body)
        if changes is None or stale:
            self._counters.increment("watch.views")
            reply = WatchReply(poll.body.call, version, (), machine.make_view())
        else:
            reply = WatchReply(poll.body.call, version, tuple(changes))
        self._send(poll.sender, reply)

    def _digest_differs(self, poll: WatchPoll) -> bool:
        machine = self._driver.machine
        if poll.version != machine.content.version:
            return False
        return machine.make_view().compute_digest() != poll.digest
