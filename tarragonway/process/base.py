"""Base of the daemons: mailbox, counters, supervised tasks and the HTTP server."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from aiohttp import web

from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.settings import Peer, Settings
from tarragonway.transport import Mailbox
from tarragonway.wire import WireMessage

CANCEL_AGAIN_S = 0.1


class ProcessBase:
    """What control and entry processes have in common.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    peer : Peer
        This process's row in the cluster's settings.
    """

    def __init__(self, settings: Settings, peer: Peer) -> None:
        self._settings = settings
        self._peer = peer
        self._name = ProcessName(peer.name)
        statsd = settings.cluster.statsd
        self._counters = Counters.from_config(
            statsd.host, statsd.port, f"tarragonway.{peer.name}"
        )
        self._mailbox: Mailbox[WireMessage] = Mailbox(
            self._name,
            peer.mailbox,
            settings.list_mailboxes(),
            settings.cluster_key,
            WireMessage,  # type: ignore[arg-type]
            self._counters,
        )
        self._tasks: list[asyncio.Task] = []
        self._jobs: set[asyncio.Task] = set()
        self._runner: web.AppRunner | None = None
        self.failure: asyncio.Future = asyncio.Future()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a task that runs as long as the process; its end is a failure."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _start_job(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a task that ends by itself."""
        task = asyncio.create_task(coroutine)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    def _note_end(self, task: asyncio.Task) -> None:
        if task.cancelled() or self.failure.done():
            return
        self.failure.set_exception(task.exception() or RuntimeError("a task ended"))

    async def _serve(self, app: web.Application, **options: Any) -> None:
        """Start the HTTP server."""
        self._runner = web.AppRunner(app, access_log=None, **options)
        await self._runner.setup()
        host, _, port = self._peer.http.partition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def _stop_serving(self) -> None:
        """Stop the HTTP server, then all tasks."""
        if self._runner is not None:
            await self._runner.cleanup()
        await cancel_tasks({*self._tasks, *self._jobs})


async def cancel_tasks(tasks: set[asyncio.Task]) -> None:
    """Cancel tasks until all have ended.

    ``asyncio.wait_for`` of Python 3.11 loses a cancellation that comes together with
    the result that it waits for, so one request to end is not always enough.
    """
    pending = tasks
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)
