"""Orders that set an engine's model version, from one control process at a time."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
import structlog

from tarragonway.core.counters import Counters
from tarragonway.core.decoding import UndecodableError, decode_json
from tarragonway.core.http_status import reject_invalid_status
from tarragonway.core.ids import MemberId
from tarragonway.endpoints import Endpoint
from tarragonway.fencing.store import OrderLeaseGranted, TakeOrderLease

ORDER_LEASE_S = 6.0
ORDER_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 1.0

_log = structlog.get_logger()


class DesiredModel(msgspec.Struct, frozen=True):
    """Endpoint and the model version that it should serve."""

    endpoint: Endpoint
    model_version: str


class Order(msgspec.Struct, frozen=True):
    """Body of an order.

    ``fence`` is the fencing token. An engine that checks it refuses an order whose
    token is lower than one that it has already received.
    """

    fence: int
    model_version: str


class EngineState(msgspec.Struct, frozen=True):
    """Model version that an engine has loaded or is loading."""

    model_version: str = ""


_state_decoder = msgspec.json.Decoder(EngineState)
# ``ValueError`` is raised for an address that the system cannot use.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class OrderSender:
    """Compares engines with their desired state and sends an order where they differ.

    An order is sent only before the lease ends, counted from before the request for the
    lease; a process that was frozen in the meantime therefore sends nothing. After the
    lease's end, the endpoint stays reserved for the time limit of one order. The next
    holder therefore waits until every order of the former holder has ended (see
    :class:`OrderLeaseStore`), and reads the engine's state again before it sends an
    order. This also protects engines that ignore the fencing token. One order is sent
    at a time, which limits the load on the store of model weights to one model.

    Parameters
    ----------
    own : MemberId
        Incarnation of this process.
    is_leader : callable
        Returns whether this process is the leader.
    list_desired : callable
        Returns the endpoints with their desired model versions.
    propose : callable
        Proposes a command to the replicated log and returns its result.
    counters : Counters
        Receives ``orders.*`` counters.
    """

    def __init__(
        self,
        own: MemberId,
        is_leader: Callable[[], bool],
        list_desired: Callable[[], list[DesiredModel]],
        propose: Callable[[TakeOrderLease], Awaitable[object]],
        counters: Counters,
    ) -> None:
        self._own = own
        self._is_leader = is_leader
        self._list_desired = list_desired
        self._propose = propose
        self._counters = counters

    async def run(self) -> None:
        """Compare engines and send orders until the task is cancelled."""
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        async with aiohttp.ClientSession(
            timeout=timeout, raise_for_status=reject_invalid_status
        ) as session:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                for desired in self._list_desired() if self._is_leader() else []:
                    await self.reconcile(session, desired)

    async def reconcile(
        self, session: aiohttp.ClientSession, desired: DesiredModel
    ) -> None:
        """Send an order to one endpoint if it differs from its desired state."""
        if await self._needs_no_order(session, desired):
            return
        loop = asyncio.get_running_loop()
        lease_end = loop.time() + ORDER_LEASE_S
        command = TakeOrderLease(
            desired.endpoint.id,
            self._own,
            int(ORDER_LEASE_S * 1000),
            int(ORDER_TIMEOUT_S * 1000),
        )
        granted = await self._propose(command)
        if not isinstance(granted, OrderLeaseGranted):
            self._counters.increment("orders.busy")
            return
        if await self._needs_no_order(session, desired):
            return
        if loop.time() >= lease_end:
            self._counters.increment("orders.lease_ended")
            return
        order = Order(granted.fence, desired.model_version)
        await self._send(session, desired.endpoint, order)

    async def _needs_no_order(
        self, session: aiohttp.ClientSession, desired: DesiredModel
    ) -> bool:
        """Return whether the engine needs no order or its state cannot be read."""
        try:
            async with session.get(f"{desired.endpoint.url}/orders") as response:
                response.raise_for_status()
                state = decode_json(_state_decoder, await response.read())
        except (*CALL_ERRORS, UndecodableError):
            self._counters.increment("orders.unreadable")
            return True
        return state.model_version == desired.model_version

    async def _send(
        self, session: aiohttp.ClientSession, endpoint: Endpoint, order: Order
    ) -> None:
        body = msgspec.json.encode(order)
        headers = {"Content-Type": "application/json"}
        url = f"{endpoint.url}/orders"
        try:
            async with session.post(url, data=body, headers=headers) as response:
                status = response.status
        except CALL_ERRORS:
            self._counters.increment("orders.failed")
            return
        match status:
            case _ if status < 300:
                self._counters.increment("orders.sent")
            case 409:
                self._counters.increment("orders.refused")
            case _:
                self._counters.increment("orders.failed")
        _log.info(
            "order answered", endpoint=endpoint.id, fence=order.fence, status=status
        )
