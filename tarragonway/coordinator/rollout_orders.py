"""Operators' calls that begin and read rollouts."""

from collections.abc import Callable

import msgspec
import structlog

from tarragonway.coordinator.leader_calls import JSON_HEADERS, LeaderCalls
from tarragonway.coordinator.machine import CoordinatorMachine
from tarragonway.core.clock import WallClock
from tarragonway.core.counters import Counters
from tarragonway.core.ids import ServiceName
from tarragonway.http1.response import Request, ResponseWriter
from tarragonway.replication import LogDriver
from tarragonway.rollouts import InvalidOrderError, RolloutOrder
from tarragonway.rollouts.calls import RolloutCalls
from tarragonway.rollouts.store import BeginRollout, RolloutAccepted, RolloutConflict
from tarragonway.routes.model import Configuration

# The same order counts as a repeat for this many times the acknowledgement's bound.
REPEAT_FACTOR = 2

_log = structlog.get_logger()


class RolloutOrderInterface:
    """Answers the calls on the leader, and redirects them on other members.

    Parameters
    ----------
    driver, machine, clock
        The replicated log, its state machine, and the wall clock.
    read_configuration : callable
        Returns the configuration in force, or None.
    ack_s : float
        Time in seconds within which operators expect an order's acknowledgement.
    form : RolloutCalls
        The platform's form of the calls.
    calls : LeaderCalls
        Confirms this process's leadership.
    counters : Counters
        Receives ``rollouts.*`` counters.
    """

    def __init__(
        self,
        driver: LogDriver,
        machine: CoordinatorMachine,
        clock: WallClock,
        read_configuration: Callable[[], Configuration | None],
        ack_s: float,
        form: RolloutCalls,
        calls: LeaderCalls,
        counters: Counters,
    ) -> None:
        self._driver = driver
        self._machine = machine
        self._clock = clock
        self._read_configuration = read_configuration
        self._repeat_s = REPEAT_FACTOR * ack_s
        self._form = form
        self._calls = calls
        self._counters = counters

    async def handle(self, request: Request, writer: ResponseWriter) -> bool:
        """Answer a call about rollouts; return whether it was one."""
        path = request.target.partition("?")[0]
        if (request.method, path) == ("POST", self._form.begin_path):
            await self._handle_begin(request, writer)
            return True
        service = (
            self._form.decode_read_target(path) if request.method == "GET" else None
        )
        if service is not None:
            await self._handle_read(request, writer, service)
        return service is not None

    async def _handle_begin(self, request: Request, writer: ResponseWriter) -> None:
        try:
            order = self._form.decode_order(request.body)
        except InvalidOrderError as error:
            await self._reject(writer, 400, str(error))
            return
        if not await self._calls.require_leader(request, writer):
            return
        if not self._can_be_ordered(order):
            # A former leader would not know the newest configuration.
            if not await self._calls.confirm_leadership(request, writer):
                return
            if not self._can_be_ordered(order):
                await self._reject(
                    writer,
                    400,
                    f"service: {order.service[:64]!r} is unknown; "
                    "give a service of the configuration in force",
                )
                return
        command = BeginRollout(order, self._clock.now(), self._repeat_s)
        result = await self._calls.await_confirmation(self._driver.propose(command))
        match result:
            case RolloutAccepted(is_new):
                name = "rollouts.accepted" if is_new else "rollouts.repeated"
                self._counters.increment(name)
                _log.info(
                    "rollout order committed",
                    service=order.service,
                    version=order.version,
                    deadline_s=order.deadline_s,
                    is_new=is_new,
                    term=self._driver.replica.term,
                )
                await writer.send(200, JSON_HEADERS, b"{}")
            case RolloutConflict(version):
                await self._reject(
                    writer,
                    409,
                    f"service {order.service} is being moved to version {version}; "
                    "send the order again when this has ended",
                )
            case _:
                await self._calls.send_unconfirmed(writer, result)

    def _can_be_ordered(self, order: RolloutOrder) -> bool:
        """Return whether the service is known, or the order was accepted before."""
        configuration = self._read_configuration()
        services = configuration.services if configuration is not None else ()
        is_service = any(service.name == order.service for service in services)
        return is_service or self._machine.rollouts.is_known(order)

    async def _handle_read(
        self, request: Request, writer: ResponseWriter, service: ServiceName
    ) -> None:
        if not await self._calls.confirm_leadership(request, writer):
            return
        rollout = self._machine.rollouts.rollouts.get(service)
        if rollout is None:
            await self._reject(writer, 404, "the service has no rollout")
            return
        await writer.send(200, JSON_HEADERS, self._form.encode_rollout(rollout))

    async def _reject(self, writer: ResponseWriter, status: int, reason: str) -> None:
        self._counters.increment(f"rollouts.rejected.{status}")
        if status != 404:
            _log.info("rollout order rejected", status=status, reason=reason)
        body = msgspec.json.encode({"error": reason})
        await writer.send(status, JSON_HEADERS, body)
