"""Client of the watch in an entry process, and the freshness of its view."""

import asyncio
import itertools
from collections.abc import Callable

import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.hashes import rank_by_hash
from tarragonway.core.ids import ProcessName
from tarragonway.lists import Lists, check_lists
from tarragonway.state import View
from tarragonway.watch.messages import WatchPoll, WatchPush, WatchReply

FULL_CHECK_INTERVAL_POLLS = 30

_log = structlog.get_logger()


class WatchClient:
    """Keeps a view up to date and determines whether the view is fresh.

    New requests are accepted only while ``is_fresh``: a poll that was *sent* within the
    freshness bound has been answered. Once the bound has passed since a change was
    committed, no process therefore accepts new requests under the state before the
    change, not even a process that is cut off.

    Parameters
    ----------
    own : ProcessName
        This process.
    control : list of ProcessName
        Control processes.
    poll_interval_s, freshness_bound_s : float
        Seconds between polls, and seconds from the sending of a confirmed poll during
        which the view counts as fresh.
    send : callable
        Sends a poll to a control process.
    counters : Counters
        Receives ``watch.*`` counters.
    """

    def __init__(
        self,
        own: ProcessName,
        control: list[ProcessName],
        poll_interval_s: float,
        freshness_bound_s: float,
        send: Callable[[ProcessName, WatchPoll], object],
        counters: Counters,
    ) -> None:
        self.view = View()
        self.lists: Lists = check_lists("", "")
        self.on_change: Callable[[], None] = lambda: None
        self._servers = [ProcessName(n) for n in rank_by_hash(own, list(control))]
        self._poll_interval_s = poll_interval_s
        self._freshness_bound_s = freshness_bound_s
        self._send = send
        self._counters = counters
        self._calls = itertools.count(1)
        self._poll_sent_at: dict[int, float] = {}
        self._confirmed_at = float("-inf")
        self._answered = asyncio.Event()

    @property
    def is_fresh(self) -> bool:
        """Whether a poll sent within the freshness bound has confirmed the view."""
        age = asyncio.get_running_loop().time() - self._confirmed_at
        return age < self._freshness_bound_s

    @property
    def confirmation_age_s(self) -> float:
        """Seconds since the last confirmed poll was sent."""
        return asyncio.get_running_loop().time() - self._confirmed_at

    async def run(self) -> None:
        """Poll until the task is cancelled; use the next server after a timeout."""
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            self._answered.clear()
            self._send_poll(started)
            try:
                async with asyncio.timeout(self._poll_interval_s):
                    await self._answered.wait()
            except TimeoutError:
                self._servers = [*self._servers[1:], self._servers[0]]
                self._counters.increment("watch.unanswered")
                continue
            await asyncio.sleep(max(0.0, started + self._poll_interval_s - loop.time()))

    def handle_reply(self, reply: WatchReply) -> None:
        """Apply the state in a reply and confirm the view.

        A reply is ignored if its poll has expired, if its full view has an older
        revision, or if changes are missing.
        """
        sent_at = self._poll_sent_at.pop(reply.call, None)
        if sent_at is None:
            return
        if reply.view is not None:
            if not self._replace_view(reply.view):
                return
        elif not self._apply_reply(reply):
            return
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self._answered.set()

    def handle_push(self, push: WatchPush) -> None:
        """Apply pushed changes if they directly follow the view's version.

        Pushes do not confirm the view. A gap is left to the next poll.
        """
        if push.base == self.view.version:
            self._apply(push.changes, push.version)

    def _send_poll(self, now: float) -> None:
        call = next(self._calls)
        digest = (
            self.view.compute_digest() if call % FULL_CHECK_INTERVAL_POLLS == 0 else ""
        )
        expired = [
            c
            for c, at in self._poll_sent_at.items()
            if now - at > self._freshness_bound_s
        ]
        for old in expired:
            del self._poll_sent_at[old]
        self._poll_sent_at[call] = now
        self._send(self._servers[0], WatchPoll(call, self.view.version, digest))

    def _replace_view(self, view: View) -> bool:
        if view.revision < self.view.revision:
            self._counters.increment("watch.older_refused")
            return False
        self.view = view
        self._refresh_lists()
        self.on_change()
        return True

    def _apply_reply(self, reply: WatchReply) -> bool:
        """Apply a reply's changes except those that a push has already delivered.

        Return False if changes between the view and the reply are missing.
        """
        if reply.version <= self.view.version:
            return True
        base = reply.version - len(reply.changes)
        missing = reply.changes[self.view.version - base :]
        if base > self.view.version:
            return False
        self._apply(missing, reply.version)
        return True

    def _apply(self, changes: tuple, version: int) -> None:
        before = self.view.revision
        for change in changes:
            self.view.apply(change)
        self.view.version = version
        if self.view.revision != before:
            self._refresh_lists()
        self.on_change()

    def _refresh_lists(self) -> None:
        view = self.view
        self.lists = check_lists(view.accounts_text, view.plans_text)
        _log.info("lists are in force", revision=view.revision)
