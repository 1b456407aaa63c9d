"""Reports of endpoints that crash under a request, and probation of suspects."""

import asyncio

from tarragonway.control.client import ControlClient
from tarragonway.core.counters import Counters
from tarragonway.core.ids import Fingerprint
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.endpoints import Endpoint
from tarragonway.entry.dispatch import Dispatcher
from tarragonway.quarantine import (
    CrashRecorded,
    EndProbation,
    ProbationAnswer,
    ReportCrash,
    TakeProbation,
)
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
        Source of suspected and quarantined contents.
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
        self._reported: set[Fingerprint] = set()

    async def report(self, live: LiveRequest, endpoint: Endpoint) -> Refusal | None:
        """Record a crash unless a reclaim explains it; return why to give up, if so."""
        if not self._dispatcher.is_leaving(endpoint.id):
            # The notice or the list may arrive after the connection broke.
            await asyncio.sleep(EXPLAIN_WAIT_S)
        if self._dispatcher.is_leaving(endpoint.id):
            self._counters.increment("blame.explained")
            return None
        self._counters.increment("blame.reported")
        fingerprint = live.record.fingerprint
        self._reported.add(fingerprint)
        command = ReportCrash(endpoint.id, fingerprint)
        result = await self._control.call(command, REPORT_TIMEOUT_S)
        if isinstance(result, CrashRecorded) and result.quarantined:
            return make_quarantine_refusal()
        return self.check(fingerprint)

    def check(self, fingerprint: Fingerprint) -> Refusal | None:
        """Return the refusal of a quarantined content."""
        if fingerprint in self._watch.view.quarantined:
            return make_quarantine_refusal()
        return None

    def is_suspect(self, live: LiveRequest) -> bool:
        """Return whether a request may run on probation only."""
        fingerprint = live.record.fingerprint
        return fingerprint in self._reported or fingerprint in self._watch.view.suspects

    async def take_probation(self, live: LiveRequest, endpoint: Endpoint) -> bool:
        """Return whether a suspect may run at an endpoint now."""
        command = TakeProbation(endpoint.id, live.record.fingerprint)
        result = await self._control.call(command, REPORT_TIMEOUT_S)
        self._counters.increment("blame.probations")
        return isinstance(result, ProbationAnswer) and result.granted

    async def end_probation(
        self, live: LiveRequest, endpoint: Endpoint, cleared: bool
    ) -> None:
        """Free an endpoint for the next suspect."""
        fingerprint = live.record.fingerprint
        if cleared:
            self._reported.discard(fingerprint)
        command = EndProbation(endpoint.id, fingerprint, cleared)
        await self._control.call(command, REPORT_TIMEOUT_S)


def make_quarantine_refusal() -> Refusal:
    """Return the refusal of contents that crash endpoints."""
    detail = "this content has crashed endpoints and is not run again"
    return Refusal(RefusalReason.QUARANTINED, detail)
