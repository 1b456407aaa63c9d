"""Reports on content whose endpoints fail, and on endpoints that leave."""

import asyncio
from typing import Protocol

from tarragonway.core.ids import Fingerprint
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.admission import make_fingerprint
from tarragonway.gateway.attempt import (
    Answered,
    Attempt,
    Broken,
    SendOutcome,
    Streamed,
)
from tarragonway.gateway.part_evidence import compute_lasted_s
from tarragonway.gateway.state import GatewayState
from tarragonway.links.messages import CrashReport


class EndpointReporter(Protocol):
    """Receiver of reports on endpoints, and on content that may crash them."""

    def report_crash(self, crash: CrashReport) -> None:
        """Report that an endpoint failed while it ran this content."""
        ...

    def report_cleared(self, fingerprint: Fingerprint) -> None:
        """Report that a suspected content was answered completely."""
        ...

    def report_leaving(self, endpoint: str) -> None:
        """Report that an endpoint has said in an answer that it leaves."""
        ...


class ContentReports:
    """Reports content after each send, by the send's outcome.

    Parameters
    ----------
    state : GatewayState
        Source of the suspected contents and of the endpoints that leave.
    reporter : EndpointReporter
        Receives crash reports and cleared suspects.
    """

    def __init__(self, state: GatewayState, reporter: EndpointReporter) -> None:
        self._state = state
        self._reporter = reporter

    def report(
        self,
        attempt: Attempt,
        outcome: SendOutcome,
        endpoint: ListedEndpoint,
    ) -> None:
        """Report content whose endpoint failed, or a suspect that was answered.

        The leader decides whether the parts of its prompt are suspected. An endpoint
        whose end was announced did not crash. Crashes during the sends of a hedged
        request are reported once, so that one request does not count as two.
        """
        race = attempt.race
        match outcome:
            case Broken() if not self._is_leaving(endpoint.key):
                fingerprint = make_fingerprint(attempt.request, attempt.account)
                probe, attempt.probe = attempt.probe, None
                if race is not None:
                    if race.crash_reported:
                        return
                    race.crash_reported = True
                now = asyncio.get_running_loop().time()
                self._reporter.report_crash(
                    CrashReport(
                        fingerprint,
                        endpoint.key,
                        attempt.shared_parts,
                        probe=probe.sequence if probe is not None else 0,
                        lasted_s=compute_lasted_s(attempt, now),
                    )
                )
            case Answered() | Streamed() if self._state.suspects:
                fingerprint = make_fingerprint(attempt.request, attempt.account)
                if fingerprint in self._state.suspects:
                    self._reporter.report_cleared(fingerprint)

    def _is_leaving(self, key: str) -> bool:
        row = self._state.endpoints.rows.get(key)
        return row is not None and row.leaving
