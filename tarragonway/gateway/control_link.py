"""Links of a gateway to the coordinators: reports, configuration and endpoint list."""

import asyncio
import collections
from collections.abc import Callable, Iterable

import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import Fingerprint, ProcessName
from tarragonway.core.numbers import decode_integer
from tarragonway.gateway.configuration_fetch import ConfigurationFetcher
from tarragonway.gateway.limit_guard import LimitGuard
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.origin_guard import OriginGuard
from tarragonway.gateway.part_guard import PartGuard, PartMessage
from tarragonway.gateway.quota import QuotaClient
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.usage import UsageCounter
from tarragonway.links import Link, LinkPool
from tarragonway.links.messages import (
    ConfigurationText,
    CrashReport,
    EndpointLeaving,
    EndpointUpdate,
    GatewayReport,
    GatewayReportReply,
    HeldParts,
    Hello,
    LimitStated,
    LinkMessage,
    OriginReply,
    PermitReply,
    PermitRequest,
    ProbeReply,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    Status,
    SuspectCleared,
    VersionsInService,
    VersionsReply,
    VersionsRequest,
)
from tarragonway.pace import PaceTracker
from tarragonway.rollouts import RolloutOrders
from tarragonway.routes.model import Configuration
from tarragonway.routing.engine_speed import EngineSpeeds

REPORT_INTERVAL_S = 0.25
# Every this many reports, the gateway reports the speeds that it has fitted.
REPORTS_PER_SPEED_REPORT = 8
SPEED_REPORT_INTERVAL_S = REPORTS_PER_SPEED_REPORT * REPORT_INTERVAL_S
# Number of the latest crash reports that are sent again to a new leader.
MAX_CRASH_REPORTS = 64
# Prompt parts in the crash reports that are sent again to a new leader.
MAX_REPORTED_PARTS = 20_000
# Smaller corrections of the wall clock are not applied.
MIN_CLOCK_CORRECTION_S = 0.02

_log = structlog.get_logger()


class ControlLink:
    """Updates the gateway's state from the coordinators and reports to the leader.

    Parameters
    ----------
    name : ProcessName
        Name under which this gateway reports.
    seeds : iterable of str
        Addresses of the first coordinators to connect to.
    gateway_state : GatewayState
        State that this link updates.
    usage, offered_load : UsageCounter, OfferedLoadMeter
        Measurements that are reported to the leader.
    speeds : EngineSpeeds
        Speeds that are reported to the leader and combined by it.
    paces : PaceTracker, optional
        Paces of endpoints that are reported to the leader and combined by it.
    decode : callable
        Decodes the text of a configuration; raises ConfigurationError.
    counters : Counters
        Receives ``control.*`` counters.
    """

    def __init__(
        self,
        name: ProcessName,
        seeds: Iterable[str],
        gateway_state: GatewayState,
        usage: UsageCounter,
        offered_load: OfferedLoadMeter,
        speeds: EngineSpeeds,
        decode: Callable[[bytes], Configuration],
        counters: Counters,
        paces: PaceTracker | None = None,
    ) -> None:
        self._name = name
        self._seeds = list(seeds)
        self._state = gateway_state
        self._quota = QuotaClient(self.send_to_leader, counters)
        self._guard = PartGuard(self.send_to_leader, counters)
        self._limit_guard = LimitGuard(gateway_state, self.send_to_leader, counters)
        self._watch_version = -1
        self._offered_load = offered_load
        self._speeds = speeds
        self._paces = paces or PaceTracker()
        self._usage = usage
        self._configurations = ConfigurationFetcher(gateway_state, decode, counters)
        self._counters = counters
        self._link_pool = LinkPool(
            self._handle_message, self._send_hello, lambda link: None, counters
        )
        self._origins = OriginGuard(
            name,
            gateway_state,
            lambda: sorted(self._link_pool.links),
            lambda address, message: self._link_pool.send(address, message),
            self.send_to_leader,
            counters,
        )
        self._term = 0
        self._leader = ""
        self._coordinators: set[str] = set()
        self._sequence = 0
        self._sent_at: dict[int, float] = {}
        self._list_version = (0, 0)
        # Crash reports and the loop's time at which each was made.
        self._crashes: collections.deque[tuple[CrashReport, float]] = collections.deque(
            maxlen=MAX_CRASH_REPORTS
        )
        self._full_report = True

    @property
    def origins(self) -> OriginGuard:
        """Origins of streams, which the coordinators record."""
        return self._origins

    async def run(self) -> None:
        """Connect to the seeds and report to the leader until cancelled."""
        self._link_pool.connect_to(self._seeds)
        while True:
            self._state.rollouts.log_shares(asyncio.get_running_loop().time())
            self._send_report()
            await asyncio.sleep(REPORT_INTERVAL_S)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds; known coordinators stay connected."""
        self._seeds = list(seeds)
        self._link_pool.connect_to({*self._seeds, *self._coordinators})

    def report_crash(self, crash: CrashReport) -> None:
        """Report to the leader that an endpoint failed while it ran this content.

        The latest crash reports are sent again to each new leader.
        """
        self._crashes.append((crash, asyncio.get_running_loop().time()))
        self.send_to_leader(crash)

    def report_leaving(self, endpoint: str) -> None:
        """Report to the leader that an endpoint has said that it leaves."""
        self.send_to_leader(EndpointLeaving(endpoint))

    @property
    def quota(self) -> QuotaClient:
        """Client that requests quota units from the leader."""
        return self._quota

    @property
    def guard(self) -> PartGuard:
        """Held prompt parts, as the coordinators send them."""
        return self._guard

    @property
    def limit_guard(self) -> LimitGuard:
        """Request limits of endpoints, as their answers and the leader state them."""
        return self._limit_guard

    def report_cleared(self, fingerprint: Fingerprint) -> None:
        """Report to the leader that a suspected content was answered completely."""
        self._crashes = collections.deque(
            (row for row in self._crashes if row[0].fingerprint != fingerprint),
            MAX_CRASH_REPORTS,
        )
        self.send_to_leader(SuspectCleared(fingerprint))

    def send_to_leader(
        self,
        message: QuotaRequest
        | QuotaReturn
        | CrashReport
        | SuspectCleared
        | PartMessage
        | LimitStated
        | PermitRequest
        | VersionsRequest
        | EndpointLeaving,
    ) -> bool:
        """Send a message; return False if no leader is known or its link is closed."""
        return bool(self._leader) and self._link_pool.send(self._leader, message)

    async def close(self) -> None:
        """Send a last report and close all links."""
        self._origins.flush()
        self._send_report()
        await asyncio.sleep(0)
        await self._link_pool.close()

    def make_dump(self) -> dict[str, object]:
        """Return the state of the links for the state dump."""
        return {
            "leader": self._leader,
            "term": self._term,
            "links": sorted(self._link_pool.links),
            "listing": self._list_version,
            "held_parts": sorted(self._guard.held),
            "held_contents": sorted(self._state.held_contents),
            "versions": self._origins.history,
            "request_limits": self._limit_guard.limits,
            "paces": self._paces.make_dump(),
        }

    # Messages

    def _send_hello(self, link: Link) -> None:
        link.send(Hello(self._name))
        self._origins.send_all(link.peer)
        if link.peer == self._leader:
            # Reports may have been lost with the link before.
            self._report_everything()

    def _handle_message(self, link: Link, message: LinkMessage) -> None:
        match message:
            case Status():
                self._handle_status(link, message)
            case ConfigurationText(revision, data):
                self._configurations.receive(link, decode_integer(revision), data)
            case EndpointUpdate():
                self._handle_endpoints(message)
            case GatewayReportReply():
                self._handle_report_reply(message)
            case QuotaReply():
                self._quota.handle_reply(message)
            case ProbeReply():
                self._guard.handle_reply(message)
            case PermitReply():
                self._limit_guard.handle_reply(message)
            case OriginReply() | VersionsInService() | VersionsReply():
                self._origins.handle(link.peer, message)
            case HeldParts() | RolloutOrders():
                self._handle_published(message)
            case _:
                self._counters.increment("control.unexpected")

    def _handle_status(self, link: Link, status: Status) -> None:
        if status.is_leader and status.term >= self._term:
            if link.peer != self._leader or status.term != self._term:
                _log.info("leader is known", leader=link.peer, term=status.term)
                self._quota.forget_unanswered()
                self._report_everything()
            self._term = status.term
            self._leader = link.peer
        elif link.peer == self._leader and not status.is_leader:
            _log.info("leader is lost", leader=link.peer, term=status.term)
            self._leader = ""
        self._update_coordinators(status)
        self._configurations.fetch_newer(link, decode_integer(status.revision))

    def _report_everything(self) -> None:
        """Make the next report a full one, as a new leader or a lost link needs it."""
        self._full_report = True
        self._watch_version = -1
        self._limit_guard.version = -1
        self._state.shedder.version = -1
        self._guard.report_again()

    def _update_coordinators(self, status: Status) -> None:
        """Connect to the members that the leader lists.

        Without a leader, connect to the members that any coordinator lists, and so too
        if a later term has begun: the known leader may have been removed for good. The
        members that a former leader lists may have been replaced since.
        """
        if status.is_leader and status.term >= self._term:
            self._coordinators = set(status.coordinators)
        elif not self._leader or status.term > self._term:
            self._coordinators |= set(status.coordinators)
        self._link_pool.connect_to({*self._seeds, *self._coordinators})

    def _handle_endpoints(self, update: EndpointUpdate) -> None:
        known_term, known_version = self._list_version
        if update.term < known_term:
            return
        if update.is_full:
            changed, removed = self._state.endpoints.apply_full_list(update.rows)
        elif (update.term, update.list_version - 1) == (known_term, known_version):
            self._state.endpoints.apply_delta(update.rows, update.removed)
            changed, removed = list(update.rows), list(update.removed)
        else:
            return
        self._list_version = (update.term, update.list_version)
        self._state.notify_if_complete()
        self._state.list_current_at = asyncio.get_running_loop().time()
        for row in changed:
            _log.info(
                "endpoint added or changed",
                endpoint=row.platform_id,
                address=row.address,
                zone=row.zone,
                leaving=row.leaving,
                leaves_s=row.leaves_s,
                version=row.version,
                listing=update.list_version,
            )
        if removed:
            _log.info(
                "endpoints removed", endpoints=removed, listing=update.list_version
            )

    def record_own_list_read(self) -> None:
        """Record that the gateway has read the platform's list itself.

        The gateway then reports list version -1, which matches no list of the leader,
        and ignores deltas until the leader sends a full list.
        """
        self._list_version = (self._list_version[0], -1)

    # Reports

    def _send_report(self) -> None:
        if not self._leader:
            return
        now = asyncio.get_running_loop().time()
        self._sequence += 1
        clock_s = self._state.clock.now()
        windows = self._usage.list_windows()
        usage = windows if self._full_report else windows[-2:]
        continued = self._guard.continued.take(now)
        has_speeds = self._sequence % REPORTS_PER_SPEED_REPORT == 0
        report = GatewayReport(
            self._name,
            self._sequence,
            clock_s,
            *self._list_version,
            usage,
            self._list_crashes(now) if self._full_report else (),
            self._offered_load.measure(now),
            self._quota.make_history() if self._full_report else None,
            self._speeds.list_fitted(SPEED_REPORT_INTERVAL_S)
            if has_speeds or self._full_report
            else None,
            {part: age_s for part, (age_s, _) in continued.items()},
            self._watch_version,
            self._limit_guard.list_statements(now) if self._full_report else (),
            self._limit_guard.version,
            self._offered_load.request_rates
            if has_speeds or self._full_report
            else None,
            self._list_self_announced() if self._full_report else (),
            self._state.rollouts.make_report(
                self._state.endpoints.rows.values(),
                self._sequence,
                self._full_report,
                now,
            ),
            self._paces.take_report() if has_speeds or self._full_report else {},
            offered=self._state.shedder.list_offered(
                has_speeds or self._full_report, now
            ),
            admitted_version=self._state.shedder.version,
            refused_load=self._offered_load.refused_rates,
            lasted_s={part: lasted_s for part, (_, lasted_s) in continued.items()},
            ended_ages_s={
                p: age_s for p, (age_s, _) in self._guard.ended.take(now).items()
            },
        )
        if self._link_pool.send(self._leader, report):
            self._full_report = False
            self._sent_at[self._sequence] = now
            while len(self._sent_at) > 32:
                del self._sent_at[next(iter(self._sent_at))]

    def _list_self_announced(self) -> tuple[str, ...]:
        view = self._state.endpoints
        return tuple(key for key in view.self_announced if key in view.rows)

    def _list_crashes(self, now: float) -> tuple[CrashReport, ...]:
        """Return the latest crash reports, as far as their parts fit in a message."""
        reports: list[CrashReport] = []
        parts = 0
        for crash, reported_at in reversed(self._crashes):
            parts += len(crash.parts)
            if reports and parts > MAX_REPORTED_PARTS:
                break
            reports.append(msgspec.structs.replace(crash, age_s=now - reported_at))
        return tuple(reversed(reports))

    def _handle_published(self, message: HeldParts | RolloutOrders) -> None:
        """Apply what every coordinator publishes from the log.

        A coordinator sends the rollouts first, so that a gateway which accepts requests
        once it knows the held parts knows the rollouts too.
        """
        if isinstance(message, RolloutOrders):
            now = asyncio.get_running_loop().time()
            clock_s = self._state.clock.now()
            self._state.rollouts.set_orders(message, now, clock_s)
            return
        if self._guard.set_held(message):
            self._state.held_contents = frozenset(message.contents)
        self._state.knows_held_parts = self._guard.is_informed
        self._state.notify_if_complete()

    def _handle_report_reply(self, reply: GatewayReportReply) -> None:
        sent_at = self._sent_at.pop(reply.sequence, None)
        if reply.term < self._term or sent_at is None:
            return
        gateway_state = self._state
        if reply.gateways:
            gateway_state.gateways = self._quota.gateways = reply.gateways
            gateway_state.set_part(reply.part)
            if reply.part:
                self._counters.increment("control.parts_received")
        gateway_state.rollouts.set_shares(reply.rollouts, sent_at)
        self._quota.near_quota = frozenset(reply.near_quota)
        gateway_state.quarantined = frozenset(reply.quarantined)
        gateway_state.suspects = frozenset(reply.suspects)
        if reply.speeds is not None:
            self._speeds.set_shared(reply.speeds)
        if reply.paces:
            self._paces.set_shared(reply.paces)
            self._counters.increment("control.paces_received")
        if reply.watched is not None:
            self._guard.watch(reply.watched)
            self._watch_version = reply.watch_version
        if reply.limits is not None:
            self._limit_guard.set_published(reply.limits_version, reply.limits, sent_at)
        gateway_state.shedder.set_admitted(
            reply.admitted_version, reply.admitted, asyncio.get_running_loop().time()
        )
        if abs(reply.clock_correction_s) > MIN_CLOCK_CORRECTION_S:
            _log.info("wall clock corrected", seconds=reply.clock_correction_s)
            gateway_state.clock.correct(reply.clock_correction_s)
        if (reply.term, reply.list_version) == self._list_version:
            gateway_state.list_current_at = max(
                gateway_state.list_current_at, sent_at - reply.list_age_s
            )
