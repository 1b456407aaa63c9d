"""Reads the platform's endpoint list as leader, and publishes it to gateways."""

import asyncio
from collections.abc import Callable

import structlog

from tarragonway.endpoints.listing import EndpointView, ListedEndpoint
from tarragonway.endpoints.reader import ListReader, ListUnread
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import EndpointUpdate
from tarragonway.replication import LogDriver

MIN_READ_INTERVAL_S = 0.4
# Reading a list of many pages is slowed down to this fraction of the platform's call
# rate, but not beyond the longest interval.
READ_CALLS_FRACTION = 0.5
MAX_READ_INTERVAL_S = 1.0
# A gateway with an outdated list gets the full list again after this time, in which it
# sends four reports.
FULL_LIST_RESEND_DELAY_S = 1.0
# Bound on the unsent bytes of links that were sent a full list. Beyond it, other
# gateways get the full list after a later report.
MAX_UNSENT_LIST_BYTES = 16 * 1024 * 1024

_log = structlog.get_logger()


class ListPublisher:
    """Reads the endpoint list while this process leads, and sends deltas to gateways.

    Parameters
    ----------
    driver : LogDriver
        Source of the leadership and the term.
    reader : ListReader
        Reads the platform's endpoint list.
    view : EndpointView
        Receives each list that was read.
    list_gateways : callable
        Returns the links of the gateways.
    note_change : callable
        Called after each change of the view.
    calls_per_s : float
        Call rate that the platform accepts from all processes together.
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
        """Read and publish the list periodically until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._compute_read_interval())
            if not self._driver.is_leader:
                continue
            started = loop.time()
            rows = await self._reader.read()
            if isinstance(rows, ListUnread):
                continue
            self.read_at = started
            self._publish(rows)

    def _compute_read_interval(self) -> float:
        needed_s = self._reader.pages / (self._calls_per_s * READ_CALLS_FRACTION)
        return min(MAX_READ_INTERVAL_S, max(MIN_READ_INTERVAL_S, needed_s))

    def refresh_gateway(self, link: Link, held: tuple[int, int], now: float) -> None:
        """Send the full list to a gateway that holds another version.

        It is not sent again for :data:`FULL_LIST_RESEND_DELAY_S`, since reports that
        the gateway sends before the list arrives still name the old version.

        Parameters
        ----------
        link : Link
            The gateway's link.
        held : tuple of int
            Leader's term and version of the list that the gateway holds.
        now : float
            The event loop's time in seconds.
        """
        if not self.listing or held == (self._driver.replica.term, self.listing):
            return
        waits = (
            now - self._sent_whole.get(link, float("-inf")) < FULL_LIST_RESEND_DELAY_S
        )
        unsent = sum(known.unsent_bytes for known in self._sent_whole)
        if waits or link.unsent_bytes or unsent > MAX_UNSENT_LIST_BYTES:
            return
        self._sent_whole[link] = now
        link.send_encoded(self._encode_full_list())

    def remove_link(self, link: Link) -> None:
        """Remove the state of a closed link."""
        self._sent_whole.pop(link, None)

    def _encode_full_list(self) -> bytes:
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
        # A gateway that was never sent the full list cannot apply a delta. It gets the
        # full list after its next report.
        links = [link for link in self._list_gateways() if link in self._sent_whole]
        for link in links:
            link.send_encoded(frame)
        _log.info(
            "endpoint list delta is published",
            listing=self.listing,
            changed=len(changed),
            gone=len(gone),
            gateways=len(links),
        )
