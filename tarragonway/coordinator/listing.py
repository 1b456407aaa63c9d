"""The leader's reading of the platform's list, and its publication to gateways."""

import asyncio
from collections.abc import Callable

import structlog

from tarragonway.endpoints.listing import EndpointView, ListedEndpoint
from tarragonway.endpoints.reader import ListReader, ListUnread
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import EndpointUpdate
from tarragonway.replication import LogDriver

READ_S = 0.4
# Part of the platform's calls that reading a long list may take, and the longest pause.
CALLS_PART = 0.5
READ_MOST_S = 1.0
# A gateway that is behind gets the whole list again after this time, four reports long.
WHOLE_AGAIN_S = 1.0
# Whole lists under way to all gateways together; the rest wait for their next report.
WHOLE_UNSENT_BYTES = 16 * 1024 * 1024

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
    calls_per_s : float
        Calls that the platform takes from all processes.
    """

    def __init__(
        self,
        driver: LogDriver,
        reader: ListReader,
        view: EndpointView,
        list_gateways: Callable[[], list[Link]],
        note_change: Callable[[], None],
        calls_per_s: float,
    ) -> None:
        self._driver = driver
        self._reader = reader
        self._view = view
        self._list_gateways = list_gateways
        self._note_change = note_change
        self._calls_per_s = calls_per_s
        self._sent_whole: dict[Link, float] = {}
        self._whole: tuple[tuple[int, int], bytes] = ((0, 0), b"")
        self.listing = 0
        self.read_at = float("-inf")

    async def run(self) -> None:
        """Read and publish until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._compute_pause())
            if not self._driver.is_leader:
                continue
            started = loop.time()
            rows = await self._reader.read()
            if isinstance(rows, ListUnread):
                continue
            self.read_at = started
            self._publish(rows)

    def _compute_pause(self) -> float:
        needed_s = self._reader.pages / (self._calls_per_s * CALLS_PART)
        return min(READ_MOST_S, max(READ_S, needed_s))

    def bring_up(self, link: Link, held: tuple[int, int], now: float) -> None:
        """Send the whole list to a gateway that holds another one.

        It travels once: until it can have arrived, later reports of the gateway are
        still those of one that is behind.

        Parameters
        ----------
        link : Link
            The gateway's link.
        held : tuple of int
            Term and number of the list that the gateway holds.
        now : float
            The loop's time.
        """
        if not self.listing or held == (self._driver.replica.term, self.listing):
            return
        waits = now - self._sent_whole.get(link, float("-inf")) < WHOLE_AGAIN_S
        unsent = sum(known.unsent_bytes for known in self._sent_whole)
        if waits or link.unsent_bytes or unsent > WHOLE_UNSENT_BYTES:
            return
        self._sent_whole[link] = now
        link.send_encoded(self._encode_whole())

    def forget(self, link: Link) -> None:
        """Forget a link that has ended."""
        self._sent_whole.pop(link, None)

    def _encode_whole(self) -> bytes:
        number = (self._driver.replica.term, self.listing)
        if self._whole[0] != number:
            rows = tuple(self._view.rows.values())
            update = EndpointUpdate(*number, True, rows, ())
            self._whole = (number, encode_message(update))
        return self._whole[1]

    def _publish(self, rows: list[ListedEndpoint]) -> None:
        changed, gone = self._view.replace(rows)
        if not changed and not gone and self.listing:
            return
        self.listing += 1
        self._note_change()
        term = self._driver.replica.term
        update = EndpointUpdate(term, self.listing, False, tuple(changed), tuple(gone))
        frame = encode_message(update)
        # Others cannot use differences, and get the whole list with their next report.
        links = [link for link in self._list_gateways() if link in self._sent_whole]
        for link in links:
            link.send_encoded(frame)
        _log.info(
            "list is published",
            listing=self.listing,
            changed=len(changed),
            gone=len(gone),
            gateways=len(links),
        )
