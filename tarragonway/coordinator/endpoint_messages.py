"""Messages of gateways about endpoints: crashes, probes of held parts, limits."""

import asyncio
from collections.abc import Callable

import structlog

from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.part_holds import PartHolds
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.limits.request_limits import Permit, PermitDenied
from tarragonway.links import Link
from tarragonway.links.messages import (
    CrashReport,
    LimitStated,
    PartsContinued,
    PartsEnded,
    PermitReply,
    PermitRequest,
    ProbeEnded,
    ProbeRequest,
    Status,
    SuspectCleared,
)
from tarragonway.replication import LogDriver

EndpointMessage = (
    CrashReport
    | SuspectCleared
    | ProbeRequest
    | ProbeEnded
    | PartsContinued
    | PartsEnded
    | LimitStated
    | PermitRequest
)

_log = structlog.get_logger()


class EndpointMessageHandler:
    """Handles what gateways report about endpoints and ask before a send.

    Parameters
    ----------
    driver : LogDriver
        Tells whether this process is the leader.
    gateway_reports : GatewayReports
        Records crashes and request limits.
    part_holds : PartHolds
        Decides on held prompt parts.
    make_status : callable
        Returns the status that a gateway gets whose message is for the leader.
    counters : Counters
        Receives ``crashes.*`` and ``limits.*`` counters.
    """

    def __init__(
        self,
        driver: LogDriver,
        gateway_reports: GatewayReports,
        part_holds: PartHolds,
        make_status: Callable[[], Status],
        counters: Counters,
    ) -> None:
        self._driver = driver
        self._gateway_reports = gateway_reports
        self._part_holds = part_holds
        self._make_status = make_status
        self._counters = counters

    def handle(
        self, link: Link, gateway: ProcessName, message: EndpointMessage
    ) -> None:
        """Handle one message; a former leader too keeps the record of crashes."""
        now = asyncio.get_running_loop().time()
        match message:
            case CrashReport():
                self._record_crash(gateway, message, now)
            case SuspectCleared(fingerprint):
                self._gateway_reports.suspects.clear_suspect(fingerprint)
            case _ if not self._driver.is_leader:
                link.send(self._make_status())
            case ProbeRequest() | ProbeEnded() | PartsContinued() | PartsEnded():
                self._part_holds.handle(link, gateway, message)
            case LimitStated():
                self._record_limit(gateway, message, now)
            case PermitRequest(sequence, limits):
                link.send(self._answer_permit_request(sequence, limits, now))

    def _record_crash(
        self, gateway: ProcessName, crash: CrashReport, now: float
    ) -> None:
        self._counters.increment("crashes.reported")
        _log.info(
            "crash of an endpoint reported",
            gateway=gateway,
            endpoint=crash.endpoint,
            fingerprint=crash.fingerprint,
            parts_count=len(crash.parts),
            lasted_s=round(crash.lasted_s, 2),
            is_probe=bool(crash.probe),
        )
        self._part_holds.restore()
        self._gateway_reports.record_crash(gateway, crash, now)

    def _record_limit(
        self, gateway: ProcessName, statement: LimitStated, now: float
    ) -> None:
        _log.info(
            "request limit of an endpoint reported",
            gateway=gateway,
            endpoint=statement.endpoint,
            per_s=statement.per_s,
        )
        self._gateway_reports.record_limit(statement, now)

    def _answer_permit_request(
        self, sequence: int, limits: dict[str, float], now: float
    ) -> PermitReply:
        match self._gateway_reports.limits.request_permit(limits, now):
            case Permit(endpoint):
                self._counters.increment("limits.permits")
                return PermitReply(sequence, endpoint)
            case PermitDenied(waits_s, return_s):
                self._counters.increment("limits.permits_denied")
                return PermitReply(sequence, "", waits_s, return_s)
