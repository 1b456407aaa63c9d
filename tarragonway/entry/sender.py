"""Client for plain services, which reports whether a failed call may have run."""

import aiohttp
import msgspec

from tarragonway.claims import Answer
from tarragonway.core.ids import AccountId
from tarragonway.endpoints import Endpoint
from tarragonway.entry.guard import SendGuard, open_guarded_session
from tarragonway.entry.request_checks import Caller
from tarragonway.lists import Service

CONNECT_TIMEOUT_S = 1.0


class PlainCall(msgspec.Struct, frozen=True):
    """A call to a plain service, with its whole body."""

    caller: Caller
    service: Service
    method: str
    path: str
    query: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def account(self) -> AccountId:
        """The caller's client account."""
        return AccountId(self.caller.account.id)


class NotExecuted(msgspec.Struct, frozen=True):
    """Sentinel: the service did not run the call.

    No connection was opened, or the endpoint refused the call because it is leaving.
    """

    reason: str
    leaving: bool = False


class MaybeExecuted(msgspec.Struct, frozen=True):
    """Sentinel: the call may have reached the service."""

    reason: str


SendResult = Answer | NotExecuted | MaybeExecuted


class CallSender:
    """Sends calls to plain services, each on a connection of its own.

    An answer has no id, so only its connection ties it to a call: a faulty endpoint may
    write an earlier answer once more. :mod:`tarragonway.entry.guard` keeps aiohttp from
    repeating claimed calls.

    Parameters
    ----------
    timeout_s : float
        Timeout of one call in seconds.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._repeatable: aiohttp.ClientSession | None = None
        self._guarded: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Create the client sessions; needs a running loop."""
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        self._repeatable = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=timeout,
            auto_decompress=False,
        )
        self._guarded = open_guarded_session(timeout)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._repeatable, self._guarded):
            if session is not None:
                await session.close()

    async def send(self, call: PlainCall, endpoint: Endpoint) -> SendResult:
        """Send a call that may be repeated."""
        return await self._send(call, endpoint, self._repeatable, "")

    async def send_once(
        self, call: PlainCall, endpoint: Endpoint, key: str
    ) -> SendResult:
        """Send a claimed call, which must not be repeated."""
        return await self._send(call, endpoint, self._guarded, key)

    async def _send(
        self,
        call: PlainCall,
        endpoint: Endpoint,
        session: aiohttp.ClientSession | None,
        key: str,
    ) -> SendResult:
        assert session is not None
        headers = dict(call.headers)
        if key:
            headers["Idempotency-Key"] = key
        guard = SendGuard()
        url = endpoint.url + call.path + (f"?{call.query}" if call.query else "")
        try:
            async with session.request(
                call.method,
                url,
                data=call.body or None,
                headers=headers,
                allow_redirects=False,
                trace_request_ctx=guard,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # The first connection of a claimed call may have broken after the call was
            # sent, and this failure may come from aiohttp's repeat.
            return (
                MaybeExecuted(str(error)) if guard.opened else NotExecuted(str(error))
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return MaybeExecuted(repr(error))
        if response.headers.get("X-Endpoint-State") == "leaving":
            return NotExecuted("the endpoint is leaving", True)
        content_type = response.headers.get("Content-Type", "")
        return Answer(response.status, content_type, body)
