"""Reader of the platform's full endpoint list."""

import asyncio
from collections.abc import Callable, Collection
from typing import Any

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.endpoints.endpoint_list import ListedEndpoint, RejectedEntry
from tarragonway.http1.call import Call, CallClient, CallFailed, CallResponse

READ_TIMEOUT_S = 1.0
MAX_PAGES = 100
STATUS_OK = 200
STATUS_RATE_LIMITED = 429
# A rate-limited page is requested again, so that the read of a long list does not start
# over while many other processes read it too.
RATE_LIMIT_RETRY_DELAY_S = 0.05
MAX_PAGE_ATTEMPTS = 5
# Each left out entry is logged once, unless so many others were logged since.
MAX_REMEMBERED_ENTRIES = 256
MAX_LOGGED_PER_READ = 8
MAX_LOGGED_LENGTH = 120

_log = structlog.get_logger()


class ListReadFailed(msgspec.Struct, frozen=True):
    """Sentinel: the list could not be read.

    ``rate_limited`` means that the platform has rate limited the calls.
    """

    reason: str
    rate_limited: bool = False


class ListReader:
    """Reads the endpoint list page by page.

    Parameters
    ----------
    client : CallClient
        Connection to the platform.
    make_call : callable
        Returns the call for a page, given its token or None for the first page.
    decode_page : callable
        Returns a page with ``rows``, ``next`` and ``rejected``, or a sentinel with
        ``reason``.
    counters : Counters
        Receives ``list.*`` counters.
    """

    def __init__(
        self,
        client: CallClient,
        make_call: Callable[[str | None], Call],
        decode_page: Callable[[bytes], Any],
        counters: Counters,
    ) -> None:
        self._client = client
        self._make_call = make_call
        self._decode_page = decode_page
        self._counters = counters
        self._failing = False
        self._unusable = 0
        self._logged: dict[tuple[str, str], None] = {}
        self.pages = 1

    async def read(self) -> list[ListedEndpoint] | ListReadFailed:
        """Return the usable rows of all pages, or a sentinel with the reason.

        An error that nothing expects is a failed read too: the list before still holds,
        and the next read may succeed.
        """
        result: list[ListedEndpoint] | ListReadFailed
        try:
            result = await self._read_pages()
        except Exception as error:
            result = ListReadFailed(repr(error)[:MAX_LOGGED_LENGTH])
            if not self._failing:
                _log.exception("read of the endpoint list failed unexpectedly")
        failing = isinstance(result, ListReadFailed)
        self._counters.increment("list.unread" if failing else "list.read")
        if failing != self._failing:
            self._failing = failing
            reason = result.reason if isinstance(result, ListReadFailed) else ""
            _log.info(
                "readability of the platform's endpoint list changed",
                readable=not failing,
                reason=reason,
            )
        return result

    async def _read_pages(self) -> list[ListedEndpoint] | ListReadFailed:
        rows: list[ListedEndpoint] = []
        rejected: list[RejectedEntry] = []
        token: str | None = None
        tokens: set[str] = set()
        for number in range(1, MAX_PAGES + 1):
            answer = await self._read_page(token)
            if not isinstance(answer, CallResponse):
                return ListReadFailed(answer.reason)
            if answer.status != STATUS_OK:
                rate_limited = answer.status == STATUS_RATE_LIMITED
                return ListReadFailed(f"status {answer.status}", rate_limited)
            page = self._decode_page(answer.body)
            if not hasattr(page, "rows"):
                return ListReadFailed(page.reason)
            rows.extend(page.rows)
            rejected.extend(page.rejected)
            token = page.next
            if token is None:
                self.pages = number
                self._record_rejected(rejected, len(rows))
                return rows
            if token in tokens:
                return ListReadFailed("a page names a page before it as the next one")
            tokens.add(token)
        return ListReadFailed(f"list has more than {MAX_PAGES} pages")

    def _record_rejected(
        self, rejected: Collection[RejectedEntry], usable: int
    ) -> None:
        """Count the entries that were left out, and log those that are new."""
        if rejected:
            self._counters.increment("list.unusable", len(rejected))
        if len(rejected) != self._unusable:
            self._unusable = len(rejected)
            _log.warning(
                "entries of the endpoint list cannot be used and are left out",
                unusable=len(rejected),
                usable=usable,
            )
        found = {
            (row.id[:MAX_LOGGED_LENGTH], row.reason[:MAX_LOGGED_LENGTH]): None
            for row in rejected
        }
        new = [row for row in found if row not in self._logged]
        for endpoint, reason in new[:MAX_LOGGED_PER_READ]:
            self._logged[endpoint, reason] = None
            _log.warning(
                "entry of the endpoint list is left out",
                endpoint=endpoint,
                reason=reason,
            )
        while len(self._logged) > MAX_REMEMBERED_ENTRIES:
            del self._logged[next(iter(self._logged))]

    async def _read_page(self, token: str | None) -> CallResponse | CallFailed:
        for tries_left in reversed(range(MAX_PAGE_ATTEMPTS)):
            answer = await self._client.call(self._make_call(token), READ_TIMEOUT_S)
            rate_limited = (
                isinstance(answer, CallResponse)
                and answer.status == STATUS_RATE_LIMITED
            )
            if not rate_limited or not tries_left:
                break
            self._counters.increment("list.crowded")
            await asyncio.sleep(RATE_LIMIT_RETRY_DELAY_S)
        return answer
