"""Publication of the platform's endpoint list by the leader to the gateways."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

import structlog

from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint
from tarragonway.endpoints.reader import ListReader, ListReadFailed
from tarragonway.links import Link
from tarragonway.links.link import encode_message
from tarragonway.links.messages import EndpointUpdate
from tarragonway.replication import LogDriver

MIN_READ_INTERVAL_S = 0.4
# Reading a list of many pages is slowed down to this fraction of the platform's call
# rate, but not beyond the longest interval.
READ_CALLS_FRACTION = 0.5
MAX_READ_INTERVAL_S = 1.0
# A gateway with an outdated list is sent the full list again after this time, in which
# it sends four reports.
FULL_LIST_RESEND_DELAY_S = 1.0
# Bound on the unsent bytes of links that were sent a full list. Beyond it, other
# gateways are sent the full list after a later report.
MAX_UNSENT_LIST_BYTES = 16 * 1024 * 1024

# Term and version that a gateway reports before it has any list.
NO_LIST = (0, 0)

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
    register : callable
        Called with each list that was read; returns the rows that may be published.
    notify_changed : callable
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
        register: Callable[[list[ListedEndpoint]], Awaitable[list[ListedEndpoint]]],
        notify_changed: Callable[[], None],
        calls_per_s: float,
    ) -> None:
        self._driver = driver
        self._reader = reader
        self._view = view
        self._list_gateways = list_gateways
        self._register = register
        self._notify_changed = notify_changed
        self._calls_per_s = calls_per_s
        self._full_list_sent_at: dict[Link, float] = {}
        self._encoded_full_list: tuple[tuple[int, int], bytes] = ((0, 0), b"")
        self._published_term = -1
        self.list_version = 0
        self.read_at = float("-inf")

    @property
    def has_current_list(self) -> bool:
        """Whether the view was read from the platform in the present term."""
        return self._published_term == self._driver.replica.term

    async def run(self) -> None:
        """Read and publish the list periodically until the task is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._compute_read_interval())
            if not self._driver.is_leader:
                continue
            started = loop.time()
            rows = await self._reader.read()
            if isinstance(rows, ListReadFailed):
                continue
            published = await self._register(rows)
            if not self._driver.is_leader:
                continue
            self.read_at = started
            self._publish(published)

    def _compute_read_interval(self) -> float:
        needed_s = self._reader.pages / (self._calls_per_s * READ_CALLS_FRACTION)
        return min(MAX_READ_INTERVAL_S, max(MIN_READ_INTERVAL_S, needed_s))

    def refresh_gateway(self, link: Link, held: tuple[int, int], now: float) -> None:
        """Send the full list to a gateway that has another version.

        Until it has read the list in its present term, this process knows only that of
        an earlier leadership. Then a gateway is sent it only if it has no list at all.

        It is not sent again for :data:`FULL_LIST_RESEND_DELAY_S`, since reports that
        the gateway sends before the list arrives still name the old version. It is not
        sent either while bytes on the link are unsent, or while the unsent bytes of all
        links exceed :data:`MAX_UNSENT_LIST_BYTES`.

        Parameters
        ----------
        link : Link
            The gateway's link.
        held : tuple of int
            Leader's term and version of the list that the gateway has.
        now : float
            The event loop's time in seconds.
        """
        if not self.list_version or held == (
            self._driver.replica.term,
            self.list_version,
        ):
            return
        if not self.has_current_list and held != NO_LIST:
            return
        sent_recently = (
            now - self._full_list_sent_at.get(link, float("-inf"))
            < FULL_LIST_RESEND_DELAY_S
        )
        unsent = sum(receiver.unsent_bytes for receiver in self._full_list_sent_at)
        if sent_recently or link.unsent_bytes or unsent > MAX_UNSENT_LIST_BYTES:
            return
        self._full_list_sent_at[link] = now
        link.send_encoded(self._encode_full_list())

    def remove_link(self, link: Link) -> None:
        """Remove the state of a closed link."""
        self._full_list_sent_at.pop(link, None)

    def _encode_full_list(self) -> bytes:
        version = (self._driver.replica.term, self.list_version)
        if self._encoded_full_list[0] != version:
            rows = tuple(self._view.rows.values())
            update = EndpointUpdate(*version, True, rows, ())
            self._encoded_full_list = (version, encode_message(update))
        return self._encoded_full_list[1]

    def mark_leaving(self, keys: Iterable[str]) -> None:
        """As the leader, publish that endpoints leave by their own account."""
        if not self._driver.is_leader:
            return
        marked = [key for key in keys if self._view.mark_leaving(key)]
        changed = [self._view.rows[key] for key in marked if key in self._view.rows]
        if changed and self.list_version:
            self._send_delta(changed, [])

    def _publish(self, rows: list[ListedEndpoint]) -> None:
        changed, removed = self._view.apply_full_list(rows)
        self._published_term = self._driver.replica.term
        if changed or removed or not self.list_version:
            self._send_delta(changed, removed)

    def _send_delta(self, changed: list[ListedEndpoint], removed: list[str]) -> None:
        self.list_version += 1
        self._notify_changed()
        term = self._driver.replica.term
        update = EndpointUpdate(
            term, self.list_version, False, tuple(changed), tuple(removed)
        )
        frame = encode_message(update)
        # A gateway that was never sent the full list cannot apply a delta. It is sent
        # the full list after its next report.
        links = [
            link for link in self._list_gateways() if link in self._full_list_sent_at
        ]
        for link in links:
            link.send_encoded(frame)
        _log.info(
            "endpoint list delta published",
            listing=self.list_version,
            changed=len(changed),
            gone=len(removed),
            gateways=len(links),
        )
