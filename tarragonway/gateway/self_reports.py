"""What answers say of the endpoints that gave them: a leave, a pause."""

import asyncio
from collections.abc import Callable

import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.numbers import parse_bounded_number
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.exchange import ResponseInfo
from tarragonway.gateway.state import GatewayState
from tarragonway.routing.notices import MAX_PAUSE_S, EndpointNotices

MAX_LOGGED_TEXT = 40

_log = structlog.get_logger()


class SelfReports:
    """Records the leaves and pauses that endpoints announce in any answer.

    Parameters
    ----------
    state : GatewayState
        Its endpoints are marked as leaving.
    notices : EndpointNotices
        Receives the pauses.
    report_leaving : callable
        Tells the leader of an endpoint that leaves, once for each incarnation.
    counters : Counters
        Receives ``endpoints.*`` counters.
    """

    def __init__(
        self,
        state: GatewayState,
        notices: EndpointNotices,
        report_leaving: Callable[[str], None],
        counters: Counters,
    ) -> None:
        self._state = state
        self._notices = notices
        self._report_leaving = report_leaving
        self._counters = counters

    def record(self, endpoint: ListedEndpoint, info: ResponseInfo) -> None:
        """Record what the head of an answer says of its endpoint."""
        if info.is_leaving and self._state.endpoints.mark_leaving(endpoint.key):
            self._counters.increment("endpoints.said_leaving")
            _log.info("endpoint says that it leaves", endpoint=endpoint.platform_id)
            self._report_leaving(endpoint.key)
        if info.pause_text is not None:
            self._record_pause(endpoint, info.pause_text)

    def _record_pause(self, endpoint: ListedEndpoint, text: str) -> None:
        """Record a pause in seconds; a date or another text names none."""
        pause_s = parse_bounded_number(text, MAX_PAUSE_S)
        if pause_s is None:
            self._counters.increment("endpoints.pauses_unreadable")
            _log.warning(
                "unreadable pause of an endpoint; it counts as none",
                endpoint=endpoint.platform_id,
                text=text[:MAX_LOGGED_TEXT],
            )
            return
        if pause_s <= 0:
            return
        self._counters.increment("endpoints.pauses")
        now = asyncio.get_running_loop().time()
        if self._notices.get_pause(endpoint.key, now) <= 0:
            _log.info(
                "endpoint wants a pause", endpoint=endpoint.platform_id, pause_s=pause_s
            )
        self._notices.record_pause(endpoint.key, pause_s, now)
