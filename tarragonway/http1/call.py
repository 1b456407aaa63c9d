"""Single HTTP calls to one address, such as the platform's API."""

import asyncio
from collections.abc import Callable

import msgspec

from tarragonway.http1.client import ConnectionEnded, Headers, RequestNotEncodable
from tarragonway.http1.pool import ConnectFailed, ConnectionPool

MAX_IDLE_S = 3.0
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class Call(msgspec.Struct, frozen=True):
    """A request that is sent at most once."""

    method: str
    target: str
    headers: Headers = []
    body: bytes = b""


class CallResponse(msgspec.Struct, frozen=True):
    """Status and body of a response."""

    status: int
    body: bytes


class CallFailed(msgspec.Struct, frozen=True):
    """Sentinel: no response; the call may have taken effect if ``was_sent``."""

    reason: str
    was_sent: bool


class CallClient:
    """Sends calls to one address over persistent connections.

    Parameters
    ----------
    address : str
        Address of the server as ``IP:port``.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ConnectionPool()

    async def call(
        self,
        call: Call,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> CallResponse | CallFailed:
        """Send a call and return its response.

        Parameters
        ----------
        call : Call
            Request to send.
        timeout_s : float
            Longest wait for the complete response, in seconds.
        may_send : callable
            Called once the connection is open; if it returns False, nothing is sent.
        """
        try:
            connection = await self._pool.acquire("", self._address, MAX_IDLE_S)
        except ConnectFailed as error:
            return CallFailed(str(error), False)
        if not may_send():
            self._pool.release("", connection)
            return CallFailed("not sent: sending is no longer permitted", False)
        headers = [(b"host", self._address.encode()), *call.headers]
        if call.body or call.method != "GET":
            headers.append((b"content-length", str(len(call.body)).encode()))
        try:
            async with asyncio.timeout(timeout_s):
                connection.send(call.method, call.target, headers, call.body)
                head = await connection.read_head(lambda head: True)
                body = await connection.read_body(MAX_RESPONSE_BYTES)
        except TimeoutError:
            return CallFailed(f"no complete response within {timeout_s:.3g} s", True)
        except ConnectionEnded as error:
            return CallFailed(str(error), True)
        except RequestNotEncodable as error:
            return CallFailed(str(error), False)
        finally:
            self._pool.release("", connection)
        return CallResponse(head.status, body)
