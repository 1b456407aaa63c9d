"""Scaling duty: orders endpoints of each service from the platform."""

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Mapping

import msgspec
import structlog

from tarragonway.capacity.confirmed_need import ConfirmedLoads
from tarragonway.capacity.fleet import (
    EndpointKind,
    FleetPolicy,
    FleetState,
    compute_needed_endpoints,
    count_after_zone_loss,
    count_by_kind,
    count_lost_endpoints,
    plan_fleet,
)
from tarragonway.capacity.measured_capacity import MeasuredCapacities
from tarragonway.capacity.reclaim_insurance import ReclaimInsurance, infer_former_need
from tarragonway.coordinator.gateways import GatewayReports
from tarragonway.coordinator.lease import DutyLease
from tarragonway.core.counters import Counters
from tarragonway.core.errors import InvariantError
from tarragonway.core.ids import ServiceName, ZoneName
from tarragonway.endpoints.endpoint_list import EndpointView, ListedEndpoint
from tarragonway.http1.call import Call, CallClient, CallResponse
from tarragonway.replication import LogDriver
from tarragonway.rollouts import Rollout
from tarragonway.rollouts.store import list_unusable
from tarragonway.routes.model import Configuration, ScalingTraits, Service

CHECK_INTERVAL_S = 0.4
CALL_TIMEOUT_S = 1.0
# An ordered endpoint appears in the platform's list after its cold start and the list's
# own delay. This is the longest delay of the list.
MAX_LIST_DELAY_S = 3.0
# Time for which a kind of endpoints counts as unavailable after a refused order or a
# reclaim.
UNAVAILABLE_ZONE_BACKOFF_S = 2.0
# A smaller need must last this long before endpoints are removed.
SCALE_DOWN_DELAY_S = 10.0
STATUS_OK = 200
STATUS_UNAVAILABLE = 409

_log = structlog.get_logger()

MakeScaleCall = Callable[[str, int, ServiceName, ZoneName, int, bool], Call]


class _Order(msgspec.Struct, frozen=True):
    count: int
    ordered_at: float


class _Plan(msgspec.Struct, frozen=True):
    """Planned and listed numbers of a service's endpoints, and how many it needs."""

    planned: dict[EndpointKind, int]
    listed: dict[EndpointKind, int]
    needed: int


class FleetReconciler:
    """Reconciles the endpoints of scalable services with the planned numbers.

    Parameters
    ----------
    holder : str
        Name of this process in its calls to the platform.
    zones : list of ZoneName
        Availability zones of the deployment.
    driver, lease, gateway_reports, view
        The replicated log, the lease for calls to the platform, the gateways' reports,
        the endpoint list.
    has_current_list : callable
        Returns whether the endpoint list was read in the present leadership.
    read_configuration : callable
        Returns the configuration in force, or None.
    client : CallClient
        Connection to the platform.
    make_call : callable
        Returns the call that orders endpoints.
    counters : Counters
        Receives ``fleet.*`` counters.
    list_rollouts : callable, optional
        Returns the latest rollout of each service.
    """

    def __init__(
        self,
        holder: str,
        zones: list[ZoneName],
        driver: LogDriver,
        lease: DutyLease,
        gateway_reports: GatewayReports,
        view: EndpointView,
        has_current_list: Callable[[], bool],
        read_configuration: Callable[[], Configuration | None],
        client: CallClient,
        make_call: MakeScaleCall,
        counters: Counters,
        list_rollouts: Callable[[], Mapping[ServiceName, Rollout]] = dict,
    ) -> None:
        self._list_rollouts = list_rollouts
        self._holder = holder
        self._zones = zones
        self._driver = driver
        self._lease = lease
        self._gateway_reports = gateway_reports
        self._view = view
        self._has_current_list = has_current_list
        self._read_configuration = read_configuration
        self._client = client
        self._make_call = make_call
        self._counters = counters
        self._policy = FleetPolicy()
        self._orders: dict[tuple[ServiceName, EndpointKind], _Order] = {}
        self._unavailable: dict[tuple[ServiceName, EndpointKind], float] = {}
        self._need_history: dict[ServiceName, list[tuple[float, int]]] = {}
        self._found_needs: dict[ServiceName, tuple[float, int]] = {}
        self._services_with_load: set[ServiceName] = set()
        self._reclaimed_keys: set[str] = set()
        self._unplanned: set[ServiceName] = set()
        self._confirmed_loads = ConfirmedLoads()
        self._insurance = ReclaimInsurance(counters)
        self._capacities = MeasuredCapacities()
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Check and order endpoints until the task is cancelled."""
        while True:
            await self._wait_for_change()
            configuration = self._read_configuration()
            if not self._driver.is_leader:
                self._orders.clear()
                self._need_history.clear()
                self._services_with_load.clear()
                self._confirmed_loads.clear()
                self._found_needs.clear()
            elif configuration is not None and self._knows_endpoints:
                for service in configuration.services:
                    if service.scaling is not None:
                        await self._reconcile(service, service.scaling)

    @property
    def _knows_endpoints(self) -> bool:
        return bool(self._view.rows) and self._has_current_list()

    def notify_endpoints_changed(self) -> None:
        """Request an immediate check, since the endpoint list has changed."""
        self._changed.set()

    async def _wait_for_change(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHECK_INTERVAL_S):
                await self._changed.wait()
        self._changed.clear()

    async def _reconcile(self, service: Service, traits: ScalingTraits) -> None:
        """Send the orders that are due.

        A service that cannot be planned for gets none; the others still do.
        """
        now = asyncio.get_running_loop().time()
        try:
            plan = self._make_plan(service, traits, now)
        except InvariantError:
            raise
        except Exception:
            self._counters.increment("fleet.unplanned")
            if service.name not in self._unplanned:
                self._unplanned.add(service.name)
                _log.exception("endpoints cannot be planned", service=service.name)
            return
        self._unplanned.discard(service.name)
        # Reclaimable endpoints are ordered first, so that on-demand ones are removed
        # only when their replacements serve.
        for kind in sorted(plan.planned, key=lambda k: (not k.reclaimable, k.zone)):
            listed, count = plan.listed.get(kind, 0), plan.planned[kind]
            if self._is_order_due(service.name, kind, count, listed, now):
                await self._send_order(service.name, kind, count, listed, plan.needed)

    def _make_plan(self, service: Service, traits: ScalingTraits, now: float) -> _Plan:
        rows = [r for r in self._view.rows.values() if r.service == service.name]
        rollout = self._list_rollouts().get(service.name)
        counted = _remove_uncounted(rows, rollout)
        counts = count_by_kind(counted)
        self._handle_reclaims(service.name, rows, now)
        if service.name not in self._need_history:
            found = infer_former_need(_remove_uncounted(rows, rollout), self._zones)
            self._found_needs[service.name] = (now, found)
        needed = self._compute_recent_need(service.name, counts, now)
        expected = self._estimate_expected(service.name, traits, counts, now)
        state = FleetState(
            counts,
            expected,
            self._list_unavailable(service.name, True, now),
            self._is_idle(service.name),
            self._list_unavailable(service.name, False, now),
            self._capacities.measure(
                service.name, counted, self._gateway_reports.paces.get_pace
            ),
        )
        if self._gateway_reports.paces.has_paces(service.name):
            insured = self._insurance.compute_insured(service.name, needed, state, now)
            state = msgspec.structs.replace(state, insured=insured)
        planned = plan_fleet(traits, self._zones, needed, state)
        if rollout is not None and rollout.is_in_progress:
            planned = self._keep_ordered(service.name, planned, counts)
        return _Plan(planned, counts, needed)

    def _keep_ordered(
        self,
        service: ServiceName,
        planned: dict[EndpointKind, int],
        listed: dict[EndpointKind, int],
    ) -> dict[EndpointKind, int]:
        """Return a plan with no fewer endpoints of any kind than are ordered.

        The platform replaces the endpoints of a service one by one during a rollout;
        a smaller order would take those that the rollout needs.
        """
        kept = dict(planned)
        for kind in planned.keys() | listed.keys():
            order = self._orders.get((service, kind))
            ordered = listed.get(kind, 0) if order is None else order.count
            kept[kind] = max(planned.get(kind, 0), ordered)
        return kept

    def _compute_recent_need(
        self, service: ServiceName, counts: dict[EndpointKind, int], now: float
    ) -> int:
        """Return the most endpoints needed within the last :data:`SCALE_DOWN_DELAY_S`.

        Until a load has been reported, the operator's own estimate of the need is
        inferred from the endpoints: the number of those found at first that would
        remain after the loss of a zone, or the number of on-demand ones if it is
        larger. A later leader infers the need for which a former one planned instead,
        where endpoints state slowdowns.
        """
        on_demand = sum(n for kind, n in counts.items() if not kind.reclaimable)
        history = self._need_history.get(service)
        if history is None:
            history = [(now, count_after_zone_loss(counts))]
        offered_load = self._measure_load(service, now)
        if offered_load:
            self._services_with_load.add(service)
        if service in self._services_with_load:
            needed = compute_needed_endpoints(offered_load, self._policy)
            history.append((now, needed + self._count_lost(service, needed, now)))
        else:
            history.append((now, max(history[-1][1], on_demand)))
        self._need_history[service] = [
            (at, n) for at, n in history if now - at < SCALE_DOWN_DELAY_S
        ]
        self._use_found_need(service, self._need_history[service])
        return max(count for _, count in self._need_history[service])

    def _use_found_need(
        self, service: ServiceName, history: list[tuple[float, int]]
    ) -> None:
        """Replace the first need of a later leader by that of the former one.

        The reports of most gateways arrive after the first check, and endpoints with a
        notice are no longer counted then.
        """
        found = self._found_needs.get(service)
        if found is None or self._driver.replica.is_first_ready_leader:
            return
        is_paced = self._gateway_reports.paces.has_paces(service)
        if is_paced and history[0][0] == found[0]:
            history[0] = found

    def _measure_load(self, service: ServiceName, now: float) -> float:
        """Return the load to plan for, without the returns of refused requests.

        Where no endpoint states a slowdown, it is the offered load.
        """
        reports = self._gateway_reports
        offered = reports.sum_offered_load(service, now)
        if not reports.paces.has_paces(service):
            return offered
        refused = reports.sum_refused_load(service, now)
        limited = self._confirmed_loads.limit(service, offered, refused, now)
        if limited < offered:
            self._counters.increment("fleet.load_limited")
        return limited

    def _count_lost(self, service: ServiceName, needed: int, now: float) -> int:
        """Return how many endpoints replace what limited endpoints do not take."""
        stated = self._gateway_reports.limits.stated
        limits = [
            stated[row.key]
            for row in self._view.rows.values()
            if row.service == service and not row.leaving and row.key in stated
        ]
        requests_per_s = self._gateway_reports.sum_request_rate(service, now)
        return count_lost_endpoints(limits, requests_per_s, needed)

    def _is_idle(self, service: ServiceName) -> bool:
        """Return whether the service has had no request since the deployment began.

        Only the group's first leader can return True, since a later one has no record
        of earlier requests.
        """
        return (
            service not in self._services_with_load
            and self._driver.replica.is_first_ready_leader
        )

    def _handle_reclaims(
        self, service: ServiceName, rows: list[ListedEndpoint], now: float
    ) -> None:
        """Remove the orders of reclaimed kinds, and mark their zones as unavailable.

        A reclaim cancels the kind's order, and the platform rarely has other endpoints
        of the kind at that moment.
        """
        for row in rows:
            reclaimed = row.reclaimable and row.leaving and row.leaves_s >= 0
            if reclaimed and row.key not in self._reclaimed_keys:
                kind = EndpointKind(row.zone, True)
                self._orders.pop((service, kind), None)
                self._unavailable[service, kind] = now + UNAVAILABLE_ZONE_BACKOFF_S
                self._insurance.record_notice(service, now)
                self._reclaimed_keys.add(row.key)
        self._reclaimed_keys &= set(self._view.rows)

    def _estimate_expected(
        self,
        service: ServiceName,
        traits: ScalingTraits,
        counts: dict[EndpointKind, int],
        now: float,
    ) -> dict[EndpointKind, int]:
        """Return the endpoints of each kind once the pending orders have completed."""
        expected = dict(counts)
        for (name, kind), order in self._orders.items():
            if (
                name == service
                and now - order.ordered_at < traits.boot_s + MAX_LIST_DELAY_S
            ):
                expected[kind] = order.count
        return expected

    def _list_unavailable(
        self, service: ServiceName, reclaimable: bool, now: float
    ) -> frozenset[ZoneName]:
        """Return the zones that have no endpoints of a price model to order."""
        return frozenset(
            kind.zone
            for (name, kind), until in self._unavailable.items()
            if name == service and kind.reclaimable is reclaimable and until > now
        )

    def _is_order_due(
        self,
        service: ServiceName,
        kind: EndpointKind,
        count: int,
        listed: int,
        now: float,
    ) -> bool:
        """Return whether the count is new, or the last order was not met in time."""
        if self._unavailable.get((service, kind), float("-inf")) > now:
            return False
        last = self._orders.get((service, kind))
        if last is None:
            return count != listed
        if last.count != count:
            return True
        boot_s = self._find_boot_s(service)
        return listed != count and now - last.ordered_at > boot_s + MAX_LIST_DELAY_S

    def _find_boot_s(self, service: ServiceName) -> float:
        configuration = self._read_configuration()
        for candidate in configuration.services if configuration else ():
            if candidate.name == service and candidate.scaling is not None:
                return candidate.scaling.boot_s
        return 0.0

    async def _send_order(
        self,
        service: ServiceName,
        kind: EndpointKind,
        count: int,
        listed: int,
        needed: int,
    ) -> None:
        token = await self._lease.confirm()
        if token is None:
            return
        call = self._make_call(
            self._holder, token.number, service, kind.zone, count, kind.reclaimable
        )
        answer = await self._client.call(call, CALL_TIMEOUT_S, token.is_valid)
        now = asyncio.get_running_loop().time()
        status = answer.status if isinstance(answer, CallResponse) else 0
        self._counters.increment(f"fleet.orders.{status}")
        _log.info(
            "call to order endpoints ended",
            service=service,
            zone=kind.zone,
            reclaimable=kind.reclaimable,
            count=count,
            listed=listed,
            needed=needed,
            fence=token.number,
            answer=repr(answer)[:120],
        )
        if status == STATUS_OK:
            self._orders[service, kind] = _Order(count, now)
        elif status == STATUS_UNAVAILABLE:
            self._unavailable[service, kind] = now + UNAVAILABLE_ZONE_BACKOFF_S


def _remove_uncounted(
    rows: Iterable[ListedEndpoint], rollout: Rollout | None
) -> list[ListedEndpoint]:
    """Return the endpoints that capacity ordering counts.

    A rollout's own endpoints come in addition to those that are ordered, and those of
    versions that take no requests any more are about to be stopped.
    """
    uncounted = frozenset() if rollout is None else list_unusable(rollout)
    if rollout is not None and rollout.is_in_progress:
        uncounted |= {rollout.order.version}
    return [row for row in rows if row.version not in uncounted]
