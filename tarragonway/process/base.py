"""Base of control and entry processes: mailbox, counters, tasks and HTTP server."""

import asyncio
from typing import Any

from aiohttp import web

from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.http1.delivery import wait_delivered
from tarragonway.process.tasks import BackgroundTasks
from tarragonway.settings import Peer, Settings
from tarragonway.transport import Mailbox
from tarragonway.wire import WireMessage

# Longest time for which a process that stops waits until callers have its responses.
DELIVERY_TIMEOUT_S = 5.0


class ProcessBase(BackgroundTasks):
    """Base class of control and entry processes.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    peer : Peer
        This process's row in the cluster's settings.
    """

    def __init__(self, settings: Settings, peer: Peer) -> None:
        super().__init__()
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
        self._runner: web.AppRunner | None = None

    def reload(self, settings: Settings) -> None:
        """Ignore changed settings: all of them take effect after a restart only."""

    async def _serve(self, app: web.Application, **options: Any) -> None:
        """Start the HTTP server."""
        self._runner = web.AppRunner(app, access_log=None, **options)
        await self._runner.setup()
        host, _, port = self._peer.http.partition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    def _list_transports(self) -> list[asyncio.Transport]:
        """Return the transports of the HTTP server's open connections."""
        server = self._runner.server if self._runner is not None else None
        connections = server.connections if server is not None else ()
        transports = (connection.transport for connection in connections)
        return [t for t in transports if isinstance(t, asyncio.Transport)]

    async def _stop_serving(self) -> None:
        """Stop the HTTP server once its responses are delivered, then all tasks."""
        if self._runner is not None:
            await wait_delivered(self._list_transports, DELIVERY_TIMEOUT_S)
            await self._runner.cleanup()
        await self._end_tasks()
