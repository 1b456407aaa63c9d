"""Links to a changing set of peers; a link that ends is opened again."""

import asyncio
import functools
from collections.abc import Callable, Iterable

import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.drops import DroppedMessages
from tarragonway.links.link import Link
from tarragonway.links.messages import LinkMessage

DIAL_TIMEOUT_S = 1.0
MIN_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0

_log = structlog.get_logger()


class LinkPool:
    """Maintains one outgoing link to each wanted address and accepts incoming links.

    Parameters
    ----------
    receive : callable
        Called with the link and each received message.
    opened : callable
        Called with each outgoing link once it is open.
    closed : callable
        Called with each link that has ended, outgoing or incoming.
    counters : Counters
        Receives ``links.*`` counters.
    """

    def __init__(
        self,
        receive: Callable[[Link, LinkMessage], None],
        opened: Callable[[Link], None],
        closed: Callable[[Link], None],
        counters: Counters,
    ) -> None:
        self._receive = receive
        self._drops = DroppedMessages(counters)
        self._opened = opened
        self._closed = closed
        self._links: dict[str, Link] = {}
        self._dialers: dict[str, asyncio.Task] = {}
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept incoming links on ``IP:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Link(self._receive, self._closed, self._drops),
            host,
            int(port),
            backlog=512,
        )

    @property
    def links(self) -> dict[str, Link]:
        """Open outgoing links by address."""
        return {a: link for a, link in self._links.items() if link.is_open}

    def connect_to(self, addresses: Iterable[str]) -> None:
        """Connect to exactly these addresses and close outgoing links to all others."""
        wanted = set(addresses)
        for address in wanted - set(self._dialers):
            self._dialers[address] = asyncio.create_task(self._dial_forever(address))
        for address in set(self._dialers) - wanted:
            self._dialers.pop(address).cancel()
            link = self._links.pop(address, None)
            if link is not None:
                link.abort()

    def send(self, address: str, message: LinkMessage) -> bool:
        """Send on an outgoing link; return False if no link to the address is open."""
        link = self._links.get(address)
        return link is not None and link.send(message)

    async def close(self) -> None:
        """Close all outgoing links and accept no more incoming ones."""
        self.connect_to(())
        if self._server is not None:
            self._server.close()

    async def _dial_forever(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        delay_s = MIN_REDIAL_DELAY_S
        while True:
            ended = asyncio.Event()
            link = self._make_link(address, ended)
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    await loop.create_connection(
                        functools.partial(_return_link, link), host, int(port)
                    )
            except (OSError, TimeoutError, ValueError, OverflowError):
                # Peers name addresses, and one that is none raises the last two.
                link.abort()
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_REDIAL_DELAY_S, 2 * delay_s)
                continue
            delay_s = MIN_REDIAL_DELAY_S
            _log.info("link is open", peer=address)
            self._links[address] = link
            self._opened(link)
            await ended.wait()
            _log.info("link is lost", peer=address)
            await asyncio.sleep(delay_s)

    def _make_link(self, address: str, ended: asyncio.Event) -> Link:
        def handle_end(link: Link) -> None:
            ended.set()
            self._closed(link)

        link = Link(self._receive, handle_end, self._drops)
        link.peer = address
        return link


def _return_link(link: Link) -> Link:
    return link
