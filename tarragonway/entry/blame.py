"""Reports of endpoints that crash under a request."""

import asyncio

from tarragonway.control.client import ControlClient
from tarragonway.core.counters import Counters
from tarragonway.core.outcomes import Outcome, Refusal, RefusalReason
from tarragonway.endpoints import Endpoint
from tarragonway.entry.dispatch import Dispatcher
from tarragonway.quarantine import CrashRecorded, ReportCrash
from tarragonway.requests.live import LiveRequest
from tarragonway.watch.client import WatchClient

EXPLAIN_WAIT_S = 1.5
REPORT_TIMEOUT_S = 3.0


class CrashReporter:
    """Decides whether a broken stream counts against its request.

    Parameters
    ----------
    control : ControlClient
        Receives reports.
    watch : WatchClient
        Source of quarantined contents.
    dispatcher : Dispatcher
        Knows leaving endpoints.
    counters : Counters
        Receives ``blame.*`` counters.
    """

    def __init__(
        self,
        control: ControlClient,
        watch: WatchClient,
        dispatcher: Dispatcher,
        counters: Counters,
    ) -> None:
        self._control = control
        self._watch = watch
        self._dispatcher = dispatcher
        self._counters = counters

    async def report(self, live: LiveRequest, endpoint: Endpoint) -> Refusal | None:
        """Count a crash unless a reclaim explains it; return a refusal if too many."""
        if not self._dispatcher.is_leaving(endpoint.id):
            # The notice or the list may arrive after the connection broke.
            await asyncio.sleep(EXPLAIN_WAIT_S)
        if self._dispatcher.is_leaving(endpoint.id):
            self._counters.increment("blame.explained")
            return None
        self._counters.increment("blame.reported")
        fingerprint = live.record.fingerprint
        command = ReportCrash(endpoint.id, (fingerprint,), False)
        result = await self._control.call(command, REPORT_TIMEOUT_S)
        added = isinstance(result, CrashRecorded) and fingerprint in result.quarantined
        if added or fingerprint in self._watch.view.quarantined:
            detail = "this content has crashed endpoints and is not run again"
            return Refusal(RefusalReason.QUARANTINED, detail, 0.0, Outcome.REFUSED)
        return None
