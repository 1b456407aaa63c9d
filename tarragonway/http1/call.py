"""Single calls to an address, such as the platform's interface."""

import asyncio
from collections.abc import Callable

import msgspec

from tarragonway.http1.client import ConnectionEnded, Headers
from tarragonway.http1.pool import ConnectFailed, Pool

KEPT_IDLE_S = 3.0


class Call(msgspec.Struct, frozen=True):
    """A request to be sent once."""

    method: str
    target: str
    headers: Headers = []
    body: bytes = b""


class CallAnswer(msgspec.Struct, frozen=True):
    """Status and body of an answer."""

    status: int
    body: bytes


class CallFailed(msgspec.Struct, frozen=True):
    """Sentinel: no answer; the call may have had its effect if ``was_sent``."""

    reason: str
    was_sent: bool


class CallClient:
    """Sends calls to one address over kept connections.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = Pool()

    async def call(
        self,
        call: Call,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> CallAnswer | CallFailed:
        """Send a call and return its answer.

        ``may_send`` is asked at the last moment, once the connection is open.
        """
        try:
            connection = await self._pool.take("", self._address, KEPT_IDLE_S)
        except ConnectFailed as error:
            return CallFailed(str(error), False)
        if not may_send():
            self._pool.give_back("", connection)
            return CallFailed("too late to send", False)
        headers = [(b"host", self._address.encode()), *call.headers]
        if call.body or call.method != "GET":
            headers.append((b"content-length", str(len(call.body)).encode()))
        try:
            async with asyncio.timeout(timeout_s):
                connection.send(call.method, call.target, headers, call.body)
                head = await connection.read_head(lambda head: True)
                parts = []
                while (data := await connection.read_data()) is not None:
                    parts.append(data)
        except TimeoutError:
            return CallFailed("no answer in time", True)
        except ConnectionEnded as error:
            return CallFailed(str(error), True)
        finally:
            self._pool.give_back("", connection)
        return CallAnswer(head.status, b"".join(parts))
