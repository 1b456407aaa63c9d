"""Gateway process: sockets, tasks, drain, readiness and the endpoint list."""

import argparse
import asyncio
import random
import secrets
from typing import Any

import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.ids import ProcessName
from tarragonway.endpoints.reader import ListReader, ListReadFailed
from tarragonway.gateway.admission import Admission
from tarragonway.gateway.choice import EndpointChooser
from tarragonway.gateway.control_link import ControlLink
from tarragonway.gateway.forward import Forwarder
from tarragonway.gateway.offered_load import OfferedLoadMeter
from tarragonway.gateway.state import GatewayState
from tarragonway.gateway.usage import UsageCounter
from tarragonway.http1 import CallClient, HttpServer, Request, ResponseWriter
from tarragonway.node.metrics import listen_for_metrics, make_metrics_server
from tarragonway.node.settings import InstanceLimits, NodeSettings
from tarragonway.pace import PaceTracker
from tarragonway.platform import configuration, listing, names, requests
from tarragonway.process.tasks import BackgroundTasks
from tarragonway.retries.budget import RetryBudget
from tarragonway.rollouts.traffic import RolloutTraffic
from tarragonway.routes.model import ConnectionLimits
from tarragonway.routing.engine_speed import EngineSpeeds
from tarragonway.routing.loads import LoadTracker

# Longest age of the leader's endpoint list, as a fraction of the drain time
# (``bounds.drain_ms``), within which leaving endpoints must stop receiving requests.
# Once the list is older, the gateway reads the platform's list itself.
MAX_LIST_AGE_FRACTION = 0.5
LIST_CHECK_INTERVAL_S = 0.3
# Fraction of the platform's call rate that the list reads of all gateways may use.
LIST_CALLS_FRACTION = 0.6
# Fraction of the longest list age for which a starting gateway waits for the leader's
# list before it reads the platform's.
LIST_START_WAIT_FRACTION = 0.5
MAX_LIST_READ_DELAY_S = 30.0
# Fraction of the retries allowed by the settings that the gateways use; the rest is a
# safety margin.
RETRY_BUDGET_FRACTION = 0.7
STOP_MARGIN_S = 0.6
# Part of ``bounds.rollback_ms`` for which streams go on at a version that is rolled
# back. The leader needs the rest to find that the version is bad.
RESUME_FRACTION = 0.5
# Time for which arriving requests are still served after the drain has begun: this
# fraction of the grace period, so that the rest suffices to answer them.
INTAKE_FRACTION = 0.375
MAX_INTAKE_S = 3.0
IDLE_POLL_INTERVAL_S = 0.05

_log = structlog.get_logger()


class GatewayProcess(BackgroundTasks):
    """Gateway that forwards callers' requests to endpoints.

    Parameters
    ----------
    settings : NodeSettings
        Validated settings.
    """

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__()
        self._settings = settings
        self._counters = Counters()
        bounds = settings.bounds
        rollouts = RolloutTraffic(
            bounds.rollback_ms / 1000 * RESUME_FRACTION, self._counters
        )
        self._state = GatewayState(
            bounds.drain_ms / 1000, rollouts, settings.limits != InstanceLimits()
        )
        self._usage = UsageCounter(bounds.report_window_s)
        speeds = EngineSpeeds()
        paces = PaceTracker()
        self._chooser = EndpointChooser(LoadTracker(), speeds, random.Random(), paces)
        self._offered_load = OfferedLoadMeter(speeds)
        # Usage counts are cumulative and start at zero in each process, so each one
        # reports under a unique name.
        name = ProcessName(f"{settings.name}#{secrets.token_hex(3)}")
        self._link = ControlLink(
            name,
            settings.seed_peers,
            self._state,
            self._usage,
            self._offered_load,
            speeds,
            configuration.decode_configuration,
            self._counters,
            paces,
        )
        self._forwarder = Forwarder(
            self._state,
            Admission(self._state, self._link.guard, self._link.quota, self._counters),
            self._usage,
            self._offered_load,
            speeds,
            self._chooser,
            self._make_budget,
            self._link,
            self._link.guard,
            self._link.limit_guard,
            self._link.origins,
            requests,
            self._counters,
            settings.hedging,
        )
        self._reader = ListReader(
            CallClient(settings.platform.address),
            listing.make_list_call,
            listing.decode_page,
            self._counters,
        )
        self._callers = HttpServer(self._forwarder.handle, self._read_limits)
        self._readiness = HttpServer(self._answer_readiness, ConnectionLimits)
        self._logged_ready: bool | None = None
        self._metrics = make_metrics_server(self._counters, self.make_dump)

    @classmethod
    def from_config(
        cls, settings: NodeSettings, arguments: argparse.Namespace
    ) -> "GatewayProcess":
        """Create the process; an event loop must be running."""
        return cls(settings)

    async def start(self) -> None:
        """Start the background tasks and listen on all addresses."""
        listen = self._settings.listen
        self._start_permanent_task(self._link.run())
        self._start_permanent_task(self._refresh_list())
        await self._readiness.listen(listen.readiness)
        await self._callers.listen(listen.callers)
        if listen.metrics:
            self._start_task(listen_for_metrics(self._metrics, listen.metrics))

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings; only the seeds can change at run time."""
        self._link.set_seeds(settings.seed_peers)

    async def drain(self) -> None:
        """Report unready, then wait until all requests have ended.

        Requests that arrive early in the grace period are still served, later ones are
        refused.
        """
        loop = asyncio.get_running_loop()
        intake_s = compute_intake_s(self._settings.bounds.grace_s)
        self._callers.announce_close()
        self._state.intake_ends_at = loop.time() + intake_s
        await asyncio.sleep(intake_s)
        while True:
            self._callers.close_idle()
            if not self._callers.active_requests:
                return
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)

    async def hand_over(self) -> None:
        """Do nothing, since callers resume their resumable streams elsewhere."""

    async def close(self) -> None:
        """Close links and sockets and end all tasks."""
        await self._link.close()
        self._callers.close()
        self._readiness.close()
        await self._end_tasks()

    def make_dump(self) -> dict[str, Any]:
        """Return the state of the process for the metrics server."""
        loop = asyncio.get_running_loop()
        return {
            "process": self._settings.name,
            "revision": self._state.revision,
            "ready": self._is_ready(),
            "busy": self._callers.active_requests,
            "gateways": self._state.gateways,
            "endpoints": list(self._state.endpoints.rows.values()),
            "list_age_s": loop.time() - self._state.list_current_at,
            "rollouts": self._state.rollouts.make_dump(loop.time()),
            "hedging": self._forwarder.make_hedging_dump(),
            "control": self._link.make_dump(),
            "counters": self._counters.snapshot(),
        }

    def _read_limits(self) -> ConnectionLimits:
        table = self._state.table
        return table.configuration.limits if table else ConnectionLimits()

    def _make_budget(self) -> RetryBudget:
        reserve = self._compute_retry_reserve()
        return RetryBudget(
            self._settings.bounds.retry_ratio * RETRY_BUDGET_FRACTION,
            reserve,
            reserve,
            self._read_retry_reserve,
        )

    def _read_retry_reserve(self) -> float | None:
        """Return the reserve for the stated part, None if all parts are equal."""
        return self._compute_retry_reserve() if self._state.stated_part else None

    def _compute_retry_reserve(self) -> float:
        slack = self._settings.bounds.retry_slack * RETRY_BUDGET_FRACTION
        return max(1.0, self._state.compute_part(slack))

    def _is_ready(self) -> bool:
        return self._state.is_complete and self._state.intake_ends_at is None

    async def _answer_readiness(self, request: Request, writer: ResponseWriter) -> None:
        is_known = request.target.partition("?")[0] == names.READY_PATH
        ready = self._is_ready()
        if ready is not self._logged_ready:
            self._logged_ready = ready
            _log.info(
                "readiness changed",
                ready=ready,
                revision=self._state.revision,
                endpoints=len(self._state.endpoints.rows),
                stopping=self._state.intake_ends_at is not None,
            )
        status = 404 if not is_known else 200 if ready else 503
        await writer.send(status, [])

    async def _refresh_list(self) -> None:
        """Read the platform's list whenever the leader's list becomes too old."""
        loop = asyncio.get_running_loop()
        max_age_s = self._state.drain_s * MAX_LIST_AGE_FRACTION
        confirmed_at = loop.time() - max_age_s * (1 - LIST_START_WAIT_FRACTION)
        rate_limited = 0
        while True:
            await asyncio.sleep(LIST_CHECK_INTERVAL_S)
            self._forget_removed()
            confirmed_at = max(confirmed_at, self._state.list_current_at)
            if loop.time() - confirmed_at < max_age_s:
                rate_limited = 0
                continue
            rate_limited = rate_limited + 1 if await self._read_list() else 0
            await asyncio.sleep(self._draw_list_delay(rate_limited))

    async def _read_list(self) -> bool:
        """Read the platform's list; return whether the platform rate limited it."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        rows = await self._reader.read()
        if isinstance(rows, ListReadFailed):
            return rows.rate_limited
        changed, removed = self._state.endpoints.apply_full_list(rows)
        self._state.list_current_at = started
        self._state.notify_if_complete()
        self._link.record_own_list_read()
        _log.info(
            "endpoint list read from the platform",
            changed=len(changed),
            gone=len(removed),
        )
        return False

    def _draw_list_delay(self, rate_limited: int) -> float:
        """Return a random delay that keeps all gateways together within the rate.

        The rate is the fraction :data:`LIST_CALLS_FRACTION` of the platform's. The
        number of gateways may be unknown, so the delay doubles with each consecutive
        read that was rate limited.
        """
        calls = self._state.gateways * self._reader.pages
        rate = self._settings.platform.calls_per_s * LIST_CALLS_FRACTION
        delay_s = min(MAX_LIST_READ_DELAY_S, calls / rate * 2**rate_limited)
        return delay_s * random.uniform(0.7, 1.3)

    def _forget_removed(self) -> None:
        rows = self._state.endpoints.rows
        self._chooser.forget_unlisted(set(rows))
        self._forwarder.forget_unlisted(rows)
        self._link.limit_guard.retain(rows)


def compute_intake_s(grace_s: float) -> float:
    """Return for how long a gateway that stops takes requests, in seconds.

    Examples
    --------
    >>> [compute_intake_s(grace_s) for grace_s in (2.0, 8.0, 60.0)]
    [0.75, 3.0, 3.0]
    """
    return min(MAX_INTAKE_S, INTAKE_FRACTION * grace_s)
