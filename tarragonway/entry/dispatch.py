"""Assignment of requests to endpoints, with a fair queue for those that wait."""

import asyncio
import random

import msgspec

from tarragonway.core.counters import Counters
from tarragonway.core.ids import (
    AccountId,
    EndpointId,
    ProcessName,
    ServiceName,
    ZoneName,
)
from tarragonway.core.outcomes import Refusal, RefusalReason
from tarragonway.endpoints import Endpoint, EndpointState
from tarragonway.engines import EngineClient
from tarragonway.limits.queue import FairQueue, QueueEntry
from tarragonway.lists import ServiceKind
from tarragonway.routing import (
    Candidate,
    LoadTracker,
    RoutingPolicy,
    select_endpoint,
    select_subset,
)
from tarragonway.routing.notices import EndpointNotices
from tarragonway.watch.client import WatchClient

# Requests of this priority or a lower number count as urgent.
MAX_URGENT_PRIORITY = 2
LOAD_POLL_INTERVAL_S = 1.0
QUEUE_CHECK_INTERVAL_S = 0.05


class Demand(msgspec.Struct, frozen=True):
    """What one request requires of an endpoint.

    ``weight`` is the client account's weight in the fair queue, ``deadline`` a time of
    the event loop's clock in seconds, and ``prefix`` the hash of the prompt's prefix,
    empty for a call to a plain service. ``avoid`` contains endpoints that are used only
    if there is no other.
    """

    service: ServiceName
    account: AccountId
    priority: int
    weight: float
    deadline: float
    prefix: str = ""
    avoid: frozenset[EndpointId] = frozenset()


class _Waiter(msgspec.Struct, frozen=True):
    demand: Demand
    future: asyncio.Future


class Dispatcher:
    """Assigns an endpoint to each request, or queues it until one has a free slot.

    Parameters
    ----------
    own : ProcessName
        This process.
    zone : ZoneName
        Its availability zone.
    watch : WatchClient
        Source of services and endpoints.
    engines : EngineClient
        Client that reads the engines' load.
    queue_length : int
        Maximum number of requests that wait for one service.
    counters : Counters
        Receives ``dispatch.*`` counters.
    """

    def __init__(
        self,
        own: ProcessName,
        zone: ZoneName,
        watch: WatchClient,
        engines: EngineClient,
        queue_length: int,
        counters: Counters,
    ) -> None:
        self._own = own
        self._zone = zone
        self._watch = watch
        self._engines = engines
        self._queue_length = queue_length
        self._counters = counters
        self._policy = RoutingPolicy()
        self._random = random.Random()
        self._load_tracker = LoadTracker()
        self._queues: dict[ServiceName, FairQueue[_Waiter]] = {}
        self._known_leaving: set[EndpointId] = set()
        self._notices = EndpointNotices()
        self._subsets: dict[ServiceName, list[Endpoint]] = {}
        self._queue_changed = asyncio.Event()

    async def run(self) -> None:
        """Assign endpoints to queued requests until the task is cancelled."""
        while True:
            try:
                async with asyncio.timeout(QUEUE_CHECK_INTERVAL_S):
                    await self._queue_changed.wait()
            except TimeoutError:
                if not any(self._queues.values()):
                    continue
            self._queue_changed.clear()
            for service, queue in self._queues.items():
                self._serve_queue(service, queue)

    async def poll_loads(self) -> None:
        """Read the load of the model endpoints in use until the task is cancelled."""
        while True:
            endpoints = [e for rows in self._subsets.values() for e in rows]
            reports = [self._read_load(endpoint) for endpoint in endpoints]
            await asyncio.gather(*reports)
            self._queue_changed.set()
            await asyncio.sleep(LOAD_POLL_INTERVAL_S)

    def refresh(self) -> None:
        """Update the endpoints in use after a change of the view."""
        rows = self._watch.view.endpoints
        self._load_tracker.discard_unlisted(set(rows))
        self._known_leaving &= set(rows)
        self._notices.retain(rows)
        self._subsets = {}
        for service in self._watch.lists.services:
            active = [e for e in rows.values() if e.service == service]
            self._subsets[service] = select_subset(self._own, active)
        self._queue_changed.set()

    def record_latency(self, endpoint: EndpointId, seconds: float) -> None:
        """Record a stream's mean inter-token latency on an endpoint, in seconds."""
        self._load_tracker.record_latency(endpoint, seconds)

    def record_leaving(self, endpoint: EndpointId) -> None:
        """Record that an endpoint refused a request because it is leaving."""
        self._known_leaving.add(endpoint)
        self._counters.increment("dispatch.refused_leaving")

    def record_pause(self, endpoint: EndpointId, pause_s: float) -> None:
        """Record that an endpoint wants no request for ``pause_s`` seconds."""
        if pause_s > 0:
            now = asyncio.get_running_loop().time()
            self._notices.record_pause(endpoint, pause_s, now)
            self._counters.increment("dispatch.paused")

    def is_leaving(self, endpoint: EndpointId) -> bool:
        """Return whether an endpoint is leaving or removed."""
        row = self._watch.view.endpoints.get(endpoint)
        leaving_or_removed = row is None or row.state is EndpointState.LEAVING
        return leaving_or_removed or endpoint in self._known_leaving

    async def acquire(self, demand: Demand) -> Endpoint | Refusal:
        """Return an endpoint with a free slot, and count the request as running there.

        The caller must call :meth:`release` when the request has ended.

        Returns
        -------
        Endpoint or Refusal
            A refusal if the queue is full or the deadline passes first.
        """
        queue = self._queues.setdefault(demand.service, FairQueue())
        if not queue:
            endpoint = self._select_endpoint(demand)
            if endpoint is not None:
                return endpoint
        loop = asyncio.get_running_loop()
        if len(queue) >= self._queue_length or demand.deadline <= loop.time():
            return self._refuse(demand)
        waiter = _Waiter(demand, loop.create_future())
        queue.push(
            QueueEntry(
                demand.account,
                demand.priority,
                demand.weight,
                demand.deadline,
                waiter,
            )
        )
        self._counters.increment("dispatch.queued")
        self._queue_changed.set()
        try:
            return await asyncio.wait_for(waiter.future, demand.deadline - loop.time())
        except TimeoutError:
            return self._refuse(demand)
        except asyncio.CancelledError:
            # An endpoint may have been assigned just before the cancellation.
            if waiter.future.done() and not waiter.future.cancelled():
                self.release(waiter.future.result().id)
            raise

    def release(self, endpoint: EndpointId, failed: bool = False) -> None:
        """Record that a request has ended at an endpoint."""
        now = asyncio.get_running_loop().time()
        self._load_tracker.record_end(endpoint, failed, now)
        self._queue_changed.set()

    def make_dump(self) -> dict[str, object]:
        """Return queue lengths, expected loads and endpoints known to be leaving."""
        return {
            "queued": {name: len(queue) for name, queue in self._queues.items()},
            "expected": self._load_tracker.make_dump(),
            "refused": sorted(self._known_leaving),
        }

    def _serve_queue(self, service: ServiceName, queue: FairQueue[_Waiter]) -> None:
        now = asyncio.get_running_loop().time()
        while queue and self._has_free_slot(service):
            entry = queue.pop(now)
            if entry is None:
                return
            waiter = entry.item
            if waiter.future.done():
                continue
            endpoint = self._select_endpoint(waiter.demand)
            if endpoint is None:
                queue.push(entry)
                return
            waiter.future.set_result(endpoint)

    def _has_free_slot(self, service: ServiceName) -> bool:
        candidates = self._list_candidates(service, frozenset())
        factor = self._policy.urgent_overcommit
        return any(c.expected < c.slots * factor for c in candidates)

    def _select_endpoint(self, demand: Demand) -> Endpoint | None:
        candidates = self._list_candidates(demand.service, demand.avoid)
        if not candidates:
            candidates = self._list_candidates(demand.service, frozenset())
        chosen = select_endpoint(
            candidates,
            demand.prefix,
            self._zone,
            demand.priority <= MAX_URGENT_PRIORITY,
            self._policy,
            self._random,
        )
        if chosen is None:
            return None
        self._load_tracker.record_start(chosen)
        return self._watch.view.endpoints[chosen]

    def _list_candidates(
        self, service: ServiceName, avoid: frozenset[EndpointId]
    ) -> list[Candidate]:
        listed = self._watch.lists.services.get(service)
        if listed is None:
            return []
        now = asyncio.get_running_loop().time()
        usable = [
            endpoint
            for endpoint in self._subsets.get(service, [])
            if not self.is_leaving(endpoint.id)
            and endpoint.id not in avoid
            and self._notices.get_pause(endpoint.id, now) <= 0
        ]
        speeds = self._load_tracker.compute_speeds([endpoint.id for endpoint in usable])
        return [
            Candidate(
                endpoint.id,
                endpoint.zone,
                self._load_tracker.get_expected(endpoint.id),
                listed.endpoint_slots,
                speed,
                self._load_tracker.is_ejected(endpoint.id, now),
            )
            for endpoint, speed in zip(usable, speeds, strict=True)
        ]

    def _refuse(self, demand: Demand) -> Refusal:
        self._counters.increment("dispatch.refused")
        if not self._list_candidates(demand.service, frozenset()):
            detail = f"service {demand.service} has no endpoint"
            return Refusal(RefusalReason.NO_ENDPOINT, detail, 5.0)
        detail = f"service {demand.service} has no free slot within the deadline"
        return Refusal(RefusalReason.DEADLINE, detail, 2.0)

    async def _read_load(self, endpoint: Endpoint) -> None:
        listed = self._watch.lists.services.get(endpoint.service)
        if listed is None or listed.kind is not ServiceKind.MODEL:
            return
        load = await self._engines.read_load(endpoint)
        if load is not None:
            self._load_tracker.record_report(endpoint.id, load)
