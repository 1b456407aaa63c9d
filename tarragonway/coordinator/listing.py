"""The leader's reading of the platform's list, and its publication to gateways."""

import asyncio
from collections.abc import Callable

import msgspec
import structlog

from tarragonway.endpoints.listing import EndpointView, ListedEndpoint
from tarragonway.endpoints.reader import ListReader, ListUnread
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import EndpointUpdate
from tarragonway.replication import LogDriver

READ_S = 0.4

_log = structlog.get_logger()


class ListPublisher:
    """Reads the list while this process leads, and sends differences to gateways.

    Parameters
    ----------
    driver : LogDriver
        Tells whether this process leads.
    reader : ListReader
        Reads the platform's list.
    view : EndpointView
        Written here.
    list_gateways : callable
        Returns the links of the gateways.
    note_change : callable
        Called after the view has changed.
    """

    def __init__(
        self,
        driver: LogDriver,
        reader: ListReader,
        view: EndpointView,
        list_gateways: Callable[[], list[Link]],
        note_change: Callable[[], None],
    ) -> None:
        self._driver = driver
        self._reader = reader
        self._view = view
        self._list_gateways = list_gateways
        self._note_change = note_change
        self.listing = 0
        self.read_at = float("-inf")

    async def run(self) -> None:
        """Read and publish until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(READ_S)
            if not self._driver.is_leader:
                continue
            started = loop.time()
            rows = await self._reader.read()
            if isinstance(rows, ListUnread):
                continue
            self.read_at = started
            self._publish(rows)

    def make_whole(self) -> EndpointUpdate:
        """Return the whole list as a message."""
        rows = tuple(self._view.rows.values())
        return EndpointUpdate(self._driver.replica.term, self.listing, True, rows, ())

    def _publish(self, rows: list[ListedEndpoint]) -> None:
        changed, gone = self._view.replace(rows)
        if not changed and not gone and self.listing:
            return
        self.listing += 1
        self._note_change()
        update = msgspec.structs.replace(
            self.make_whole(), whole=False, rows=tuple(changed), gone=tuple(gone)
        )
        frame = encode_message(update)
        links = self._list_gateways()
        for link in links:
            link.send_encoded(frame)
        _log.info(
            "list is published",
            listing=self.listing,
            changed=len(changed),
            gone=len(gone),
            gateways=len(links),
        )
