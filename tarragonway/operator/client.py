"""HTTP calls of the command line to control and entry processes."""

import asyncio
import os
from typing import Any

import aiohttp
import msgspec

from tarragonway.core.decoding import UndecodableError, decode_json
from tarragonway.core.errors import TarragonwayError
from tarragonway.core.http_status import reject_invalid_status
from tarragonway.settings import ClusterSettings

KEY_VARIABLE = "TARRAGONWAY_OPERATOR_KEY"
REQUEST_TIMEOUT_S = 8.0
# Time for which control processes are asked again while none of them leads, and the
# pause between two rounds.
RETRY_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.3
STATUS_UNAVAILABLE = 503

_content_decoder = msgspec.json.Decoder(dict[str, Any])


class OperatorError(TarragonwayError):
    """The operator's request could not be sent, or no process accepted it."""


class Reply(msgspec.Struct, frozen=True):
    """Status and JSON content of a response."""

    status: int
    content: dict[str, Any]


class _Unanswered(msgspec.Struct):
    """Last error of a round; ``may_pass`` if a process is there that does not lead."""

    reason: str
    may_pass: bool


class OperatorClient:
    """Sends requests with the operator's key to control and entry processes.

    Parameters
    ----------
    cluster : ClusterSettings
        Provides the addresses of all processes.

    Raises
    ------
    OperatorError
        If the environment variable with the operator key is not set.
    """

    def __init__(self, cluster: ClusterSettings) -> None:
        self._cluster = cluster
        key = os.environ.get(KEY_VARIABLE, "")
        if not key:
            raise OperatorError(f"set {KEY_VARIABLE} to your operator key")
        self._headers = {"Authorization": f"Bearer {key}"}

    async def call_control(self, method: str, path: str, body: Any = None) -> Reply:
        """Return the first answer of a control process whose status is not 503.

        While one of them is there but none leads, the processes are asked again, for up
        to :data:`RETRY_TIMEOUT_S`. A change that is sent again is applied once, as it
        has an id.

        Raises
        ------
        OperatorError
            If no control process answers so, or one rejects the operator key.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + RETRY_TIMEOUT_S
        async with self._open() as session:
            while True:
                answer = await self._ask_in_turn(session, method, path, body)
                if isinstance(answer, Reply):
                    return answer
                if not answer.may_pass or loop.time() >= ends_at:
                    raise OperatorError(
                        f"no control process can answer; last error: {answer.reason}"
                    )
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _ask_in_turn(
        self, session: aiohttp.ClientSession, method: str, path: str, body: Any
    ) -> "Reply | _Unanswered":
        """Return the first answer whose status is not 503, asking each process once."""
        unanswered = _Unanswered("none is listed", False)
        for peer in self._cluster.control:
            try:
                reply = await _request(session, method, peer.http, path, body)
            except aiohttp.ClientConnectorError as error:
                unanswered.reason = f"{peer.name}: {error!r}"
                continue
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                unanswered = _Unanswered(f"{peer.name}: {error!r}", True)
                continue
            if reply.status != STATUS_UNAVAILABLE:
                return reply
            problem = reply.content.get("problem", "not ready")
            unanswered = _Unanswered(f"{peer.name}: {problem}", True)
        return unanswered

    async def call_all(self, path: str) -> dict[str, Reply | str]:
        """Return the answer of every process, or the error's text, by process name."""
        peers = [*self._cluster.control, *self._cluster.entry]
        async with self._open() as session:
            replies = await asyncio.gather(
                *(_request(session, "GET", p.http, path, None) for p in peers),
                return_exceptions=True,
            )
        return {
            peer.name: reply if isinstance(reply, Reply) else repr(reply)
            for peer, reply in zip(peers, replies, strict=True)
        }

    def _open(self) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        return aiohttp.ClientSession(
            headers=self._headers,
            timeout=timeout,
            raise_for_status=reject_invalid_status,
        )


async def _request(
    session: aiohttp.ClientSession, method: str, address: str, path: str, body: Any
) -> Reply:
    url = f"http://{address}{path}"
    async with session.request(method, url, json=body) as response:
        data = await response.read()
        if response.status == 401:
            raise OperatorError(f"{address} rejected the operator key as unknown")
        try:
            content = decode_json(_content_decoder, data)
        except UndecodableError:
            content = {"problem": data.decode(errors="replace")[:200]}
        return Reply(response.status, content)
