"""Reports of the gateways to the leader: clocks, usage, load, speeds and crashes."""

import statistics
from collections.abc import Callable, Iterable

import msgspec
import structlog

from tarragonway.coordinator.lease import DutyLease
from tarragonway.coordinator.suspects import SuspectedContents
from tarragonway.coordinator.usage_windows import NEW_LEADER_GRACE_S
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId, PartId, ProcessName, ServiceName
from tarragonway.exchange import EngineSpeed, combine_speeds
from tarragonway.limits.gateway_parts import compute_parts
from tarragonway.limits.request_limits import RequestLimits
from tarragonway.links.messages import (
    CrashReport,
    GatewayReport,
    GatewayReportReply,
    LimitStated,
)
from tarragonway.overload import SheddingPlanner
from tarragonway.pace import CombinedPaces
from tarragonway.quarantine import PartCrash, PartQuarantine, ProbeId
from tarragonway.replication import LogDriver
from tarragonway.rollouts import RolloutShare

# Time after its last report for which a gateway counts as live.
GATEWAY_TIMEOUT_S = 3.0
# Time after its last report for which a gateway's usage counts are retained.
GATEWAY_RETENTION_S = 120.0
# Smaller deviations of this process's clock from the median are not corrected.
MIN_CLOCK_STEP_S = 0.02
# Time for which the gateways' parts of shared limits are sent without being computed
# again; their request rates arrive every two seconds.
PARTS_INTERVAL_S = 1.0
# Time for which the combined speeds of engines are sent without being computed again.
SPEEDS_INTERVAL_S = 1.0

# Returns the capacity of each service, given the pace of each endpoint.
ListCapacities = Callable[[Callable[[str], float]], dict[ServiceName, float]]

_log = structlog.get_logger()


class _GatewayState(msgspec.Struct):
    reported_at: float
    clock_offset_s: float
    clock_s: float
    windows: dict[int, dict[AccountId, int]]
    offered_load: dict[str, float]
    request_rates: dict[ServiceName, float] = {}
    speeds: dict[ServiceName, EngineSpeed] = {}
    refused_load: dict[ServiceName, float] = {}


class GatewayReports:
    """The latest report of each gateway.

    ``suspects`` are the contents on which endpoints have failed, ``parts`` the prompt
    parts. ``limits`` are the request limits that endpoints state, ``paces`` their
    combined paces. ``shedding`` decides which part of the offered load gateways admit.

    Parameters
    ----------
    driver : LogDriver
        Source of the current term.
    lease : DutyLease
        Source of the time for which this process has been leader.
    clock : WallClock
        This process's clock, which is corrected to the median of all clocks.
    list_capacities : callable
        Returns the work in seconds per second that the endpoints of services can do,
        given a function that returns the pace of an endpoint.
    counters : Counters, optional
        Receives ``shedding.*`` counters.
    """

    def __init__(
        self,
        driver: LogDriver,
        lease: DutyLease,
        clock: WallClock,
        list_capacities: ListCapacities = lambda get_pace: {},
        counters: Counters | None = None,
    ) -> None:
        self._driver = driver
        self._lease = lease
        self._clock = clock
        self._gateways: dict[ProcessName, _GatewayState] = {}
        self._speeds: dict[ServiceName, EngineSpeed] = {}
        self._speeds_combined_at = float("-inf")
        self._parts: dict[ProcessName, float] = {}
        self._parts_computed_at = float("-inf")
        self.suspects = SuspectedContents()
        self.parts = PartQuarantine()
        self.limits = RequestLimits()
        self.paces = CombinedPaces()
        self.shedding = SheddingPlanner(
            lambda: list_capacities(self.paces.get_pace), counters or Counters()
        )

    def clear(self) -> None:
        """Remove all reports; called while this process is not the leader.

        Crash records and quarantined contents remain.
        """
        self._gateways.clear()
        self._parts.clear()
        self._parts_computed_at = float("-inf")
        self.limits.clear()
        self.paces.clear()
        self.shedding.clear()

    def handle_report(
        self,
        gateway_report: GatewayReport,
        list_version: int,
        list_age_s: float,
        now: float,
        near_quota: tuple[AccountId, ...] = (),
        rollouts: tuple[RolloutShare, ...] = (),
    ) -> GatewayReportReply:
        """Record a gateway's report and return the reply.

        Parameters
        ----------
        gateway_report : GatewayReport
            The report.
        list_version : int
            Version of the endpoint list that the leader has published.
        list_age_s : float
            Seconds since that list was read from the platform.
        now : float
            The event loop's time in seconds.
        near_quota : tuple of AccountId
            Client accounts that have used most of their quota.
        rollouts : tuple of RolloutShare
            Decisions on the rollouts in progress.
        """
        gateway = self._record_report(gateway_report, now)
        admitted = self.shedding.list_admitted(gateway_report.admitted_version, now)
        live = self._list_live(now)
        # The number of gateways and the median clock need the reports of all gateways.
        is_grace_over = self._lease.leadership_age_s >= NEW_LEADER_GRACE_S
        return GatewayReportReply(
            self._driver.replica.term,
            gateway_report.sequence,
            self._correct_clock(gateway, live) if is_grace_over else 0.0,
            len(live) if is_grace_over else 0,
            list_version,
            list_age_s,
            self.suspects.quarantined,
            self.suspects.suspects,
            None if gateway_report.speeds is None else self._combine_speeds(now),
            self.parts.watch_version,
            self._list_watched(gateway_report),
            self.limits.version,
            self._list_limits(gateway_report),
            near_quota,
            rollouts,
            self.paces.exchange(
                gateway_report.paces,
                gateway_report.sequence,
                gateway_report.speeds is not None,
                now,
            ),
            admitted_version=self.shedding.version,
            admitted=admitted,
            part=self._get_part(gateway_report.name, now) if is_grace_over else 0.0,
        )

    def record_crash(
        self, gateway: ProcessName, crash: CrashReport, now: float
    ) -> None:
        """Record that an endpoint failed while it ran a gateway's request."""
        self.suspects.record_crash(crash, now)
        if crash.parts:
            probe = ProbeId(gateway, crash.probe) if crash.probe else None
            part_crash = PartCrash(
                crash.endpoint,
                crash.fingerprint,
                now - crash.age_s,
                now,
                crash.lasted_s,
            )
            self.parts.record_crash(crash.parts, part_crash, probe)

    def _record_answers(self, gateway_report: GatewayReport, now: float) -> None:
        """Record what answers have shown about prompt parts."""
        for part, age_s in gateway_report.continued_ages_s.items():
            lasted_s = gateway_report.lasted_s.get(part, 0.0)
            self.parts.record_lasted(part, lasted_s, now - age_s)
        for part, age_s in gateway_report.ended_ages_s.items():
            self.parts.record_ended(part, now - age_s)

    def record_limit(self, statement: LimitStated, now: float) -> None:
        """Record the request limit that an endpoint states."""
        self.limits.record_statement(
            statement.endpoint, statement.per_s, statement.age_s, now
        )

    def sum_window(self, window: int) -> dict[AccountId, int]:
        """Return how many requests began in a usage window, by client account."""
        total: dict[AccountId, int] = {}
        for gateway in self._gateways.values():
            for account, count in gateway.windows.get(window, {}).items():
                total[account] = total.get(account, 0) + count
        return total

    def count_gateways(self, window: int) -> int:
        """Return how many gateways have reported counts of a usage window."""
        return sum(window in gateway.windows for gateway in self._gateways.values())

    def list_live(self, now: float) -> list[ProcessName]:
        """Return the gateways that have reported within the last few seconds."""
        return sorted(self._list_live(now))

    def list_unreported_since(
        self, clock_s: float, connected: Iterable[ProcessName], now: float
    ) -> list[ProcessName]:
        """Return the known gateways without a report after a wall-clock time.

        Parameters
        ----------
        clock_s : float
            Wall-clock time in seconds.
        connected : iterable of ProcessName
            Gateways with an open link, which are known even before they report.
        now : float
            The event loop's time in seconds.
        """
        reported = {n for n, g in self._gateways.items() if g.clock_s > clock_s}
        return sorted({*self._list_live(now), *connected} - reported)

    def sum_offered_load(self, service: str, now: float) -> float:
        """Return the load on a service, in endpoint-seconds of work per second."""
        live = self._list_live(now).values()
        return sum(gateway.offered_load.get(service, 0.0) for gateway in live)

    def sum_refused_load(self, service: ServiceName, now: float) -> float:
        """Return the part of the offered load whose requests no endpoint got."""
        live = self._list_live(now).values()
        return sum(gateway.refused_load.get(service, 0.0) for gateway in live)

    def sum_request_rate(self, service: ServiceName, now: float) -> float:
        """Return the number of requests per second for a service."""
        live = self._list_live(now).values()
        return sum(gateway.request_rates.get(service, 0.0) for gateway in live)

    def _record_report(
        self, gateway_report: GatewayReport, now: float
    ) -> _GatewayState:
        gateway = self._gateways.get(gateway_report.name)
        if gateway is None:
            _log.info("first report of a gateway received", gateway=gateway_report.name)
            gateway = _GatewayState(now, 0.0, 0.0, {}, {})
            self._gateways[gateway_report.name] = gateway
        gateway.reported_at = now
        gateway.clock_offset_s = gateway_report.clock_s - self._clock.now()
        gateway.clock_s = gateway_report.clock_s
        gateway.offered_load = gateway_report.offered_load
        gateway.refused_load = gateway_report.refused_load
        if gateway_report.request_rates is not None:
            gateway.request_rates = gateway_report.request_rates
        if gateway_report.offered is not None:
            self.shedding.record(gateway_report.name, gateway_report.offered, now)
        if gateway_report.speeds is not None:
            gateway.speeds = gateway_report.speeds
        for window in gateway_report.usage:
            gateway.windows[window.window] = window.counts
        while len(gateway.windows) > 32:
            del gateway.windows[min(gateway.windows)]
        for crash in gateway_report.crashes:
            self.record_crash(gateway_report.name, crash, now)
        self._record_answers(gateway_report, now)
        for statement in gateway_report.limits:
            self.record_limit(statement, now)
        self.suspects.expire(now)
        for name in [
            n
            for n, g in self._gateways.items()
            if now - g.reported_at > GATEWAY_RETENTION_S
        ]:
            del self._gateways[name]
        return gateway

    def _list_watched(self, gateway_report: GatewayReport) -> tuple[PartId, ...] | None:
        is_current = gateway_report.watch_version == self.parts.watch_version
        return None if is_current else self.parts.watched

    def _list_limits(self, gateway_report: GatewayReport) -> dict[str, float] | None:
        is_current = gateway_report.limits_version == self.limits.version
        return None if is_current else self.limits.stated

    def _combine_speeds(self, now: float) -> dict[ServiceName, EngineSpeed]:
        """Return the median of the live gateways' speeds for each service."""
        if now - self._speeds_combined_at < SPEEDS_INTERVAL_S:
            return self._speeds
        fitted: dict[ServiceName, list[EngineSpeed]] = {}
        for gateway in self._list_live(now).values():
            for service, speed in gateway.speeds.items():
                fitted.setdefault(service, []).append(speed)
        combined = {name: combine_speeds(speeds) for name, speeds in fitted.items()}
        if combined != self._speeds:
            _log.info("speeds of engines combined", speeds=repr(combined))
        self._speeds, self._speeds_combined_at = combined, now
        return combined

    def _get_part(self, name: ProcessName, now: float) -> float:
        """Return a gateway's part of shared limits, 0 for the equal part.

        Deployments whose endpoints state no slowdown keep equal parts.
        """
        if not self.paces.are_known:
            return 0.0
        if now - self._parts_computed_at >= PARTS_INTERVAL_S:
            rates = {
                name: sum(gateway.request_rates.values())
                for name, gateway in self._list_live(now).items()
            }
            self._parts, self._parts_computed_at = compute_parts(rates), now
        return self._parts.get(name, 0.0)

    def _list_live(self, now: float) -> dict[ProcessName, _GatewayState]:
        return {
            name: gateway
            for name, gateway in self._gateways.items()
            if now - gateway.reported_at <= GATEWAY_TIMEOUT_S
        }

    def _correct_clock(
        self, gateway: _GatewayState, live: dict[ProcessName, _GatewayState]
    ) -> float:
        """Return the seconds to add to a gateway's clock to reach the median clock.

        This process's own clock takes part in the median, and is corrected to it too.
        """
        offsets = [0.0, *(other.clock_offset_s for other in live.values())]
        median = statistics.median_low(offsets)
        if abs(median) > MIN_CLOCK_STEP_S:
            self._clock.correct(median)
            for other in live.values():
                other.clock_offset_s -= median
        return -gateway.clock_offset_s
