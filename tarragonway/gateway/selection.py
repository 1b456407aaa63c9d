"""Selection of an endpoint within connection limits and request limits."""

import asyncio
import math
from collections.abc import Callable, Iterable

from tarragonway.core.clock import read_monotonic
from tarragonway.core.counters import Counters
from tarragonway.core.ids import AccountId, AttemptId, ServiceName
from tarragonway.endpoints.endpoint_list import ListedEndpoint
from tarragonway.gateway.attempt import (
    Attempt,
    Limited,
    Paused,
    VersionUnregistered,
)
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.delay_checks import is_overloaded
from tarragonway.gateway.estimates import Choice
from tarragonway.gateway.limit_guard import LimitGuard
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.sender import MAX_IDLE_REPEATABLE_S
from tarragonway.gateway.state import GatewayState
from tarragonway.http1 import ConnectionPool
from tarragonway.limits.request_limits import Permit, PermitDenied
from tarragonway.limits.request_weights import RequestWeights
from tarragonway.rollouts.traffic import RoutedRequest
from tarragonway.routing.notices import EndpointNotices

# Requests that ask for a permit, for each permit that limited endpoints leave.
PERMIT_DEMAND_FACTOR = 1.5
# Connections that a gateway may use to each endpoint, even if its part of the service's
# limit is smaller.
MIN_CONNECTIONS = 4
# Part of the drain time, counted from when this gateway has first seen an endpoint as
# leaving, in which streams of its version may go on there. The gateway may see it late
# by the longest age of its list.
LEAVING_USE_FRACTION = 0.4


class EndpointSelector:
    """Selects the endpoint for each send of a request.

    Parameters
    ----------
    state : GatewayState
        Configuration and endpoints in force.
    chooser : EndpointChooser
        Chooses among endpoints by their estimated delay.
    pool : ConnectionPool
        Source of the number of connections in use.
    guard : LimitGuard
        Request limits of endpoints, and permits for them.
    notices : EndpointNotices
        Pauses and refusals of endpoints.
    offered_load : OfferedLoadMeter
        Source of request rates and of the work of requests.
    list_beginnable : callable
        Returns those of a service's endpoints at which an attempt's resumable stream
        may begin.
    counters : Counters
        Receives ``connection.preferred``.
    """

    def __init__(
        self,
        state: GatewayState,
        chooser: EndpointChooser,
        pool: ConnectionPool,
        guard: LimitGuard,
        notices: EndpointNotices,
        offered_load: OfferedLoadMeter,
        list_beginnable: Callable[
            [list[ListedEndpoint], AccountId, AttemptId], list[ListedEndpoint]
        ],
        counters: Counters,
    ) -> None:
        self._state = state
        self._chooser = chooser
        self._pool = pool
        self._guard = guard
        self._notices = notices
        self._offered_load = offered_load
        self._list_beginnable = list_beginnable
        self._weights: dict[ServiceName, RequestWeights] = {}
        self._counters = counters

    def record_request(self, service: ServiceName, work_s: float) -> None:
        """Record the estimated work of a request, in seconds."""
        self._weights.setdefault(service, RequestWeights()).record(work_s)

    async def select(
        self, attempt: Attempt, work_s: float
    ) -> Choice | Limited | Paused | VersionUnregistered | None:
        """Return an endpoint that may be sent the request, or why there is none.

        A limited endpoint needs a permit. If it gets none, the request goes to one
        without a limit.

        """
        while True:
            choice = await self._select(attempt, work_s)
            if not self._must_select_again(attempt, choice):
                return choice

    def _must_select_again(
        self,
        attempt: Attempt,
        choice: Choice | Limited | Paused | VersionUnregistered | None,
    ) -> bool:
        """Return whether a rollout calls for another choice.

        A request that the new version cannot take now goes to others. A choice that is
        not allowed any more after the wait for a permit is made again: at a share of 1
        the gateway has reported that it sends nothing to old endpoints.
        """
        if attempt.routed is None:
            return False
        now = asyncio.get_running_loop().time()
        if isinstance(choice, Choice) and (
            attempt.tried or not is_overloaded(attempt, choice, now)
        ):
            return self._guard.has_limits and not self._is_allowed(attempt, choice)
        return self._state.rollouts.give_up_new(attempt.routed, now)

    async def _select(
        self, attempt: Attempt, work_s: float
    ) -> Choice | Limited | Paused | VersionUnregistered | None:
        rows = self._list_usable(attempt)
        if rows and attempt.origin is None and attempt.route.resumable:
            facts = attempt.facts
            rows = self._list_beginnable(rows, attempt.account_id, facts.attempt)
            if not rows:
                return VersionUnregistered()
        now = asyncio.get_running_loop().time()
        pauses_s = [self._notices.get_pause(row.key, now) for row in rows]
        if rows and min(pauses_s) > 0:
            return Paused(min(pauses_s))
        rows = [row for row, s in zip(rows, pauses_s, strict=True) if s <= 0]
        if not self._guard.has_limits:
            return self._choose_among(attempt, rows)
        free = [row for row in rows if self._guard.find_limit(row.key) is None]
        limited = [row for row in rows if self._guard.find_limit(row.key) is not None]
        open_rows = [row for row in limited if self._guard.get_wait(row.key, now) <= 0]
        has_free = any(not self._chooser.is_unhealthy(row.key, now) for row in free)
        if has_free and not self._deserves_permit(attempt.service, work_s, limited):
            open_rows = []
        choice = self._choose_among(attempt, free + open_rows)
        if choice is None and limited:
            return Limited(min(self._guard.get_wait(row.key, now) for row in limited))
        if choice is None or self._guard.find_limit(choice.endpoint.key) is None:
            return choice
        others = [row for row in open_rows if row != choice.endpoint and not has_free]
        candidates = [choice.endpoint, *others]
        match await self._guard.request_permit([row.key for row in candidates]):
            case Permit(key):
                permitted = [row for row in candidates if row.key == key]
                return self._choose_among(attempt, permitted)
            case PermitDenied(_, return_s):
                return self._choose_among(attempt, free) or Limited(return_s)

    def select_among(
        self, attempt: Attempt, candidates: list[ListedEndpoint]
    ) -> Choice | None:
        """Return one of a few endpoints of the service by the rules of all sends.

        It is None if none may be sent the request now. Request limits and open
        connections are not considered.
        """
        now = asyncio.get_running_loop().time()
        allowed: Iterable[ListedEndpoint] = candidates
        if self._state.rollouts.restricts(attempt.service):
            allowed = self._list_allowed(attempt, candidates)
        limit = self._compute_connection_limit(attempt.service)
        rows = [
            row
            for row in allowed
            if not row.leaving
            and row.key not in attempt.tried
            and self._pool.count_used(row.key) < limit
            and self._notices.get_pause(row.key, now) <= 0
            and not self._notices.backs_off(row.key, now)
        ]
        if rows and attempt.route.resumable:
            facts = attempt.facts
            rows = self._list_beginnable(rows, attempt.account_id, facts.attempt)
        if not rows:
            return None
        # Without an objective, the least delay decides alone.
        return self._chooser.choose(rows, attempt.service, attempt.facts.prompt, now)

    def find_common_pause(self, service: ServiceName) -> Paused | None:
        """Return when the first endpoint takes requests again, if none does now."""
        now = asyncio.get_running_loop().time()
        pauses_s = [
            self._notices.get_pause(row.key, now)
            for row in self._state.endpoints.rows.values()
            if row.service == service and not row.leaving
        ]
        return Paused(min(pauses_s)) if pauses_s and min(pauses_s) > 0 else None

    def _deserves_permit(
        self, service: ServiceName, work_s: float, limited: list[ListedEndpoint]
    ) -> bool:
        """Return whether the request has as much work as permits are few.

        The permits of all limited endpoints are compared with the requests of all
        gateways, taken as equal to this one's.
        """
        own_rate = self._offered_load.request_rates.get(service, 0.0)
        requests_per_s = own_rate * self._state.gateways
        weights = self._weights.get(service)
        if requests_per_s <= 0 or weights is None:
            return True
        limits = (self._guard.find_limit(row.key) or 0.0 for row in limited)
        fraction = PERMIT_DEMAND_FACTOR * sum(limits) / requests_per_s
        return weights.is_among_heaviest(work_s, fraction)

    def _list_usable(self, attempt: Attempt) -> list[ListedEndpoint]:
        """Return the endpoints that may be sent the request now.

        Endpoints that were tried, or to which too many connections are in use, are left
        out. A stream that has begun goes on only at the version that began it. If no
        other endpoint of that version is left, it also goes on at healthy ones that
        broke off an answer, which may be due to a single connection, and else at
        leaving ones.
        """
        limit = self._compute_connection_limit(attempt.service)
        origin = attempt.origin
        rows = [
            row
            for row in self._list_allowed(attempt, self._state.endpoints.rows.values())
            if row.service == attempt.service
            and (origin is None or origin.matches(row))
            and (row.key not in attempt.tried or row.key in attempt.broken)
            and self._pool.count_used(row.key) < limit
        ]
        active = [row for row in rows if not row.leaving]
        untried = [row for row in active if row.key not in attempt.tried]
        if untried or origin is None:
            return untried
        now = asyncio.get_running_loop().time()
        healthy = [
            row for row in active if not self._chooser.is_unhealthy(row.key, now)
        ]
        return healthy or [
            row
            for row in rows
            if row.key not in attempt.tried and self._still_takes_streams(row)
        ]

    def _list_allowed(
        self, attempt: Attempt, rows: Iterable[ListedEndpoint]
    ) -> Iterable[ListedEndpoint]:
        """Return the endpoints that no rollout keeps from the request."""
        rollouts = self._state.rollouts
        if not rollouts.restricts(attempt.service):
            return rows
        if attempt.routed is None:
            attempt.routed = RoutedRequest(
                attempt.service, attempt.route.name, attempt.tried
            )
        resumed = attempt.origin.version if attempt.origin is not None else None
        now = asyncio.get_running_loop().time()
        return rollouts.list_allowed(rows, attempt.routed, resumed, now)

    def _is_allowed(self, attempt: Attempt, choice: Choice) -> bool:
        return any(
            row.key == choice.endpoint.key
            for row in self._list_allowed(attempt, self._state.endpoints.rows.values())
        )

    def _still_takes_streams(self, row: ListedEndpoint) -> bool:
        """Return whether a leaving endpoint has enough time to go on with a stream."""
        since = self._state.endpoints.leaving_since.get(row.key)
        use_s = self._state.drain_s * LEAVING_USE_FRACTION
        return since is not None and read_monotonic() - since < use_s

    def _choose_among(
        self, attempt: Attempt, rows: list[ListedEndpoint]
    ) -> Choice | None:
        """Choose an endpoint; those that have just refused requests are the last."""
        now = asyncio.get_running_loop().time()
        connected = self._list_connected(attempt, rows)
        ready = [row for row in rows if not self._notices.backs_off(row.key, now)]
        has_healthy = any(not self._chooser.is_unhealthy(row.key, now) for row in ready)
        choice = self._chooser.choose(
            ready if has_healthy else rows,
            attempt.service,
            attempt.facts.prompt,
            now,
            attempt.route.latency_objective_s * 1000,
            connected,
        )
        if choice is not None and choice.endpoint.key in connected:
            self._counters.increment("connection.preferred")
        return choice

    def _list_connected(
        self, attempt: Attempt, rows: list[ListedEndpoint]
    ) -> list[str]:
        """Return the endpoints whose idle connections the request should prefer."""
        route = attempt.route
        if not route.is_repeatable or not route.latency_objective_s or len(rows) < 2:
            return []
        if not self._chooser.paces.has_paces(attempt.service):
            return []
        return self._pool.list_idle(MAX_IDLE_REPEATABLE_S)

    def _compute_connection_limit(self, service: ServiceName) -> float:
        """Return how many connections this gateway may use to each endpoint.

        The service's limit is divided among all gateways, but each may use a few
        connections in any case. Without a limit, the result is infinite.
        """
        table = self._state.table
        known = table.services.get(service) if table else None
        if known is None or not known.max_connections:
            return math.inf
        own_part = self._state.compute_part(known.max_connections)
        return max(MIN_CONNECTIONS, own_part)
